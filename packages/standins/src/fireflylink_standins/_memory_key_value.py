"""In-memory key-value client with fault switches, for tests within one process."""

import gevent
from returns.result import Failure, Result, Success

from fireflylink_core import BaseClock, SystemClock
from fireflylink_platform_client import (
    BaseKeyValueClient,
    Entry,
    LeaseExpired,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailable,
    RevisionConflict,
    Snapshot,
)
from fireflylink_standins._platform_faults import CallCounts, PlatformFaults, PlatformMode
from fireflylink_standins._platform_store import PlatformStore


class MemoryKeyValue(BaseKeyValueClient):
    """A key-value client whose store is in memory. Several clients may share one store.

    A slow platform fails a call whose deadline (by default ``call_timeout`` seconds) comes before
    the delay ends; a write then takes effect nevertheless, after the caller was told so.

    Example::

        platform = MemoryKeyValue()
        platform.faults.lose_replies = 1
    """

    __slots__ = ("call_timeout", "clock", "counts", "faults", "store")

    def __init__(
        self,
        clock: BaseClock | None = None,
        store: PlatformStore | None = None,
        call_timeout: float = 1.0,
    ) -> None:
        self.clock = clock or SystemClock()
        self.store = store or PlatformStore(self.clock)
        self.faults = PlatformFaults()
        self.counts = CallCounts()
        self.call_timeout = call_timeout

    def read(self, key: str, deadline: float | None = None) -> Result[Entry | None, PlatformError]:
        failure = self._enter("read", deadline)
        return Failure(failure) if failure else Success(self.store.read(key))

    def read_prefix(
        self, prefix: str, deadline: float | None = None
    ) -> Result[Snapshot, PlatformError]:
        failure = self._enter("prefix", deadline)
        return Failure(failure) if failure else Success(self.store.snapshot(prefix))

    def write(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: str | None = None,
        deadline: float | None = None,
    ) -> Result[int, PlatformError]:
        failure = self._enter("write", deadline)
        if self._without_effect(failure):
            return Failure(failure or OutcomeUnknownError(f"write {key}: request lost"))
        try:
            outcome = self.store.write(key, value, expected_revision, lease)
        except KeyError:
            return Failure(failure or PlatformUnavailable(f"write {key}: unknown lease"))
        return self._changed(key, expected_revision, outcome, failure)

    def delete(
        self, key: str, expected_revision: int, deadline: float | None = None
    ) -> Result[int, PlatformError]:
        failure = self._enter("delete", deadline)
        if self._without_effect(failure):
            return Failure(failure or OutcomeUnknownError(f"delete {key}: request lost"))
        outcome = self.store.delete(key, expected_revision)
        return self._changed(key, expected_revision, outcome, failure)

    def watch(
        self, prefix: str, after_revision: int, timeout: float
    ) -> Result[Snapshot, PlatformError]:
        failure = self._enter("watch", None)
        if failure:
            return Failure(failure)
        self.counts.pending_watches += 1
        try:
            snapshot = self.store.watch(prefix, after_revision, timeout)
        finally:
            self.counts.pending_watches -= 1
        if self.faults.mode in (PlatformMode.DOWN, PlatformMode.SILENT):
            return Failure(PlatformUnavailable(f"watch {prefix}: platform is down"))
        return Success(snapshot)

    def open_lease(self, ttl_ms: int, deadline: float | None = None) -> Result[str, PlatformError]:
        failure = self._enter("lease", deadline)
        return Failure(failure) if failure else Success(self.store.open_lease(ttl_ms))

    def renew_lease(self, lease: str, deadline: float | None = None) -> Result[None, PlatformError]:
        failure = self._enter("lease", deadline)
        if failure:
            return Failure(failure)
        if self.store.renew_lease(lease):
            return Success(None)
        return Failure(LeaseExpired(f"lease {lease} has ended"))

    def _enter(self, kind: str, deadline: float | None) -> PlatformError | None:
        """Counts a call and returns the failure that the fault switches prescribe."""
        self.counts.add(kind)
        mode = self.faults.mode
        if mode is PlatformMode.DOWN:
            return PlatformUnavailable(f"{kind}: platform is down")
        timeout = self.call_timeout if deadline is None else deadline - self.clock.now()
        delay = self.faults.delay_ms / 1000 if mode is PlatformMode.SLOW else 0.0
        if mode is not PlatformMode.SILENT and delay <= timeout:
            if delay:
                gevent.sleep(delay)
            return None
        gevent.sleep(max(0.0, timeout))
        if kind in ("write", "delete"):
            return OutcomeUnknownError(f"{kind}: deadline passed")
        return PlatformUnavailable(f"{kind}: deadline passed")

    def _without_effect(self, failure: PlatformError | None) -> bool:
        if isinstance(failure, PlatformUnavailable):
            return True
        if failure is not None:
            return self.faults.mode is PlatformMode.SILENT
        return self.faults.take_lost_request()

    def _changed(
        self,
        key: str,
        expected_revision: int,
        outcome: tuple[bool, int],
        failure: PlatformError | None,
    ) -> Result[int, PlatformError]:
        done, revision = outcome
        if failure is not None:
            return Failure(failure)
        if self.faults.take_lost_reply():
            return Failure(OutcomeUnknownError(f"write {key}: reply lost"))
        if done:
            return Success(revision)
        return Failure(RevisionConflict(key, expected_revision, revision))
