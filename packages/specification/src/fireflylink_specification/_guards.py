"""The guards of the ownership protocol, and which of them a model applies."""

from enum import Enum


class Guard(Enum):
    """A rule of the protocol without which some model violates a property."""

    CONDITIONAL_COMMIT = (
        "conditional-commit",
        "a decider writes a table only while the decider record in the store is its own",
    )
    RELEASE_FENCE = (
        "release-fence",
        "a release carries the fence of the next holder, and the server then refuses lower ones",
    )
    HOLD_WAIT = (
        "hold-wait",
        "without a confirmed release, the next holder waits until every grant has expired",
    )
    COUNT_UNANSWERED = (
        "count-unanswered",
        "a grant without a reply counts as one that the server carries out",
    )
    OUTAGE_GRACE = (
        "outage-grace",
        "a decider that cannot reach the store stops granting after a fixed time",
    )
    TAKEOVER_WAIT = (
        "takeover-wait",
        "a new decider assumes that an unresponsive server got grants until the former one stopped",
    )
    TAKEOVER_FENCE = (
        "takeover-fence",
        "a new decider advances the fence of every range before it relies on a server's hold",
    )
    ALONE_TABLE = (
        "alone-table",
        "a wait of one hold suffices for former holders only if the writer was the sole decider",
    )
    SUSPEND_MOVED = (
        "suspend-moved",
        "a decider does not renew keys that a table moves away while its commit is unacknowledged",
    )
    YIELD = (
        "yield",
        "a decider that reads another one's table stops: it does not know what the other granted",
    )
    LAPSED_GRANT = (
        "lapsed-grant",
        "an expired grant is not renewed under its fence: the server may have restarted",
    )

    def __init__(self, key: str, rule: str) -> None:
        self.key = key
        self.rule = rule


class Guards:
    """The guards that a model applies: all of them, or all but one.

    Example::

        guards = Guards(without=Guard.HOLD_WAIT)
        guards.has(Guard.HOLD_WAIT)  # False
    """

    __slots__ = ("without",)

    def __init__(self, without: Guard | None = None) -> None:
        self.without = without

    def has(self, guard: Guard) -> bool:
        """Returns whether the guard is applied."""
        return guard is not self.without


ALL_GUARDS = Guards()
