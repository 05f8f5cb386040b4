"""What callers were told during generated load, and its check against journals."""

import collections
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from fireflylink_core import BaseValue
from fireflylink_standins._journal import JournalEntry, duplicated_requests, overlapping_owners

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class LoadReport:
    """Counts, latencies and what the caller of each POST was told.

    Counts: ``answered``, ``not-run`` and ``unknown`` are the outcomes in replies; ``no-reply`` is a
    connection that broke, ``unreachable`` a request that no daemon accepted, ``skipped`` one that
    the generator did not send, ``wrong-answer`` a reply to another request. Latencies count from
    the time at which a request was due. ``post_outcomes`` has ``answered-error`` for a POST that
    the server itself answered with an error status, after which it need not have been completed.
    """

    __slots__ = ("answered", "counts", "everything", "lag", "post_outcomes", "reasons")

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.reasons: collections.Counter[str] = collections.Counter()
        self.post_outcomes: dict[str, str] = {}
        self.answered = new_histogram()
        self.everything = new_histogram()
        self.lag = new_histogram()

    def record(self, outcome: str, seconds: float) -> None:
        """Counts a reply that came after a time."""
        self.counts[outcome] += 1
        record_seconds(self.everything, seconds)
        if outcome == "answered":
            record_seconds(self.answered, seconds)

    def as_document(self) -> dict[str, Any]:
        """Returns the counts, and latencies in milliseconds."""
        return {
            "counts": dict(self.counts),
            "reasons": dict(self.reasons),
            "answered_ms": _percentiles(self.answered),
            "all_ms": _percentiles(self.everything),
            "generator_lag_ms": _percentiles(self.lag),
        }


class Verification(BaseValue):
    """Faults found by comparing what callers were told with what servers ran.

    ``duplicated`` POST requests were started more than once, ``lost`` ones were answered without
    having been run, ``wrong_not_run`` ones were run although their caller was told that they were
    not. ``overlaps`` is the number of pairs that show two owners of a key.
    """

    __slots__ = ("duplicated", "lost", "overlaps", "wrong_not_run")

    def __init__(
        self,
        duplicated: tuple[str, ...],
        lost: tuple[str, ...],
        wrong_not_run: tuple[str, ...],
        overlaps: int,
    ) -> None:
        self.duplicated = duplicated
        self.lost = lost
        self.wrong_not_run = wrong_not_run
        self.overlaps = overlaps


def verify(post_outcomes: dict[str, str], entries: Iterable[JournalEntry]) -> Verification:
    """Compares the outcomes of POST requests with the journals of all servers."""
    entries = list(entries)
    started = {entry.request_id for entry in entries if entry.method == "POST"}
    done = {
        entry.request_id for entry in entries if entry.method == "POST" and entry.ending == "done"
    }
    answered = {key for key, outcome in post_outcomes.items() if outcome == "answered"}
    not_run = {key for key, outcome in post_outcomes.items() if outcome == "not-run"}
    return Verification(
        duplicated=tuple(duplicated_requests(entries)),
        lost=tuple(sorted(answered - done)),
        wrong_not_run=tuple(sorted(not_run & started)),
        overlaps=len(overlapping_owners(entries)),
    )


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Records a time, bounded by the range of the histogram."""
    microseconds = int(seconds * MICROSECONDS)
    histogram.record_value(min(HIGHEST_US, max(LOWEST_US, microseconds)))


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    found = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
    found["max"] = histogram.get_max_value() / 1000
    return found
