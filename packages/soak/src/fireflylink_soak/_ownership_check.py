"""The check that a key has one owner, from what the servers have recorded."""

import collections
from collections.abc import Iterator

from fireflylink_soak._record import ENDED, GRANTED, RAN, RELEASED, ServerEvent
from fireflylink_soak._violation import Violation

MAX_SHARED_SECONDS = 0.5
"""Time for which two servers may hold a key without requests on it. A sender that is paused between
its check of the time and its sending makes such an overlap; it is never this long."""


class _Hold:
    """A time in which one server held keys."""

    __slots__ = ("fence", "first", "last", "server", "since", "until")

    def __init__(
        self, server: str, first: int, last: int, fence: int, since: float, until: float
    ) -> None:
        self.server = server
        self.first = first
        self.last = last
        self.fence = fence
        self.since = since
        self.until = until


def check_one_owner(events: list[ServerEvent]) -> Iterator[Violation]:
    """Two servers do not hold a key at the same time for long, nor both run requests on it."""
    holds = _holds(events)
    runs: dict[str, list[ServerEvent]] = collections.defaultdict(list)
    for event in events:
        if event.what == RAN and event.key >= 0:
            runs[event.server].append(event)
    for index, hold in enumerate(holds):
        for other in holds[index + 1 :]:
            if other.since >= hold.until:
                break
            violation = _compare(hold, other, runs)
            if violation is not None:
                yield violation


def _compare(hold: _Hold, other: _Hold, runs: dict[str, list[ServerEvent]]) -> Violation | None:
    """Returns what two holds break, of which ``other`` begins later."""
    if other.server == hold.server or other.first > hold.last or hold.first > other.last:
        return None
    start, end = other.since, min(hold.until, other.until)
    if end <= start:
        return None
    first, last = max(hold.first, other.first), min(hold.last, other.last)
    both_ran = all(
        any(start < run.at < end and first <= run.key <= last for run in runs[server])
        for server in (hold.server, other.server)
    )
    if not both_ran and end - start <= MAX_SHARED_SECONDS:
        return None
    return Violation(
        "one owner",
        f"{hold.server} (fence {hold.fence}) and {other.server} (fence {other.fence}) hold "
        f"{first}-{last} for {end - start:.2f} s from {start:.2f}",
    )


def _holds(events: list[ServerEvent]) -> list[_Hold]:
    """Returns all holds by their start; a renewal is a hold that begins where the last one ends."""
    finished: list[_Hold] = []
    current: dict[str, list[_Hold]] = collections.defaultdict(list)
    for event in events:
        if event.what == ENDED:
            for hold in current.pop(event.server, []):
                finished.append(_until(hold, hold.first, hold.last, event.at))
            continue
        if event.what not in (GRANTED, RELEASED) or event.keys is None:
            continue
        kept: list[_Hold] = []
        for hold in current[event.server]:
            kept.extend(_cut(hold, event.keys.first, event.keys.last, event.at, finished))
        if event.what == GRANTED:
            keys = event.keys
            kept.append(
                _Hold(event.server, keys.first, keys.last, event.fence, event.at, event.until)
            )
        current[event.server] = kept
    for holds in current.values():
        finished.extend(holds)
    return sorted(finished, key=lambda hold: hold.since)


def _until(hold: _Hold, first: int, last: int, at: float) -> _Hold:
    """Returns a part of a hold that ends at a time, or before if it has expired by then."""
    return _Hold(hold.server, first, last, hold.fence, hold.since, min(hold.until, at))


def _cut(hold: _Hold, first: int, last: int, at: float, finished: list[_Hold]) -> Iterator[_Hold]:
    """Ends the part of a hold that a grant or a release replaces; returns what goes on."""
    first, last = max(hold.first, first), min(hold.last, last)
    if first > last:
        yield hold
        return
    finished.append(_until(hold, first, last, at))
    if hold.first < first:
        yield _Hold(hold.server, hold.first, first - 1, hold.fence, hold.since, hold.until)
    if hold.last > last:
        yield _Hold(hold.server, last + 1, hold.last, hold.fence, hold.since, hold.until)
