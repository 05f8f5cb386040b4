"""Election of the decider, and its conditional writes of ownership tables."""

from returns.result import Success

from fireflylink_core import BaseClock, OwnershipTable
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._messages import (
    DeciderChanged,
    DeciderLost,
    DeciderWon,
    Leave,
    TableChanged,
    TableRefused,
)
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._serving import Serving
from fireflylink_daemon._task import BaseTask
from fireflylink_decisions.ownership import DeciderElection
from fireflylink_protocol import (
    DECIDER_KEY,
    OWNERSHIP_PREFIX,
    MemberRecord,
    decode_table,
    encode_member,
    encode_table,
    ownership_key,
)
from fireflylink_store import (
    ABSENT_REVISION,
    BaseStore,
    Commit,
    ConflictError,
    LeaseNotFoundError,
    Put,
    StoreError,
    StoreUnavailableError,
)

LEASE_SECONDS = 1.2
RENEWAL_SECONDS = 0.4
CALL_SECONDS = 0.8
TICK_SECONDS = 0.1
CANDIDACY_RETRY_SECONDS = 0.4


class CommitTable:
    """A table to write in place of the record that has ``revision``."""

    __slots__ = ("revision", "table")

    def __init__(self, table: OwnershipTable, revision: int) -> None:
        self.table = table
        self.revision = revision


