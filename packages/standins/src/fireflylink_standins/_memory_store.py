"""A store in memory, for tests that use no sockets."""

import gevent
from returns.result import Failure, Result, Success

from fireflylink_standins._store_state import (
    ConditionFailedError,
    NoSuchLeaseError,
    StoreState,
)
from fireflylink_store import (
    BaseStore,
    ChangeBatch,
    Commit,
    ConflictError,
    HistoryCompactedError,
    Item,
    Lease,
    LeaseNotFoundError,
    Snapshot,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

POLL_SECONDS = 0.01


class MemoryStore(BaseStore):
    """A client of a ``StoreState``; several clients can share one state.

    Deadlines are ignored, but for those of calls while the store ``hangs``: they get no reply, and
    fail at the deadline or when they are interrupted. If ``reachable`` is false, every call fails.
    If ``drops_replies`` is true, a commit takes effect and then fails with
    ``StoreOutcomeUnknownError``, as if its reply had been lost. ``interrupts`` counts the calls of
    ``interrupt``.
    """

    __slots__ = ("drops_replies", "hangs", "interrupts", "reachable", "state")

    def __init__(self, state: StoreState) -> None:
        self.state = state
        self.reachable = True
        self.hangs = False
        self.interrupts = 0
        self.drops_replies = False

    def read(self, key: str, deadline: float) -> Result[Item | None, StoreError]:
        if not self.reachable:
            return _unavailable()
        return Success(self.state.read(key))

    def list(self, prefix: str, deadline: float) -> Result[Snapshot, StoreError]:
        if not self.reachable:
            return _unavailable()
        return Success(Snapshot(tuple(self.state.range(prefix)), self.state.revision))

    def watch(
        self, prefix: str, revision: int, wait_seconds: float, deadline: float
    ) -> Result[ChangeBatch, StoreError]:
        if self.hangs:
            return self._wait_for_nothing(deadline)
        wait_ends_at = self.state.clock.now() + wait_seconds
        interrupts = self.interrupts
        while self.reachable and interrupts == self.interrupts:
            changes = self.state.changes(prefix, revision)
            if changes is None:
                return Failure(HistoryCompactedError("dropped"))
            if changes or self.state.clock.now() >= wait_ends_at:
                return Success(ChangeBatch(tuple(changes), self.state.revision))
            gevent.sleep(POLL_SECONDS)
        return _unavailable()

    def commit(self, commit: Commit, deadline: float) -> Result[int, StoreError]:
        if not self.reachable:
            return _unavailable()
        try:
            revision = self.state.commit(commit)
        except ConditionFailedError as error:
            return Failure(ConflictError(error.items))
        except NoSuchLeaseError:
            return Failure(LeaseNotFoundError("ended"))
        return self._commit_result(revision)

    def create_lease(self, ttl_seconds: float, deadline: float) -> Result[Lease, StoreError]:
        if not self.reachable:
            return _unavailable()
        return Success(Lease(self.state.create_lease(ttl_seconds), ttl_seconds))

    def renew_lease(self, lease_id: int, deadline: float) -> Result[float, StoreError]:
        if not self.reachable:
            return _unavailable()
        if self.hangs:
            return self._wait_for_nothing(deadline)
        seconds = self.state.renew_lease(lease_id)
        return Failure(LeaseNotFoundError("ended")) if seconds is None else Success(seconds)

    def revoke_lease(self, lease_id: int, deadline: float) -> Result[None, StoreError]:
        if not self.reachable:
            return _unavailable()
        self.state.revoke_lease(lease_id)
        return Success(None)

    def interrupt(self) -> None:
        self.interrupts += 1

    def _wait_for_nothing(self, deadline: float) -> Failure[StoreError]:
        interrupts = self.interrupts
        while self.state.clock.now() < deadline and interrupts == self.interrupts:
            gevent.sleep(POLL_SECONDS)
        return Failure(StoreOutcomeUnknownError("no reply"))

    def _commit_result(self, revision: int) -> Result[int, StoreError]:
        if self.drops_replies:
            return Failure(StoreOutcomeUnknownError("the reply was lost"))
        return Success(revision)


def _unavailable() -> Failure[StoreError]:
    return Failure(StoreUnavailableError("the store is not reachable"))
