"""Tests of the records in the store and of the datagrams between daemons."""

import json
import zlib

import msgpack
import pytest
from hypothesis import given, settings, strategies
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, IsInstance, LessThan

from fireflylink_core import (
    Assignment,
    DaemonAddress,
    KeyRange,
    OwnershipTable,
    ServerIncarnation,
)
from fireflylink_protocol import (
    CrashNotice,
    DeciderClaim,
    DeciderRetired,
    GrantNotice,
    LoadReport,
    MemberRecord,
    ServerServiceTime,
    decode_changes,
    decode_datagram,
    decode_member,
    decode_table,
    encode_datagram,
    encode_member,
    encode_table,
)

INCARNATIONS = strategies.builds(
    ServerIncarnation,
    strategies.text("abc0123", min_size=1, max_size=4),
    strategies.integers(0, 1 << 41),
)


@strategies.composite
def ownership_tables(draw) -> OwnershipTable:
    last_keys = sorted(draw(strategies.sets(strategies.integers(0, 65534), max_size=8)) | {65535})
    fence = draw(strategies.integers(1, 1000))
    assignments = []
    first = 0
    for last in last_keys:
        assignments.append(
            Assignment(
                KeyRange(first, last),
                draw(INCARNATIONS),
                draw(strategies.integers(1, fence)),
                tuple(draw(strategies.lists(INCARNATIONS, max_size=2))),
                draw(strategies.sampled_from(["", "5c0e7a21"])),
            )
        )
        first = last + 1
    written_by_sole_decider = draw(strategies.booleans())
    writer = draw(strategies.sampled_from((None, DaemonAddress("front-0", "10.0.0.1", 7540))))
    return OwnershipTable(
        "availability", fence, tuple(assignments), written_by_sole_decider, writer=writer
    )


@settings(derandomize=True, max_examples=100, deadline=None)
@given(ownership_tables())
def test_an_ownership_table_round_trips(table):
    """Guards against an owner, fence or previous holder that differs after decoding.

    The record stores fences as differences and server incarnations by index, so a mistake in either
    can decode to a valid table with wrong contents.
    """
    assert_that(decode_table(encode_table(table)), Equals(Success(table)))


@pytest.mark.parametrize("value", [b"", b"{}", b"not compressed", b"\x78\x9c\x03\x00"])
def test_an_undecodable_record_is_an_error(value):
    """Guards against an exception that ends the task that processes updates of the store.

    A record may be empty, not compressed, truncated or not a JSON object with the expected fields.
    """
    assert_that(decode_table(value), IsInstance(Failure))
    assert_that(decode_member(value), IsInstance(Failure))


MEMBER = {"instance": "a", "started_ms": 1, "data_centre": "z", "host": "10.0.0.1", "port": 1}
TABLE = {"service": "a", "fence": 1, "alone": True, "lives": [["i-1", 1]], "assignments": []}


@pytest.mark.parametrize(
    "change",
    [
        {"port": 65536},
        {"port": -1},
        {"port": 10**30},
        {"host": "a.host"},
        {"host": "h" * 80},
        {"host": 2**40},
        {"started_ms": float("inf")},
        {"started_ms": float("nan")},
        {"started_ms": 2**64},
        {"started_ms": -1},
    ],
)
def test_a_member_record_out_of_range_is_an_error(change):
    """Guards against an address that raises each time when a datagram is sent to it, and against a
    start time that ends the task which applies the store's updates (report)."""
    assert_that(decode_member(json.dumps({**MEMBER, **change}).encode()), IsInstance(Failure))


@pytest.mark.parametrize(
    "change",
    [
        {"fence": float("inf")},
        {"fence": 10**30},
        {"lives": [["i-1", 1e400]]},
        {"lives": [["i-1", 2**64]]},
        {"assignments": [[65537, 0, 0]]},
        {"assignments": [[10**30, 0, 0]]},
        {"assignments": [[-5, 0, 0]]},
        {"assignments": [[5, 0, -1]]},
        {"assignments": [[5, 10**400, 0]]},
        {"assignments": [[5, 0.5, 0]]},
        {"assignments": [[5, 0, 0, [-1], ""]]},
        {"writer": ["front-0", "a.host", 7540]},
        {"writer": ["front-0", "10.0.0.1", 65536]},
        {"writer": ["front-0"]},
    ],
)
def test_a_table_out_of_range_is_an_error(change):
    """Guards against owners of keys that do not exist, and numbers that end the task which applies
    the store's updates (report)."""
    value = zlib.compress(json.dumps({**TABLE, **change}).encode())
    assert_that(decode_table(value), IsInstance(Failure))


def test_a_table_of_an_earlier_version_names_no_writer():
    """Guards against an upgrade after which no decider can read the stored table."""
    table = decode_table(zlib.compress(json.dumps(TABLE).encode())).unwrap()
    assert_that(table.writer, Is(None))


@pytest.mark.parametrize("message", [DeciderClaim("front-0", 7), DeciderRetired("front-0", 7)])
def test_the_messages_of_a_takeover_stay_the_same(message):
    """Guards against a former decider that is never heard to have stepped down."""
    assert_that(decode_datagram(encode_datagram(message)), Equals(Success(message)))


@pytest.mark.parametrize("fields", [[5, "front-0", 0], [6, "front-0", -1], [5, "a"], [6, "a", "9"]])
def test_a_takeover_by_no_decider_record_is_an_error(fields):
    """Guards against a decider that steps down for a malformed datagram."""
    assert_that(decode_datagram(msgpack.packb(fields)), IsInstance(Failure))


