"""The daemon's own record among the members of the fleet."""

from returns.result import Success

from fireflylink_core import BaseClock
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._messages import Leave, MemberMissing, StoreDoubted
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._task import BaseTask
from fireflylink_protocol import MemberRecord, encode_member, member_key
from fireflylink_store import BaseStore, Commit, LeaseNotFoundError, Put, StoreError

LEASE_SECONDS = 6.0
RENEWAL_SECONDS = 1.0
CALL_SECONDS = 1.0
RETRY_SECONDS = 0.5
NEVER = float("inf")


class MemberTask(BaseTask):
    """Keeps the member record under a lease; the record ends with the daemon."""

    __slots__ = ("doubted", "due_at", "lease_id", "metrics", "record", "store", "view")

    def __init__(
        self,
        record: MemberRecord,
        store: BaseStore,
        view: BaseTask,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        super().__init__("member", clock)
        self.record = record
        self.store = store
        self.metrics = metrics
        self.view = view
        self.doubted = False
        self.lease_id = 0
        self.due_at = 0.0

    def next_wake(self) -> float:
        return self.due_at

    def wake(self) -> None:
        error = self._renew() if self.lease_id else self._join()
        self.metrics.count("store_calls", kind="member", result="Failure" if error else "Success")
        self._tell_doubt(error is not None)
        if error is None:
            self.due_at = self.clock.now() + RENEWAL_SECONDS
            return
        if isinstance(error, LeaseNotFoundError):
            log_problem("member-lease-ended", instance=self.record.instance)
            self.lease_id = 0
        self.due_at = self.clock.now() + RETRY_SECONDS

    def receive(self, message: object) -> object:
        if isinstance(message, Leave):
            self._leave()
        elif isinstance(message, MemberMissing) and self.lease_id:
            log_problem("member-record-missing", instance=self.record.instance)
            self.lease_id = 0
            self.due_at = 0.0
        return None

    def _tell_doubt(self, doubted: bool) -> None:
        """Lets the view know at once: its own call may wait for seconds before it fails."""
        if doubted != self.doubted:
            self.doubted = doubted
            self.view.post(StoreDoubted(doubted))

    def _leave(self) -> None:
        """Removes the record, so that the others take over this daemon's shares."""
        self.due_at = NEVER
        if self.lease_id:
            self.store.revoke_lease(self.lease_id, self.clock.now() + CALL_SECONDS)
            self.lease_id = 0

    def _join(self) -> StoreError | None:
        opened = self.store.create_lease(LEASE_SECONDS, self.clock.now() + CALL_SECONDS)
        if not isinstance(opened, Success):
            return opened.failure()
        lease_id = opened.unwrap().lease_id
        put = Put(member_key(self.record.instance), encode_member(self.record), lease_id)
        written = self.store.commit(Commit(puts=(put,)), self.clock.now() + CALL_SECONDS)
        if not isinstance(written, Success):
            return written.failure()
        self.lease_id = lease_id
        log_event("member-joined", instance=self.record.instance, revision=written.unwrap())
        return None

    def _renew(self) -> StoreError | None:
        renewed = self.store.renew_lease(self.lease_id, self.clock.now() + CALL_SECONDS)
        return None if isinstance(renewed, Success) else renewed.failure()
