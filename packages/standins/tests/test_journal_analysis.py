"""Guards the checks that the larger tests rest on: duplicates, overlaps and told outcomes."""

from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from fireflylink_standins import (
    JournalEntry,
    Verification,
    duplicated_requests,
    entry_from_document,
    overlapping_owners,
    verify,
)


def entry(server_id: str, start: float, end: float, **fields: Any) -> JournalEntry:
    document = {
        "server_id": server_id,
        "generation": "g",
        "service": "holds",
        "key": "key",
        "method": "GET",
        "request_id": "",
        "call_id": "",
        "shard": 1,
        "epoch": 1,
        "gateway_epoch": 1,
        "start_ms": start,
        "end_ms": end,
        "ending": "done",
        **fields,
    }
    return entry_from_document(document)


@pytest.mark.parametrize(
    ("entries", "count"),
    [
        ([entry("a", 0, 10), entry("b", 10, 20, epoch=2)], 0),
        ([entry("a", 0, 10), entry("a", 5, 20)], 0),
        ([entry("a", 0, 11), entry("b", 10, 20, epoch=2)], 1),
        ([entry("a", 0, 100), entry("a", 1, 2), entry("b", 50, 60, epoch=2)], 1),
        ([entry("a", 0, 1), entry("b", 2, 3, epoch=2), entry("a", 4, 5)], 1),
        ([entry("a", 0, 1), entry("b", 2, 3, epoch=2), entry("a", 4, 5, epoch=3)], 0),
        ([entry("a", 0, 1, epoch=7), entry("b", 2, 3, shard=2), entry("a", 4, 5, epoch=8)], 0),
        ([entry("a", 0, 0, ending="running"), entry("b", 10, 20, epoch=2)], 1),
        ([entry("a", 0, 11, key=""), entry("b", 10, 20, key="")], 0),
        ([entry("a", 0, 11), entry("b", 10, 20, key="other")], 0),
    ],
)
def test_two_owners_at_one_moment_are_found(entries: list[JournalEntry], count: int) -> None:
    """Guarantee P1 is tested with this function."""
    assert_that(len(overlapping_owners(reversed(entries))), Equals(count))


def test_second_start_on_any_server_is_a_duplicate() -> None:
    """A second run that was cancelled may have had an effect in a real server."""
    entries = [
        entry("a", 0, 1, method="POST", request_id="r1"),
        entry("b", 5, 6, method="POST", request_id="r1", ending="cancelled"),
        entry("a", 0, 1, method="PUT", request_id="r2"),
        entry("a", 2, 3, method="PUT", request_id="r2"),
    ]
    assert_that(duplicated_requests(entries), Equals(["r1"]))


def test_told_outcomes_are_compared_with_what_ran() -> None:
    """Guarantees P6 and P7 are tested with this function."""
    entries = [
        entry("a", 0, 1, method="POST", request_id="ran", key=""),
        entry("a", 0, 1, method="POST", request_id="denied", key="", ending="cancelled"),
        entry("a", 0, 1, method="POST", request_id="unknown", key=""),
    ]
    told = {
        "ran": "answered",
        "missing": "answered",
        "denied": "not-run",
        "shed": "not-run",
        "unknown": "unknown",
    }
    expected = Verification((), ("missing",), ("denied",), 0)
    assert_that(verify(told, entries), Equals(expected))
