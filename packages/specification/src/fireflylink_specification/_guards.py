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
    RECOVERING = (
        "recovering",
        "a voter that restarted endorses nothing until it has learned the highest version",
    )
    RECOVERY_QUORUM = (
        "recovery-quorum",
        "a recovering voter learns from n - m + 1 other voters",
    )
    RECOVERED_PEERS = (
        "recovered-peers",
        "a recovering voter does not count replies of voters that are recovering themselves",
    )
    RECOVERY_WAIT = (
        "recovery-wait",
        "a recovering voter asks the others only once a fence wait has passed since its start",
    )
    ROUND_BOUND = (
        "round-bound",
        "acknowledgements count only within one round and within a grant term of its start",
    )
    RECOVERY_LIST = (
        "recovery-list",
        "a recovering voter applies the quorum to the voters of the highest version it learned",
    )
    PREVIOUS_MAJORITY = (
        "previous-majority",
        "a version that replaces voters needs a majority of the previous voters too",
    )
    CLEAR_WHEN_SETTLED = (
        "clear-when-settled",
        "previous voters are cleared only when the version that replaced them is settled",
    )
    ONE_REPLACEMENT = (
        "one-replacement",
        "voters are not replaced again while there are previous voters",
    )
    GONE_CONFIRMED = (
        "gone-confirmed",
        "only a voter whose instance has ended counts as unable to endorse",
    )
    GONE_COUNTS = (
        "gone-counts",
        "a voter whose instance has ended counts as having acknowledged",
    )
    SILENT_START = (
        "silent-start",
        "a daemon does not act as gateway before a fence wait has passed since its start",
    )
    RELEASE_AFTER_START = (
        "release-after-start",
        "a daemon releases nothing before a fence wait has passed since its start",
    )
    RELEASE_MAJORITY = (
        "release-majority",
        "a gateway releases a shard only under authority that came from a majority of voters",
    )
    RELEASE_WAITS_FOR_CALLS = (
        "release-waits-for-calls",
        "a gateway releases a shard only when each grant and request it sent has been answered"
        " or has passed its deadline",
    )
    RELEASE_ENTITLED = (
        "release-entitled",
        "a gateway releases a shard only if it was released to the gateway itself or the version"
        " that gave it the shard or the group is settled",
    )
    RELEASE_EPOCH = (
        "release-epoch",
        "a release counts only for the epoch of the shard record that it was given for",
    )
    NEVER_BACK = ("never-back", "a daemon never goes back to a lower version")
    AUTHORITY_WITHIN_DOCUMENT = (
        "authority-within-document",
        "a gateway does not use authority for a version above the document it holds",
    )
    GATEWAY_EPOCH = (
        "gateway-epoch",
        "a server that checks grants refuses gateway epochs below the highest it has seen",
    )
    CAS_EXPECTED = (
        "cas-expected",
        "a write takes effect only if the stored version is the one it was computed from",
    )
    NOTE_ONCE = (
        "note-once",
        "an operator looks for the id of its note in the document before applying it again",
    )
    PENDING_UNTIL_RELEASED = (
        "pending-until-released",
        "a pending record takes effect only once the source table names it as released",
    )
    SOURCE_SETTLED = (
        "source-settled",
        "the destination starts only when the release is settled in the source table",
    )
    WITHDRAW_AT_SOURCE = (
        "withdraw-at-source",
        "a pending record is withdrawn by raising the epoch in the source table, and removed only"
        " afterwards",
    )
    MOVE_EPOCH = (
        "move-epoch",
        "a release names the epoch of the pending record that it completes",
    )
    EPOCH_RISES = (
        "epoch-rises",
        "a pending record replaces only a record of a lower epoch",
    )
    CONFIRM_BEFORE_MOVE = (
        "confirm-before-move",
        "a destination makes its pending record a plain one before the shard moves again",
    )
    EXCEPTION_MERGED_FIRST = (
        "exception-merged-first",
        "an exception is removed only once a settled version gave its key to the group of its"
        " shard",
    )
    NEW_RECORD_WAITS = (
        "new-record-waits",
        "the owner of a record without a previous owner waits until its version is settled",
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
