"""Record of what backend stand-ins ran, for tests that count faults of the router."""

import collections
from collections.abc import Iterable
from typing import Any

DOCUMENT_FIELDS = (
    "server_id",
    "generation",
    "service",
    "key",
    "method",
    "request_id",
    "call_id",
    "shard",
    "epoch",
    "gateway_epoch",
    "start_ms",
    "end_ms",
    "ending",
)


class JournalEntry:
    """One request that a server started to run.

    Times are milliseconds of ``CLOCK_BOOTTIME``, the same for every stand-in of a machine, whatever
    the server's own clock shows. ``ending`` is ``running``, ``done``, ``cancelled``, ``deadline``
    or ``crashed``; only ``done`` had its effect on the key.
    """

    __slots__ = DOCUMENT_FIELDS

    def __init__(
        self,
        server_id: str,
        generation: str,
        service: str,
        key: str,
        method: str,
        request_id: str,
        call_id: str,
        shard: int,
        epoch: int,
        gateway_epoch: int,
        start_ms: float,
        end_ms: float = 0.0,
        ending: str = "running",
    ) -> None:
        self.server_id = server_id
        self.generation = generation
        self.service = service
        self.key = key
        self.method = method
        self.request_id = request_id
        self.call_id = call_id
        self.shard = shard
        self.epoch = epoch
        self.gateway_epoch = gateway_epoch
        self.start_ms = start_ms
        self.end_ms = end_ms
        self.ending = ending

    def finish(self, ending: str, end_ms: float) -> None:
        """Records how and when the request ended."""
        if self.ending == "running":
            self.ending = ending
            self.end_ms = end_ms

    def as_document(self) -> dict[str, Any]:
        """Returns the fields for JSON."""
        return {name: getattr(self, name) for name in DOCUMENT_FIELDS}


class Journal:
    """The most recent entries of one or more servers, and counts of violations."""

    __slots__ = ("dropped", "entries", "limit", "violations")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.entries: collections.deque[JournalEntry] = collections.deque()
        self.dropped = 0
        self.violations: collections.Counter[str] = collections.Counter()

    def add(self, entry: JournalEntry) -> None:
        """Appends an entry; the oldest one goes when there are too many."""
        self.entries.append(entry)
        if len(self.entries) > self.limit:
            self.entries.popleft()
            self.dropped += 1

    def violate(self, kind: str) -> None:
        """Counts a violation of the server's contract."""
        self.violations[kind] += 1

    def since(self, position: int) -> list[JournalEntry]:
        """Returns the entries from a position on, counted from the start of the server."""
        skip = max(0, position - self.dropped)
        return list(self.entries)[skip:]

    @property
    def next_position(self) -> int:
        """The position after the newest entry."""
        return self.dropped + len(self.entries)


def entry_from_document(document: dict[str, Any]) -> JournalEntry:
    """Returns the entry that ``as_document`` encoded."""
    return JournalEntry(**{name: document[name] for name in DOCUMENT_FIELDS})


def duplicated_requests(entries: Iterable[JournalEntry]) -> list[str]:
    """Returns the ids of POST requests that were started more than once, on any server."""
    counts = collections.Counter(
        entry.request_id for entry in entries if entry.method == "POST" and entry.request_id
    )
    return sorted(request_id for request_id, count in counts.items() if count > 1)


def overlapping_owners(
    entries: Iterable[JournalEntry],
) -> list[tuple[JournalEntry, JournalEntry]]:
    """Returns pairs of requests for one key that show two owners at the same moment.

    That is the case when two servers ran requests for the key at the same time, or when a server
    ran one after another server had run one under a higher epoch of the same record. The epoch of
    a shard and that of a single-key exception cannot be compared.
    """
    by_key: dict[tuple[str, str], list[JournalEntry]] = {}
    for entry in entries:
        if entry.key:
            by_key.setdefault((entry.service, entry.key), []).append(entry)
    found: list[tuple[JournalEntry, JournalEntry]] = []
    for key_entries in by_key.values():
        found += _overlaps_of_key(sorted(key_entries, key=lambda entry: entry.start_ms))
    return found


def _overlaps_of_key(entries: list[JournalEntry]) -> list[tuple[JournalEntry, JournalEntry]]:
    """Compares each entry with the last-ending and the highest-epoch one of every other server."""
    found = []
    latest: dict[str, JournalEntry] = {}
    newest: dict[tuple[str, int], JournalEntry] = {}
    for entry in entries:
        for server_id, other in latest.items():
            if server_id == entry.server_id:
                continue
            highest = newest.get((server_id, entry.shard))
            stale = highest is not None and highest.epoch > entry.epoch
            if _end_of(other) > entry.start_ms or stale:
                found.append((other, entry))
        known = latest.get(entry.server_id)
        if known is None or _end_of(known) < _end_of(entry):
            latest[entry.server_id] = entry
        record = (entry.server_id, entry.shard)
        if record not in newest or newest[record].epoch < entry.epoch:
            newest[record] = entry
    return found


def _end_of(entry: JournalEntry) -> float:
    return float("inf") if entry.ending == "running" else entry.end_ms
