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
    Change,
    ChangeBatch,
    Commit,
    ConflictError,
    Deletion,
    HistoryCompactedError,
    Item,
    Lease,
    LeaseNotFoundError,
    Put,
    Snapshot,
    StoreError,
    StoreOutcomeUnknownError,
    StoreRestoredError,
    StoreUnavailableError,
    era_of,
    era_of_lease,
    lease_number_of,
    number_of,
    qualified,
    qualified_lease,
)

POLL_SECONDS = 0.01


class MemoryStore(BaseStore):
    """A client of a ``StoreState``; several clients can share one state.

    Deadlines are ignored, but for those of calls while the store ``hangs``: they get no reply, and
    fail at the deadline or when they are interrupted. If ``reachable`` is false, every call fails.
    If ``drops_replies`` is true, a commit takes effect and then fails with
    ``StoreOutcomeUnknownError``, as if its reply had been lost. ``interrupts`` counts the calls of
    ``interrupt``. Revisions and lease ids are qualified by the era of the state.
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
        item = self.state.read(key)
        return Success(None if item is None else self._qualified_item(item))

    def list(self, prefix: str, deadline: float) -> Result[Snapshot, StoreError]:
        if not self.reachable:
            return _unavailable()
        items = tuple(self._qualified_item(item) for item in self.state.range(prefix))
        return Success(Snapshot(items, self._qualified(self.state.revision)))

    def watch(
        self, prefix: str, revision: int, wait_seconds: float, deadline: float
    ) -> Result[ChangeBatch, StoreError]:
        if self.hangs:
            return self._wait_for_nothing(deadline)
        wait_ends_at = self.state.clock.now() + wait_seconds
        interrupts = self.interrupts
        while self.reachable and interrupts == self.interrupts:
            if self._is_of_other_era(revision):
                return Failure(StoreRestoredError(self.state.era))
            found = self.state.changes(prefix, number_of(revision))
            if found is None:
                return Failure(HistoryCompactedError("dropped"))
            if found or self.state.clock.now() >= wait_ends_at:
                changes = tuple(self._qualified_change(change) for change in found)
                return Success(ChangeBatch(changes, self._qualified(self.state.revision)))
            gevent.sleep(POLL_SECONDS)
        return _unavailable()

    def commit(self, commit: Commit, deadline: float) -> Result[int, StoreError]:
        if not self.reachable:
            return _unavailable()
        revisions = [revision for _, revision in commit.expected_revisions]
        leases = [put.lease_id for put in commit.puts]
        if self._is_of_other_era(*revisions) or self._is_lease_of_other_era(*leases):
            return Failure(StoreRestoredError(self.state.era))
        try:
            revision = self.state.commit(_unqualified_commit(commit))
        except ConditionFailedError as error:
            return Failure(ConflictError(tuple(map(self._qualified_item, error.items))))
        except NoSuchLeaseError:
            return Failure(LeaseNotFoundError("ended"))
        return self._commit_result(self._qualified(revision))

    def create_lease(self, ttl_seconds: float, deadline: float) -> Result[Lease, StoreError]:
        if not self.reachable:
            return _unavailable()
        lease_id = qualified_lease(self.state.era, self.state.create_lease(ttl_seconds))
        return Success(Lease(lease_id, ttl_seconds))

    def renew_lease(self, lease_id: int, deadline: float) -> Result[float, StoreError]:
        if not self.reachable:
            return _unavailable()
        if self.hangs:
            return self._wait_for_nothing(deadline)
        if self._is_lease_of_other_era(lease_id):
            return Failure(StoreRestoredError(self.state.era))
        seconds = self.state.renew_lease(lease_number_of(lease_id))
        return Failure(LeaseNotFoundError("ended")) if seconds is None else Success(seconds)

    def revoke_lease(self, lease_id: int, deadline: float) -> Result[None, StoreError]:
        if not self.reachable:
            return _unavailable()
        if self._is_lease_of_other_era(lease_id):
            return Failure(StoreRestoredError(self.state.era))
        self.state.revoke_lease(lease_number_of(lease_id))
        return Success(None)

    def interrupt(self) -> None:
        self.interrupts += 1

    def _wait_for_nothing(self, deadline: float) -> Failure[StoreError]:
        interrupts = self.interrupts
        while self.state.clock.now() < deadline and interrupts == self.interrupts:
            gevent.sleep(POLL_SECONDS)
        return Failure(StoreOutcomeUnknownError("no reply"))

    def _qualified(self, number: int) -> int:
        return qualified(self.state.era, number)

    def _qualified_item(self, item: Item) -> Item:
        revision = self._qualified(item.revision)
        lease_id = qualified_lease(self.state.era, item.lease_id)
        return Item(item.key, item.value, revision, lease_id)

    def _qualified_change(self, change: Change) -> Change:
        if isinstance(change, Item):
            return self._qualified_item(change)
        return Deletion(change.key, self._qualified(change.revision))

    def _is_of_other_era(self, *numbers: int) -> bool:
        return any(number and era_of(number) != self.state.era for number in numbers)

    def _is_lease_of_other_era(self, *lease_ids: int) -> bool:
        return any(lease_id and era_of_lease(lease_id) != self.state.era for lease_id in lease_ids)

    def _commit_result(self, revision: int) -> Result[int, StoreError]:
        if self.drops_replies:
            return Failure(StoreOutcomeUnknownError("the reply was lost"))
        return Success(revision)


def _unqualified_commit(commit: Commit) -> Commit:
    return Commit(
        tuple((key, number_of(revision)) for key, revision in commit.expected_revisions),
        tuple(Put(put.key, put.value, lease_number_of(put.lease_id)) for put in commit.puts),
        commit.deletions,
    )


def _unavailable() -> Failure[StoreError]:
    return Failure(StoreUnavailableError("the store is not reachable"))
