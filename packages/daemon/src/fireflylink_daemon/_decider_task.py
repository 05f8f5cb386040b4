"""Election of the decider, and its conditional writes of ownership tables.

The decider is the daemon that is elected as the leader that assigns keys to servers.
"""

from returns.result import Failure, Result, Success

from fireflylink_core import BaseClock, OwnershipTable
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._messages import (
    DeciderChanged,
    DeciderDemoted,
    DeciderElected,
    Leave,
    TableNotWritten,
    TableStored,
)
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_daemon._task import BaseTask
from fireflylink_decisions.ownership import DeciderElection
from fireflylink_protocol import (
    DECIDER_KEY,
    OWNERSHIP_PREFIX,
    MemberRecord,
    decode_member,
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
    Item,
    LeaseNotFoundError,
    Put,
    StoreError,
    StoreRestoredError,
    StoreUnavailableError,
    era_of,
    lease_number_of,
    number_of,
)

DECIDER_LEASE_TTL_SECONDS = 1.2
"""When the decider is lost, its record remains until this lease has ended; then the next daemon by
rank is elected. Holds of 3.0 s that are renewed each 1.0 s outlast the election, so that keys stay
served."""

DECIDER_RENEWAL_INTERVAL_SECONDS = 0.4
CALL_TIMEOUT_SECONDS = 0.8
CHECK_INTERVAL_SECONDS = 0.1
"""How often a daemon that is not the decider checks whether to stand for election."""

CANDIDACY_RETRY_DELAY_SECONDS = 0.4


class CommitTable:
    """Requests that a table replaces the service's record that has ``revision``."""

    __slots__ = ("revision", "table")

    def __init__(self, table: OwnershipTable, revision: int) -> None:
        self.table = table
        self.revision = revision


