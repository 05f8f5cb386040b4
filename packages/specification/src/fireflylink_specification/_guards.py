"""The guards of the ownership protocol and the switch that removes one of them from a model."""

from enum import Enum


class Guard(Enum):
    """A rule of the protocol whose removal must break a property of some model."""

    CONDITIONAL_COMMIT = (
        "conditional-commit",
        "a table is written only while the decider record is the writer's own",
    )
    RELEASE_FENCE = (
        "release-fence",
        "a release carries the fence of the next holder, and the server refuses lower grants",
    )
    HOLD_WAIT = (
        "hold-wait",
        "without a confirmed release, the next holder waits until every grant has run out",
    )
    COUNT_UNANSWERED = (
        "count-unanswered",
        "a grant without an answer counts as one that comes true",
    )
    OUTAGE_GRACE = (
        "outage-grace",
        "a decider without the store stops to grant after a time",
    )
    TAKEOVER_WAIT = (
        "takeover-wait",
        "a new decider presumes that a silent server was granted keys until the former one stopped",
    )
    TAKEOVER_FENCE = (
        "takeover-fence",
        "a new decider puts every range under a new fence before it trusts a server's hold",
    )
    ALONE_TABLE = (
        "alone-table",
        "former holders of a table are waited out for one hold only if its writer was alone",
    )
    SUSPEND_MOVED = (
        "suspend-moved",
        "keys that a table takes away are not renewed while its writing is unanswered",
    )
    YIELD = (
        "yield",
        "a decider that reads another one's table stops, as it does not know what that one granted",
    )
    LAPSED_GRANT = (
        "lapsed-grant",
        "a grant that ran out is not renewed under its fence: the server may have started again",
    )

    def __init__(self, key: str, rule: str) -> None:
        self.key = key
        self.rule = rule


class Guards:
    """The guards in force: all of them, or all but one.

    Example::

        guards = Guards(without=Guard.HOLD_WAIT)
        guards.has(Guard.HOLD_WAIT)  # False
    """

    __slots__ = ("without",)

    def __init__(self, without: Guard | None = None) -> None:
        self.without = without

    def has(self, guard: Guard) -> bool:
        """Returns whether the guard is in force."""
        return guard is not self.without


ALL_GUARDS = Guards()
