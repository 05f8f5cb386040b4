"""The key ranges that a stand-in of a backend server holds, with their fences."""

import gevent.event

from fireflylink_core import BaseClock, KeyRange


class _HeldRange:
    """A key range that is held under a fence until ``expires_at``, in seconds of the clock."""

    __slots__ = ("expires_at", "fence", "keys")

    def __init__(self, keys: KeyRange, fence: int, expires_at: float) -> None:
        self.keys = keys
        self.fence = fence
        self.expires_at = expires_at


class Run:
    """One execution of a request; ``number`` counts those of the server process."""

    __slots__ = ("ended", "key", "number", "request_id")

    def __init__(self, number: int, request_id: str, key: int) -> None:
        self.number = number
        self.request_id = request_id
        self.key = key
        self.ended = gevent.event.Event()


class GrantState:
    """The keys that one server process holds, and the requests that it executes.

    ``seen_fences`` has the fences seen with their key ranges, which may overlap.
    ``executed`` contains the id and the key of each request in the order of execution, and ``runs``
    are the executions that go on.
    """

    __slots__ = ("clock", "executed", "holds", "issued_tokens", "runs", "seen_fences")

    def __init__(self, clock: BaseClock) -> None:
        self.clock = clock
        self.holds: list[_HeldRange] = []
        self.seen_fences: list[tuple[KeyRange, int]] = []
        self.executed: list[tuple[str, int]] = []
        self.runs: list[Run] = []
        self.issued_tokens = 0

    def begin_run(self, request_id: str, key: int) -> Run:
        """Records that the server has begun to run a request."""
        self.executed.append((request_id, key))
        run = Run(len(self.executed), request_id, key)
        self.runs.append(run)
        return run

    def end_run(self, run: Run) -> None:
        """Records that the server works on a request no longer."""
        self.runs.remove(run)
        run.ended.set()

    def record_rejected(self, request_id: str) -> None:
        """Called for each request that the server has not run and does not run later."""

    def grant(self, keys: KeyRange, fence: int, arrived_at: float, hold_seconds: float) -> bool:
        """Holds keys for a time; returns false if a higher fence was seen for any of them.

        The time counts from ``arrived_at``, when the grant arrived, in seconds on the clock.
        """
        if any(
            seen_fence > fence and seen_keys.overlaps(keys)
            for seen_keys, seen_fence in self.seen_fences
        ):
            return False
        self._record_fence(keys, fence)
        self._remove_keys(keys)
        self.holds.append(_HeldRange(keys, fence, arrived_at + hold_seconds))
        return True

    def release(self, keys: KeyRange, fence: int) -> str:
        """Releases keys under any fence; returns the handover token.

        New work on the keys stops at once. The token is returned when the work on them that was
        going on has ended.
        """
        self.stop_work(keys, fence)
        for run in [run for run in self.runs if keys.first <= run.key <= keys.last]:
            run.ended.wait()
        self.issued_tokens += 1
        return f"token-{self.issued_tokens}"

    def stop_work(self, keys: KeyRange, fence: int) -> None:
        """Stops new work on keys."""
        self._record_fence(keys, fence)
        self._remove_keys(keys)

    def holds_key(self, key: int) -> bool:
        """Whether the server holds a key now."""
        now = self.clock.now()
        return any(
            hold.keys.first <= key <= hold.keys.last and now < hold.expires_at
            for hold in self.holds
        )

    def _record_fence(self, keys: KeyRange, fence: int) -> None:
        self.seen_fences = [
            (seen_keys, seen_fence)
            for seen_keys, seen_fence in self.seen_fences
            if seen_keys != keys or seen_fence > fence
        ]
        self.seen_fences.append((keys, fence))

    def _remove_keys(self, keys: KeyRange) -> None:
        remaining = []
        for hold in self.holds:
            if not hold.keys.overlaps(keys):
                remaining.append(hold)
                continue
            if hold.keys.first < keys.first:
                remaining.append(
                    _HeldRange(
                        KeyRange(hold.keys.first, keys.first - 1), hold.fence, hold.expires_at
                    )
                )
            if hold.keys.last > keys.last:
                remaining.append(
                    _HeldRange(KeyRange(keys.last + 1, hold.keys.last), hold.fence, hold.expires_at)
                )
        self.holds = remaining
