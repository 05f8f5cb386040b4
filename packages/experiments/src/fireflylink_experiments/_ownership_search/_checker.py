"""Checks that no two servers hold, or work on, the same keys."""

import enum
from collections import deque
from collections.abc import Iterable

from fireflylink_core import BaseClock, KeyRange
from fireflylink_experiments._ownership_search._holds import FenceMap, Hold, Work
from fireflylink_experiments._ownership_search._server import BaseServerObserver, SimulatedServer

MAX_OVERLAP_SECONDS = 0.5
"""Two servers may hold the same keys for so long if not both begin requests on them."""

TRACE_SECONDS = 16.0
"""How much of the time before a violation its trace shows: longer than the grace time of a decider
and a hold after it."""

MAX_TRACE_LINES = 60
MAX_RECORDED_EVENTS = 50_000


class ViolationKind(enum.Enum):
    """Which check found two owners."""

    BOTH_BEGIN_REQUESTS = "both-begin-requests"
    LONG_OVERLAP = "long-overlap"
    GRANTED_AT_WORK = "granted-at-work"
    FENCE_NOT_HIGHER = "fence-not-higher"


class Violation:
    """Two servers that had the same keys. ``trace`` are the lines of what led to it."""

    __slots__ = ("description", "kind", "time", "trace")

    def __init__(
        self, kind: ViolationKind, time: float, description: str, trace: list[str]
    ) -> None:
        self.kind = kind
        self.time = time
        self.description = description
        self.trace = trace


class _Overlap:
    """Keys that two servers hold since ``since``; ``beginners`` have begun requests on them."""

    __slots__ = ("beginners", "is_reported", "parts", "since")

    def __init__(self, parts: dict[SimulatedServer, Hold], since: float) -> None:
        self.parts = parts
        self.since = since
        self.beginners: set[SimulatedServer] = set()
        self.is_reported = False

    def common_keys(self, now: float) -> list[KeyRange]:
        first, second = self.parts.values()
        return (
            [common for keys in first.ranges for common in second.common_keys(keys, now)]
            if now < first.counts_until
            else []
        )


class OwnershipChecker(BaseServerObserver):
    """Records what the servers do, and reports two owners as ``Violation``s.

    Grants that were carried out late do not count. ``servers`` are those that are up.
    """

    __slots__ = (
        "clock",
        "events",
        "fences",
        "moves",
        "overlaps",
        "reported",
        "servers",
        "violations",
    )

    def __init__(self, clock: BaseClock) -> None:
        self.clock = clock
        self.servers: set[SimulatedServer] = set()
        self.fences = FenceMap()
        self.moves = 0
        self.overlaps: list[_Overlap] = []
        self.violations: list[Violation] = []
        self.reported: set[tuple[object, ...]] = set()
        self.events: deque[tuple[float, KeyRange | None, str]] = deque(maxlen=MAX_RECORDED_EVENTS)

    def record_event(self, text: str, keys: KeyRange | None = None) -> None:
        """Records what happened to keys, or to all of them, for the traces."""
        self.events.append((self.clock.now(), keys, text))

    def record_grant(self, server: SimulatedServer, hold: Hold) -> None:
        """Checks a grant that a server has accepted in time."""
        now = self.clock.now()
        for keys in hold.ranges:
            previous = self.fences.holders(keys)
            conflict = self.fences.record(keys, hold.fence, server.server_id)
            self.moves += bool(previous - {server.server_id})
            if conflict is not None:
                fence, holder, common = conflict
                self._report(
                    ViolationKind.FENCE_NOT_HIGHER,
                    f"{server} takes {common} under fence {hold.fence}; {holder} had {fence}",
                    common,
                    (server, holder, hold.fence),
                )
        for other in self._others(server):
            self._check_work(server, hold, other.running_work(now))
            for other_hold in other.holds:
                self._add_overlap({server: hold, other: other_hold}, now)

    def record_begin(self, server: SimulatedServer, work: Work) -> None:
        """Checks a request that a server begins."""
        now = self.clock.now()
        for overlap in self.overlaps:
            if overlap.parts.get(server) is not work.hold:
                continue
            common = [
                keys for keys in overlap.common_keys(now) if keys.first <= work.key <= keys.last
            ]
            if not common:
                continue
            overlap.beginners.add(server)
            if len(overlap.beginners) > 1:
                self._report_overlap(ViolationKind.BOTH_BEGIN_REQUESTS, overlap, common[0])

    def check_overlaps(self) -> None:
        """Ends overlaps that are over, and reports those that last too long."""
        now = self.clock.now()
        remaining = []
        for overlap in self.overlaps:
            common = overlap.common_keys(now)
            if not common or not self.servers.issuperset(overlap.parts):
                continue
            remaining.append(overlap)
            if now > overlap.since + MAX_OVERLAP_SECONDS and not overlap.is_reported:
                overlap.is_reported = True
                self._report_overlap(ViolationKind.LONG_OVERLAP, overlap, common[0])
        self.overlaps = remaining

    def _others(self, server: SimulatedServer) -> list[SimulatedServer]:
        return sorted(self.servers - {server}, key=str)

    def _check_work(self, server: SimulatedServer, hold: Hold, work: Iterable[Work]) -> None:
        for running in work:
            now = self.clock.now()
            if now >= running.hold.counts_until or not hold.has(running.key, now):
                continue
            self._report(
                ViolationKind.GRANTED_AT_WORK,
                f"{server} takes {hold.granted_keys} under fence {hold.fence} while a request of"
                f" key {running.key} runs under fence {running.hold.fence}, whose hold has"
                f" {running.hold.counts_until - now:.2f} s left",
                KeyRange(running.key, running.key),
                (server, hold.fence, running.hold.fence),
            )

    def _add_overlap(self, parts: dict[SimulatedServer, Hold], now: float) -> None:
        overlap = _Overlap(parts, now)
        if overlap.common_keys(now) and all(known.parts != parts for known in self.overlaps):
            self.overlaps.append(overlap)

    def _report_overlap(self, kind: ViolationKind, overlap: _Overlap, keys: KeyRange) -> None:
        holds = " and ".join(
            f"{server} (fence {hold.fence})" for server, hold in overlap.parts.items()
        )
        text = f"{holds} hold {keys} for {self.clock.now() - overlap.since:.2f} s"
        self._report(kind, text, keys, tuple(sorted(map(str, overlap.parts))))

    def _report(
        self, kind: ViolationKind, text: str, keys: KeyRange, identity: tuple[object, ...]
    ) -> None:
        if (kind, *identity) in self.reported:
            return
        self.reported.add((kind, *identity))
        now = self.clock.now()
        lines = [
            f"{time:.3f} {event}"
            for time, event_keys, event in self.events
            if time >= now - TRACE_SECONDS and (event_keys is None or event_keys.overlaps(keys))
        ]
        self.violations.append(Violation(kind, now, text, lines[-MAX_TRACE_LINES:]))
