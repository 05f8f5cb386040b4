"""Keys that a server holds, the work on them, and the highest fences of all keys."""

from fireflylink_core import FIRST_KEY, LAST_KEY, KeyRange


class Hold:
    """The keys that one grant gave to a server, without those that it lost since.

    ``expires_at`` is by the server's own clock, in seconds of the scheduler's. ``counts_until`` is
    the same without grants and renewals that were carried out after their sender's time-out.
    """

    __slots__ = ("counts_until", "expires_at", "fence", "granted_keys", "ranges")

    def __init__(self, keys: KeyRange, fence: int) -> None:
        self.granted_keys = keys
        self.ranges = [keys]
        self.fence = fence
        self.expires_at = float("-inf")
        self.counts_until = float("-inf")

    def extend(self, expires_at: float, is_late: bool) -> None:
        """Records the grant, or a renewal."""
        self.expires_at = max(self.expires_at, expires_at)
        if not is_late:
            self.counts_until = max(self.counts_until, expires_at)

    def has(self, key: int, now: float) -> bool:
        """Whether the hold has a key now."""
        return now < self.expires_at and any(keys.first <= key <= keys.last for keys in self.ranges)

    def common_keys(self, keys: KeyRange, now: float) -> list[KeyRange]:
        """Returns the held parts of a range, if the hold counts."""
        if now >= self.counts_until:
            return []
        return [
            KeyRange(max(held.first, keys.first), min(held.last, keys.last))
            for held in self.ranges
            if held.overlaps(keys)
        ]

    def remove(self, keys: KeyRange) -> None:
        """Removes keys that were released, or granted under another fence."""
        remaining = []
        for held in self.ranges:
            if not held.overlaps(keys):
                remaining.append(held)
                continue
            if held.first < keys.first:
                remaining.append(KeyRange(held.first, keys.first - 1))
            if keys.last < held.last:
                remaining.append(KeyRange(keys.last + 1, held.last))
        self.ranges = remaining


class Work:
    """A request that runs on a key under a hold until ``ends_at``, or until the hold expires."""

    __slots__ = ("ends_at", "hold", "key")

    def __init__(self, key: int, hold: Hold, ends_at: float) -> None:
        self.key = key
        self.hold = hold
        self.ends_at = ends_at

    def is_running(self, now: float) -> bool:
        """Whether the request has neither ended nor outlasted its hold."""
        return now < self.ends_at and now < self.hold.expires_at


class FenceMap:
    """The highest fence under which each key was held, and the id of the server that held it."""

    __slots__ = ("segments",)

    def __init__(self) -> None:
        self.segments: list[tuple[KeyRange, int, str]] = [(KeyRange(FIRST_KEY, LAST_KEY), 0, "")]

    def record(
        self, keys: KeyRange, fence: int, server_id: str
    ) -> tuple[int, str, KeyRange] | None:
        """Records a hold; returns the fence of another server that is not below, if there is one.

        The holder and the keys of that fence are returned with it.
        """
        conflict = None
        segments: list[tuple[KeyRange, int, str]] = []
        for held, held_fence, holder in self.segments:
            if not held.overlaps(keys):
                segments.append((held, held_fence, holder))
                continue
            common = KeyRange(max(held.first, keys.first), min(held.last, keys.last))
            if held.first < common.first:
                segments.append((KeyRange(held.first, common.first - 1), held_fence, holder))
            if held_fence >= fence and holder != server_id:
                conflict = (held_fence, holder, common)
            value = (fence, server_id) if fence > held_fence else (held_fence, holder)
            last = segments[-1] if segments else None
            if last is not None and last[1:] == value and last[0].last + 1 == common.first:
                segments[-1] = (KeyRange(last[0].first, common.last), *value)
            else:
                segments.append((common, *value))
            if common.last < held.last:
                segments.append((KeyRange(common.last + 1, held.last), held_fence, holder))
        self.segments = segments
        return conflict

    def holders(self, keys: KeyRange) -> set[str]:
        """Returns the servers that held any of the keys last."""
        return {holder for held, _, holder in self.segments if held.overlaps(keys) and holder}
