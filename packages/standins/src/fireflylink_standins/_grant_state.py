"""The state of a backend server's stand-in: which keys it holds under which fence."""

from fireflylink_core import BaseClock, KeyRange


class _Hold:
    """A range that is held until a time."""

    __slots__ = ("fence", "keys", "until")

    def __init__(self, keys: KeyRange, fence: int, until: float) -> None:
        self.keys = keys
        self.fence = fence
        self.until = until


class GrantState:
    """Grants of one incarnation of a server. ``executed`` records each run request and its key."""

    __slots__ = ("clock", "executed", "holds", "seen_fences", "tokens")

    def __init__(self, clock: BaseClock) -> None:
        self.clock = clock
        self.holds: list[_Hold] = []
        self.seen_fences: list[tuple[KeyRange, int]] = []
        self.executed: list[tuple[str, int]] = []
        self.tokens = 0

    def grant(self, keys: KeyRange, fence: int, hold_seconds: float) -> bool:
        """Takes keys; returns whether no higher fence was seen on one of them."""
        if any(seen > fence and found.overlaps(keys) for found, seen in self.seen_fences):
            return False
        self._note_seen(keys, fence)
        self._drop(keys)
        self.holds.append(_Hold(keys, fence, self.clock.now() + hold_seconds))
        return True

    def release(self, keys: KeyRange, fence: int) -> str:
        """Gives keys up; returns the hand-over token."""
        self._note_seen(keys, fence)
        self._drop(keys)
        self.tokens += 1
        return f"token-{self.tokens}"

    def holds_key(self, key: int) -> bool:
        """Whether a key is held now."""
        now = self.clock.now()
        return any(
            hold.keys.first <= key <= hold.keys.last and now < hold.until for hold in self.holds
        )

    def _note_seen(self, keys: KeyRange, fence: int) -> None:
        self.seen_fences = [
            (found, seen) for found, seen in self.seen_fences if found != keys or seen > fence
        ]
        self.seen_fences.append((keys, fence))

    def _drop(self, keys: KeyRange) -> None:
        kept = []
        for hold in self.holds:
            if not hold.keys.overlaps(keys):
                kept.append(hold)
                continue
            if hold.keys.first < keys.first:
                kept.append(
                    _Hold(KeyRange(hold.keys.first, keys.first - 1), hold.fence, hold.until)
                )
            if hold.keys.last > keys.last:
                kept.append(_Hold(KeyRange(keys.last + 1, hold.keys.last), hold.fence, hold.until))
        self.holds = kept
