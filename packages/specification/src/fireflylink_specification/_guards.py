"""The guards of the ownership protocol and the switch that removes one of them from a model."""

from enum import Enum


class Guard(Enum):
    """A rule of the protocol whose removal must break a property of some model."""

    MAJORITY_BEFORE_FENCE = (
        "majority-before-fence",
        "the fence wait starts only after a majority acknowledged the new version",
    )
    FENCE_WAIT = ("fence-wait", "a new owner waits until earlier authority has expired")
    FENCE_MARGIN = ("fence-margin", "the fence wait exceeds the grant term by the clock drift")
    VOTER_PROMISE = (
        "voter-promise",
        "a voter endorses no version below the one it acknowledged",
    )
    COUNT_FROM_SEND = (
        "count-from-send",
        "authority lasts a grant term from the start of the inquiry, not from its reply",
    )
    TELL_AFTER_CONFIRM = (
        "tell-after-confirm",
        "nobody is told of a version before its write is confirmed",
    )
    READ_BACK = ("read-back", "a lost reply is resolved by reading the write id back")
    GATEWAY_DEADLINE = (
        "gateway-deadline",
        "a gateway sends nothing once its authority has expired",
    )
    REQUEST_DEADLINE_CAP = (
        "request-deadline-cap",
        "the deadline of a request to a server never exceeds the gateway's authority",
    )
    SERVER_DEADLINE = (
        "server-deadline",
        "a server drops requests whose deadline has passed, also after a pause",
    )

    def __init__(self, key: str, rule: str) -> None:
        self.key = key
        self.rule = rule


class Guards:
    """The guards in force: all of them, or all but one.

    Example::

        guards = Guards(without=Guard.FENCE_WAIT)
        guards.has(Guard.FENCE_WAIT)  # False
    """

    __slots__ = ("without",)

    def __init__(self, without: Guard | None = None) -> None:
        self.without = without

    def has(self, guard: Guard) -> bool:
        """Returns whether the guard is in force."""
        return guard is not self.without


ALL_GUARDS = Guards()