class Superseded:
    """Another daemon has acted as the decider, so this one must step down."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class DeciderTask(BaseTask):
    """Stands for election, renews the decider's lease and writes ownership tables to the store.

    It notifies ``ownership_task`` when this daemon is elected or demoted, when the store has
    accepted a table, and when a table was certainly not written.
    """

    __slots__ = (
        "election",
        "lease_id",
        "lease_ttl_seconds",
        "leaving",
        "metrics",
        "next_candidacy_at",
        "next_renewal_at",
        "ownership_task",
        "record",
        "routing_state",
        "store",
    )

    def __init__(
        self,
        record: MemberRecord,
        store: BaseStore,
        routing_state: RoutingState,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        super().__init__("decider", clock)
        self.record = record
        self.store = store
        self.routing_state = routing_state
        self.metrics = metrics
        self.election = DeciderElection()
        self.election.vacant_since = None
        self.ownership_task: BaseTask | None = None
        self.leaving = False
        self.lease_id = 0
        self.lease_ttl_seconds = max(
            DECIDER_LEASE_TTL_SECONDS, routing_state.settings.minimum_lease_seconds
        )
        self.next_renewal_at = 0.0
        self.next_candidacy_at = 0.0

    def next_wake_at(self) -> float:
        if self.election.is_decider:
            return self.next_renewal_at
        return self.clock.now() + CHECK_INTERVAL_SECONDS

    def on_wake(self) -> None:
        now = self.clock.now()
        if self.election.is_decider:
            if now >= self.next_renewal_at:
                self._renew_lease(now)
                if self.leaving:
                    self._step_down_if_lease_revoked()
            return
        if self.leaving:
            return
        candidate_at = self.election.candidacy_at(self.routing_state.fleet_position.rank)
        if candidate_at is not None and now >= max(candidate_at, self.next_candidacy_at):
            self._stand_for_election()

    def receive(self, message: object) -> object:
        if isinstance(message, DeciderChanged):
            self._on_decider_record(message)
        elif isinstance(message, CommitTable):
            self._write_table(message)
        elif isinstance(message, Leave):
            self.leaving = True
            self._step_down_if_lease_revoked()
        elif isinstance(message, Superseded) and self.election.is_decider:
            self._revoke_lease_and_step_down(message.reason)
        if self.election.is_decider and self.clock.now() >= self.next_renewal_at:
            self._renew_lease(self.clock.now())
        return None

    def _step_down_if_lease_revoked(self) -> None:
        """Revokes the decider's lease, so that another daemon takes over.

        If the call fails, this daemon remains the decider and tries again after later renewals of
        the lease. No other daemon could take over without the store, and keys whose grants are not
        renewed would lose their owners.
        """
        if not self.election.is_decider:
            return
        revoked = self.store.revoke_lease(self.lease_id, self.clock.now() + CALL_TIMEOUT_SECONDS)
        if isinstance(revoked, Success):
            self._on_demoted("leaving")
        else:
            log_problem("decider-stays", problem=revoked.failure())

    def _revoke_lease_and_step_down(self, reason: str) -> None:
        """Steps down and revokes the decider's lease, so that another daemon takes over at once."""
        if self.lease_id:
            self.store.revoke_lease(self.lease_id, self.clock.now() + CALL_TIMEOUT_SECONDS)
        self._on_demoted(reason)

    def _on_decider_record(self, message: DeciderChanged) -> None:
        was_decider = self.election.is_decider
        member = message.member
        now = self.clock.now()
        if member is not None and member == self.record:
            if not was_decider and self.lease_id:
                # The write of the record took effect, but its answer was lost.
                self._become_decider(message.revision, now)
            elif was_decider and era_of(message.revision) > era_of(self.election.revision):
                self._verify_record()
            return
        self.election.on_decider_record(message.revision, member is not None, now)
        if was_decider and not self.election.is_decider:
            self._on_demoted("replaced")

    def _stand_for_election(self) -> None:
        """Tries to become the decider by writing the decider record, which must not exist."""
        self.next_candidacy_at = self.clock.now() + CANDIDACY_RETRY_DELAY_SECONDS
        error = self._create_lease()
        if error is None:
            sent_at = self.clock.now()
            put = Put(DECIDER_KEY, encode_member(self.record), self.lease_id)
            commit = Commit(expected_revisions=((DECIDER_KEY, ABSENT_REVISION),), puts=(put,))
            written = self.store.commit(commit, sent_at + CALL_TIMEOUT_SECONDS)
            if isinstance(written, Success):
                self._become_decider(written.unwrap(), sent_at)
                return
            error = written.failure()
        if isinstance(error, ConflictError | LeaseNotFoundError):
            self.lease_id = 0
        log_event("decider-candidacy-failed", problem=error)

    def _create_lease(self) -> StoreError | None:
        created = self.store.create_lease(
            self.lease_ttl_seconds, self.clock.now() + CALL_TIMEOUT_SECONDS
        )
        if not isinstance(created, Success):
            return created.failure()
        self.lease_id = created.unwrap().lease_id
        return None

    def _become_decider(
        self, revision: int, elected_at: float, is_uninterrupted: bool = False
    ) -> None:
        read = self._read_tables()
        if not isinstance(read, Success):
            log_problem("decider-tables-not-read", problem=read.failure())
            self._revoke_lease_and_step_down("reading the ownership tables failed")
            return
        self.election.on_elected(revision, elected_at)
        self.next_renewal_at = elected_at + DECIDER_RENEWAL_INTERVAL_SECONDS
        log_event(
            "decider-won",
            instance=self.record.instance,
            revision=revision,
            era=era_of(revision),
            uninterrupted=is_uninterrupted,
        )
        self._notify_ownership(
            DeciderElected(elected_at, revision, read.unwrap(), is_uninterrupted)
        )

    def _verify_record(self) -> None:
        """Reads the decider record, because a lease that is renewed does not prove that it exists.

        After a restore of the store, a record that is in the copy is still this daemon's, with
        the same lease. Otherwise this daemon steps down.
        """
        sent_at = self.clock.now()
        read = self.store.read(DECIDER_KEY, sent_at + CALL_TIMEOUT_SECONDS)
        if not isinstance(read, Success):
            log_problem("decider-record-not-read", problem=read.failure())
            return
        item = read.unwrap()
        if item is None or not self._is_own_record(item):
            self._on_demoted("the decider record is not this daemon's")
            self.election.on_decider_record(0, item is not None, self.clock.now())
        elif item.revision == self.election.revision:
            self.election.on_confirmed(sent_at)
        else:
            self.lease_id = item.lease_id
            self._become_decider(item.revision, sent_at, is_uninterrupted=True)

    def _is_own_record(self, item: Item) -> bool:
        return (
            decode_member(item.value).value_or(None) == self.record
            and number_of(item.revision) == number_of(self.election.revision)
            and lease_number_of(item.lease_id) == lease_number_of(self.lease_id)
        )

    def _read_tables(self) -> Result[tuple[TableStored, ...], StoreError]:
        """Reads the tables of all services.

        Other daemons can no longer write them: their writes are conditional on their own decider
        record, which this daemon's has replaced.
        """
        read = self.store.list(OWNERSHIP_PREFIX, self.clock.now() + CALL_TIMEOUT_SECONDS)
        if not isinstance(read, Success):
            return Failure(read.failure())
        tables = []
        for item in read.unwrap().items:
            table = decode_table(item.value)
            if isinstance(table, Success):
                tables.append(TableStored(table.unwrap(), item.revision))
            else:
                log_problem("record-unreadable", key=item.key, problem=table.failure())
        return Success(tuple(tables))

    def _on_demoted(self, reason: str) -> None:
        """Records that this daemon is not the decider; forgets the lease without revoking it."""
        self.election.on_demoted()
        self.lease_id = 0
        log_event("decider-lost", instance=self.record.instance, reason=reason)
        self._notify_ownership(DeciderDemoted())

    def _renew_lease(self, sent_at: float) -> None:
        self.next_renewal_at = sent_at + DECIDER_RENEWAL_INTERVAL_SECONDS
        renewed = self.store.renew_lease(self.lease_id, sent_at + CALL_TIMEOUT_SECONDS)
        result = type(renewed).__name__
        self.metrics.count("store_calls", kind="decider-renewal", result=result)
        if isinstance(renewed, Success):
            if sent_at < self.election.confirmed_call_sent_at + self.lease_ttl_seconds:
                self.election.on_confirmed(sent_at)
            else:
                self._verify_record()
        elif isinstance(renewed.failure(), StoreRestoredError):
            self._verify_record()
        elif isinstance(renewed.failure(), LeaseNotFoundError):
            self._on_demoted("lease-ended")
            self.election.vacant_since = self.clock.now()

    def _write_table(self, message: CommitTable) -> None:
        if not self.election.is_decider:
            return
        table = message.table
        key = ownership_key(table.service)
        commit = Commit(
            expected_revisions=((key, message.revision), (DECIDER_KEY, self.election.revision)),
            puts=(Put(key, encode_table(table)),),
        )
        sent_at = self.clock.now()
        written = self.store.commit(commit, sent_at + CALL_TIMEOUT_SECONDS)
        self.metrics.count("store_calls", kind="table", result=type(written).__name__)
        if isinstance(written, Success):
            self.election.on_confirmed(sent_at)
            log_event(
                "ownership-written",
                service=table.service,
                fence=table.fence,
                ranges=len(table.assignments),
                revision=written.unwrap(),
            )
            is_first = message.revision == ABSENT_REVISION
            self._notify_ownership(TableStored(table, written.unwrap(), is_first))
            self.routing_state.set_table(table)
            return
        error = written.failure()
        log_problem("ownership-not-written", service=table.service, problem=error)
        if isinstance(error, ConflictError | StoreUnavailableError):
            self._notify_ownership(TableNotWritten(table))
        elif isinstance(error, StoreRestoredError):
            self._verify_record()

    def _notify_ownership(self, message: object) -> None:
        if self.ownership_task is not None:
            self.ownership_task.post(message)