@pytest.mark.parametrize("value", [b"[" * 100_000, b'{"fence":' * 100_000, b"9" * 5000])
def test_a_deeply_nested_record_is_an_error(value):
    """Guards against a RecursionError in the task that applies the store's updates (report)."""
    assert_that(decode_member(value), IsInstance(Failure))
    assert_that(decode_table(zlib.compress(value)), IsInstance(Failure))


def test_a_table_that_decompresses_to_too_much_is_an_error():
    """Guards against a short record that takes the memory of a daemon (report)."""
    value = json.dumps(TABLE).encode()
    assert_that(decode_table(zlib.compress(value)), IsInstance(Success))
    assert_that(decode_table(zlib.compress(b" " * 20_000_000 + value)), IsInstance(Failure))


def test_a_member_record_round_trips():
    """Guards against load reports that are sent to a wrong address.

    Daemons send datagrams to the host and port of the decoded record.
    """
    member = MemberRecord("front-0", 17, "kingston", "10.1.0.34", 7540)
    assert_that(decode_member(encode_member(member)), Equals(Success(member)))


@pytest.mark.parametrize(
    "message",
    [
        LoadReport(
            "front-0", "availability", 3, 9, (1, 65535, 1), (ServerServiceTime("i-1", 2, 310),)
        ),
        GrantNotice("availability", KeyRange(4, 99), 12),
        CrashNotice(b"12345678", ServerIncarnation("i-1", 1787427283046)),
    ],
)
def test_a_datagram_round_trips(message):
    """Guards against a message that the receiver decodes with other values than were sent.

    Fields are encoded by position, so encoder and decoder must use the same order.
    """
    assert_that(decode_datagram(encode_datagram(message)), Equals(Success(message)))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(strategies.binary(max_size=64))
def test_arbitrary_bytes_decode_to_a_message_or_an_error(datagram):
    """Guards against an exception that ends the task that receives datagrams.

    Any program can send bytes to the daemon's port.
    """
    assert_that(decode_datagram(datagram), IsInstance(Success | Failure))


@pytest.mark.parametrize(
    "fields",
    [[1, "f", "s", 1, 1, [70000], []], [1, "f", "s", 1, 1, ["x"], []], [1, "f"], [2, "s", 1], [9]],
)
def test_a_malformed_datagram_is_an_error(fields):
    """Guards against a datagram that ends the receiving task or adds impossible keys to the load.

    A datagram may be valid MessagePack but have a key outside of 0 to 65,535, fields of the wrong
    type, too few fields or an unknown type.
    """
    import msgpack

    assert_that(decode_datagram(msgpack.packb(fields)), IsInstance(Failure))


def test_the_record_of_an_ownership_table_is_small():
    """Guards against an ownership record that costs more to distribute than rebalancing saves.

    Every daemon reads the whole record after each change, and traffic between data centres is paid
    for by the byte. The multiplication makes the ids of the 64 owners dissimilar, so that they
    compress badly.
    """
    assignments = tuple(
        Assignment(
            KeyRange(first, first + 1023),
            ServerIncarnation(
                f"i-{(first * 2654435761) % (1 << 40):010x}", 1787427283046 + first % 30
            ),
            first % 7 + 1,
        )
        for first in range(0, 65536, 1024)
    )
    encoded = encode_table(OwnershipTable("availability", 40, assignments))
    print(f"{len(encoded)} bytes")
    assert_that(len(encoded), LessThan(1600))


@pytest.mark.parametrize(
    "fields",
    [
        [1, "a", "s", float("inf"), 1, [], []],
        [1, "a", "s", 1, 1e300, [], []],
        [1, "a", "s", 1, -1, [], []],
        [1, "a", "s", 1, 1, [1.5], []],
        [1, "a", "s", 1, 1, [1], [["i-1", 1, -5]]],
        [1, "a", "s", 1, 1, [1], [["i-1", 2**63, 5]]],
        [2, "a", float("inf"), 5, 1],
        [2, "a", 7, 5, 1],
        [2, "a", 0, 70_000, 1],
        [2, "a", 0, 5, -1],
        [3, b"a", "i-1", float("inf")],
        [3, 2**62, "i-1", 5],
        [4, "a", 1e300, 5, 0, 1, b"", 1, 1],
        [4, "a", 0, float("inf"), 0, 1, b"", 1, 1],
        [4, "a", 0, 2**64 - 1, 0, 1, b"", 1, 1],
    ],
)
def test_a_datagram_out_of_range_is_an_error(fields):
    """Guards against a number that raises in the greenlet that receives datagrams, or later in
    the arithmetic of the task that takes the message (report)."""
    assert_that(decode_datagram(msgpack.packb(fields)), IsInstance(Failure))


def test_deeply_nested_datagrams_and_changes_are_errors():
    """Guards against nested MessagePack that ends the receiving greenlet (report)."""
    assert_that(decode_datagram(b"\x91" * 2000), IsInstance(Failure))
    assert_that(decode_changes(zlib.compress(b"\x91" * 200_000)), IsInstance(Failure))
    for revision in (float("inf"), -1, 2**64 - 1):
        changes = zlib.compress(msgpack.packb([["servers/i-1", b"", revision]]))
        assert_that(decode_changes(changes), IsInstance(Failure))
