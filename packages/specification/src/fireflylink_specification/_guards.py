"""The guards of the ownership protocol, and which of them a model applies.

``_transfer`` defines the terms: decider, record, table, fence, hold, former holder and late grant.
"""

from enum import Enum


class Guard(Enum):
    """A rule of the protocol without which some model violates a property."""

    CONDITIONAL_COMMIT = (
        "conditional-commit",
        "a decider writes a table only while the decider record in the store is its own",
    )
    RELEASE_FENCE = (
        "release-fence",
        "a release carries the next holder's fence; the server then refuses lower fences",
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
        "a decider that the store does not answer stops granting after the grace time",
    )
    TAKEOVER_WAIT = (
        "takeover-wait",
        "the former decider is assumed to grant to an unresponsive server until it stops",
    )
    TAKEOVER_FENCE = (
        "takeover-fence",
        "a new decider advances the fence of every range before it sends grants",
    )
    ALONE_TABLE = (
        "alone-table",
        "a new decider waits only one hold for a former holder if the writer was the sole decider",
    )
    SUSPEND_MOVED = (
        "suspend-moved",
        "a decider without a reply to the commit of a move does not renew the moved keys",
    )
    YIELD = (
        "yield",
        "a decider that reads another decider's table stops: it does not know the other's grants",
    )
    LAPSED_GRANT = (
        "lapsed-grant",
        "no expired grant is renewed under its fence: a restarted server has forgotten that fence",
    )
    RESTART_HOLD = (
        "restart-hold",
        "what a server was granted counts for its next incarnation, which may accept renewals",
    )
    FORMER_ENDED = (
        "former-ended",
        "a release or a fence counts as final only when no former decider can grant any more: a "
        "server that restarts has forgotten both",
    )
    RESTORE_WAIT = (
        "restore-wait",
        "after a restore nothing is granted until all holds of earlier deciders have expired: the "
        "release of a server that the restored table does not name is not final",
    )
    SEND_DEADLINE = (
        "send-deadline",
        "a grant that waited at its sender is not sent after the deadline that its decider counted",
    )
    SETTLED_GRANTS = (
        "settled-grants",
        "a server is asked to release a key only when no grant of it to that server is unanswered: "
        "if it restarts, it has forgotten the release when the grant arrives",
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
