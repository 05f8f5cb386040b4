"""The daemon's membership in the fleet: its member record in the store."""

from collections.abc import Callable

from returns.result import Success

from fireflylink_core import BaseClock
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._messages import (
    Leave,
    MemberRecordMissing,
    RelayRoleChanged,
    StoreCallStatus,
)
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._task import BaseTask
from fireflylink_protocol import MemberRecord, encode_member, member_key
from fireflylink_store import (
    BaseStore,
    Commit,
    LeaseNotFoundError,
    Put,
    StoreError,
    StoreRestoredError,
)

MEMBER_LEASE_TTL_SECONDS = 6.0
"""How long the record of a daemon remains that has ended without leaving."""

MEMBER_RENEWAL_INTERVAL_SECONDS = 1.0
RELAY_RENEWAL_INTERVAL_SECONDS = 0.4
"""A relay that reads the store states how old its contact with the store is, which its renewals
refresh. Its followers must notice within 2 s that it is cut off from the store."""

FOLLOWER_RENEWAL_INTERVAL_SECONDS = 2.0
"""Each renewal has a cost, and a follower notices an outage of the store by its relay."""

CALL_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.5
NEVER = float("inf")


class MemberTask(BaseTask):
    """Writes the member record under a lease and renews the lease.

    The store deletes the record when the daemon revokes the lease or no longer renews it.
    ``confirmed_at`` is when the last call that succeeded was sent, in seconds on the clock.
    ``joined_revision`` is that of the record as last written. ``on_store_back`` is called when a
    call succeeds after one that failed, ``on_store_restored`` with the era of the store when a call
    shows that it was restored from an older copy.
    """

    __slots__ = (
        "confirmed_at",
        "joined_revision",
        "lease_id",
        "metrics",
        "next_call_at",
        "on_store_back",
        "on_store_restored",
        "record",
        "renewal_interval_seconds",
        "store",
        "store_failing",
        "view_task",
    )

    def __init__(
        self,
        record: MemberRecord,
        store: BaseStore,
        view_task: BaseTask,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        super().__init__("member", clock)
        self.record = record
        self.store = store
        self.metrics = metrics
        self.view_task = view_task
        self.store_failing = False
        self.on_store_back: Callable[[], None] | None = None
        self.on_store_restored: Callable[[int], None] | None = None
        self.confirmed_at = float("-inf")
        self.lease_id = 0
        self.joined_revision = 0
        self.next_call_at = 0.0
        self.renewal_interval_seconds = MEMBER_RENEWAL_INTERVAL_SECONDS

    def next_wake_at(self) -> float:
        return self.next_call_at

    def on_wake(self) -> None:
        sent_at = self.clock.now()
        error = self._renew() if self.lease_id else self._join_fleet()
        if isinstance(error, StoreRestoredError):
            self._record_restore(error.era)
            error = self._join_fleet()
        self.metrics.count("store_calls", kind="member", result="Failure" if error else "Success")
        self._report_store_status(error is not None)
        if error is None:
            self.confirmed_at = sent_at
            self.next_call_at = self.clock.now() + self.renewal_interval_seconds
            return
        if isinstance(error, LeaseNotFoundError):
            log_problem("member-lease-ended", instance=self.record.instance)
            self.lease_id = 0
        self.next_call_at = self.clock.now() + RETRY_DELAY_SECONDS

    def receive(self, message: object) -> object:
        if isinstance(message, Leave):
            self._leave()
        elif isinstance(message, MemberRecordMissing):
            self._on_record_missing(message)
        elif isinstance(message, RelayRoleChanged):
            self._set_renewal_interval(message)
        return None

    def _on_record_missing(self, message: MemberRecordMissing) -> None:
        # A snapshot may have been read before the record was written.
        if self.lease_id and message.revision >= self.joined_revision:
            log_problem("member-record-missing", instance=self.record.instance)
            self.lease_id = 0
            self.next_call_at = 0.0

    def _record_restore(self, era: int) -> None:
        """Gives the lease up: it may be gone, and its id may have been given to another daemon."""
        log_problem("member-lease-ended", instance=self.record.instance, era=era)
        self.lease_id = 0
        if self.on_store_restored is not None:
            self.on_store_restored(era)

    def _set_renewal_interval(self, role: RelayRoleChanged) -> None:
        if not role.reads:
            self.renewal_interval_seconds = FOLLOWER_RENEWAL_INTERVAL_SECONDS
        elif role.is_relay:
            self.renewal_interval_seconds = RELAY_RENEWAL_INTERVAL_SECONDS
        else:
            self.renewal_interval_seconds = MEMBER_RENEWAL_INTERVAL_SECONDS
        self.next_call_at = min(self.next_call_at, self.clock.now() + self.renewal_interval_seconds)

    def _report_store_status(self, failing: bool) -> None:
        """Notifies ``view_task`` when calls to the store begin to fail or succeed again.

        The reader of the store learns of an outage later: its watch call may wait for seconds
        before it fails.
        """
        if failing != self.store_failing:
            self.store_failing = failing
            self.view_task.post(StoreCallStatus(failing))
            if not failing and self.on_store_back is not None:
                self.on_store_back()

    def _leave(self) -> None:
        """Revokes the lease, which deletes the record.

        The other members then divide this daemon's shares of the fleet-wide limits among
        themselves.
        """
        self.next_call_at = NEVER
        if self.lease_id:
            self.store.revoke_lease(self.lease_id, self.clock.now() + CALL_TIMEOUT_SECONDS)
            self.lease_id = 0

    def _join_fleet(self) -> StoreError | None:
        created = self.store.create_lease(
            MEMBER_LEASE_TTL_SECONDS, self.clock.now() + CALL_TIMEOUT_SECONDS
        )
        if not isinstance(created, Success):
            return created.failure()
        lease_id = created.unwrap().lease_id
        put = Put(member_key(self.record.instance), encode_member(self.record), lease_id)
        written = self.store.commit(Commit(puts=(put,)), self.clock.now() + CALL_TIMEOUT_SECONDS)
        if not isinstance(written, Success):
            return written.failure()
        self.lease_id = lease_id
        self.joined_revision = written.unwrap()
        log_event("member-joined", instance=self.record.instance, revision=self.joined_revision)
        return None

    def _renew(self) -> StoreError | None:
        renewed = self.store.renew_lease(self.lease_id, self.clock.now() + CALL_TIMEOUT_SECONDS)
        return None if isinstance(renewed, Success) else renewed.failure()