class Superseded:
    """Another daemon has decided on ownership meanwhile."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class DeciderTask(BaseTask):
    """Owns this daemon's candidacy, the decider's lease, and a client of the store.

    ``ownership`` is told when this daemon becomes the decider, ceases to be it, and when the store
    has accepted a table.
    """

    __slots__ = (
        "election",
        "lease_id",
        "lease_seconds",
        "leaving",
        "metrics",
        "next_candidacy",
        "next_renewal",
        "ownership",
        "record",
        "serving",
        "store",
        "store_read",
    )

    def __init__(
        self,
        record: MemberRecord,
        store: BaseStore,
        serving: Serving,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        super().__init__("decider", clock)
        self.record = record
        self.store = store
        self.serving = serving
        self.metrics = metrics
        self.election = DeciderElection()
        self.election.vacant_since = None
        self.ownership: BaseTask | None = None
        self.leaving = False
        self.lease_id = 0
        self.lease_seconds = max(LEASE_SECONDS, serving.settings.minimum_lease_seconds)
        self.next_renewal = 0.0
        self.next_candidacy = 0.0

    def next_wake(self) -> float:
        if self.election.is_decider:
            return self.next_renewal
        return self.clock.now() + TICK_SECONDS

    def wake(self) -> None:
        now = self.clock.now()
        if self.election.is_decider:
            if now >= self.next_renewal:
                self._renew(now)
                if self.leaving:
                    self._leave()
            return
        if self.leaving:
            return
        candidate_at = self.election.candidacy_at(self.serving.position.rank)
        if candidate_at is not None and now >= max(candidate_at, self.next_candidacy):
            self._stand()

    def receive(self, message: object) -> object:
        if isinstance(message, DeciderChanged):
            self._note_record(message)
        elif isinstance(message, CommitTable):
            self._commit(message)
        elif isinstance(message, Leave):
            self.leaving = True
            self._leave()
        elif isinstance(message, Superseded) and self.election.is_decider:
            self._resign(message.reason)
        if self.election.is_decider and self.clock.now() >= self.next_renewal:
            self._renew(self.clock.now())
        return None

    def _leave(self) -> None:
        """Hands the decider's work over; without the store it goes on to the end of the process.

        Nobody could take over, and the keys would lose their owners.
        """
        if not self.election.is_decider:
            return
        ended = self.store.revoke_lease(self.lease_id, self.clock.now() + CALL_SECONDS)
        if isinstance(ended, Success):
            self._lose("leaving")
        else:
            log_problem("decider-stays", problem=ended.failure())

    def _resign(self, reason: str) -> None:
        """Ends the decider's lease, so that another daemon takes over at once."""
        if self.lease_id:
            self.store.revoke_lease(self.lease_id, self.clock.now() + CALL_SECONDS)
        self._lose(reason)

    def _note_record(self, message: DeciderChanged) -> None:
        held = self.election.is_decider
        member = message.member
        now = self.clock.now()
        if member is not None and member == self.record:
            if not held and self.lease_id:
                # The answer to the write was lost, and the write took effect.
                self._win(message.revision, now)
            return
        self.election.on_decider_record(message.revision, member is not None, now)
        if held and not self.election.is_decider:
            self._lose("replaced")

    def _stand(self) -> None:
        """Tries to become the decider."""
        self.next_candidacy = self.clock.now() + CANDIDACY_RETRY_SECONDS
        error = self._open_lease()
        if error is None:
            asked_at = self.clock.now()
            put = Put(DECIDER_KEY, encode_member(self.record), self.lease_id)
            commit = Commit(expected=((DECIDER_KEY, ABSENT_REVISION),), puts=(put,))
            written = self.store.commit(commit, asked_at + CALL_SECONDS)
            if isinstance(written, Success):
                self._win(written.unwrap(), asked_at)
                return
            error = written.failure()
        if isinstance(error, ConflictError | LeaseNotFoundError):
            self.lease_id = 0
        log_event("decider-candidacy-failed", problem=error)

    def _open_lease(self) -> StoreError | None:
        opened = self.store.create_lease(self.lease_seconds, self.clock.now() + CALL_SECONDS)
        if not isinstance(opened, Success):
            return opened.failure()
        self.lease_id = opened.unwrap().lease_id
        return None

    def _win(self, revision: int, asked_at: float) -> None:
        error = self._read_tables()
        if error is not None:
            log_problem("decider-tables-not-read", problem=error)
            self._resign("tables not read")
            return
        self.election.on_elected(revision, asked_at)
        self.next_renewal = asked_at + RENEWAL_SECONDS
        log_event("decider-won", instance=self.record.instance, revision=revision)
        self._tell(DeciderWon(asked_at))

    def _read_tables(self) -> StoreError | None:
        """Reads the tables as they are now that no other daemon can write them."""
        read = self.store.list(OWNERSHIP_PREFIX, self.clock.now() + CALL_SECONDS)
        if not isinstance(read, Success):
            return read.failure()
        for item in read.unwrap().items:
            table = decode_table(item.value)
            if isinstance(table, Success):
                self._tell(TableChanged(table.unwrap(), item.revision))
            else:
                log_problem("record-unreadable", key=item.key, problem=table.failure())
        return None

    def _lose(self, reason: str) -> None:
        self.election.on_demoted()
        self.lease_id = 0
        log_event("decider-lost", instance=self.record.instance, reason=reason)
        self._tell(DeciderLost())

    def _renew(self, asked_at: float) -> None:
        self.next_renewal = asked_at + RENEWAL_SECONDS
        renewed = self.store.renew_lease(self.lease_id, asked_at + CALL_SECONDS)
        result = type(renewed).__name__
        self.metrics.count("store_calls", kind="decider-renewal", result=result)
        if isinstance(renewed, Success):
            self.election.on_confirmed(asked_at)
        elif isinstance(renewed.failure(), LeaseNotFoundError):
            self._lose("lease-ended")
            self.election.vacant_since = self.clock.now()

    def _commit(self, message: CommitTable) -> None:
        if not self.election.is_decider:
            return
        table = message.table
        key = ownership_key(table.service)
        commit = Commit(
            expected=((key, message.revision), (DECIDER_KEY, self.election.revision)),
            puts=(Put(key, encode_table(table)),),
        )
        asked_at = self.clock.now()
        written = self.store.commit(commit, asked_at + CALL_SECONDS)
        self.metrics.count("store_calls", kind="table", result=type(written).__name__)
        if isinstance(written, Success):
            self.election.on_confirmed(asked_at)
            log_event(
                "ownership-written",
                service=table.service,
                fence=table.fence,
                ranges=len(table.assignments),
                revision=written.unwrap(),
            )
            first = message.revision == ABSENT_REVISION
            self._tell(TableChanged(table, written.unwrap(), first))
            self.serving.set_table(table)
            return
        error = written.failure()
        log_problem("ownership-not-written", service=table.service, problem=error)
        if isinstance(error, ConflictError | StoreUnavailableError):
            self._tell(TableRefused(table))

    def _tell(self, message: object) -> None:
        if self.ownership is not None:
            self.ownership.post(message)
