"""Records in the store and datagrams between daemons."""

import pytest
from hypothesis import given, settings, strategies
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance, LessThan

from fireflylink_core import Assignment, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_protocol import (
    CrashNotice,
    GrantNotice,
    LoadReport,
    MemberRecord,
    ServerServiceTime,
    decode_datagram,
    decode_member,
    decode_table,
    encode_datagram,
    encode_member,
    encode_table,
)

LIVES = strategies.builds(
    ServerIncarnation,
    strategies.text("abc0123", min_size=1, max_size=4),
    strategies.integers(0, 1 << 41),
)


@strategies.composite
def tables(draw) -> OwnershipTable:
    ends = sorted(draw(strategies.sets(strategies.integers(0, 65534), max_size=8)) | {65535})
    fence = draw(strategies.integers(1, 1000))
    assignments = []
    first = 0
    for last in ends:
        assignments.append(
            Assignment(
                KeyRange(first, last),
                draw(LIVES),
                draw(strategies.integers(1, fence)),
                tuple(draw(strategies.lists(LIVES, max_size=2))),
                draw(strategies.sampled_from(["", "5c0e7a21"])),
            )
        )
        first = last + 1
    alone = draw(strategies.booleans())
    return OwnershipTable("availability", fence, tuple(assignments), alone)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(tables())
def test_a_table_is_read_as_it_was_written(table):
    """Guards against an owner, fence or former holder that changes on its way."""
    assert_that(decode_table(encode_table(table)), Equals(Success(table)))


@pytest.mark.parametrize("value", [b"", b"{}", b"not compressed", b"\x78\x9c\x03\x00"])
def test_a_record_that_cannot_be_read_is_an_error(value):
    """Guards against an exception that ends the reading of the store."""
    assert_that(decode_table(value), IsInstance(Failure))
    assert_that(decode_member(value), IsInstance(Failure))


def test_a_member_is_read_as_it_was_written():
    """Guards against load reports that are sent to a wrong address."""
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
def test_a_datagram_is_read_as_it_was_sent(message):
    """Guards against daemons that misunderstand each other."""
    assert_that(decode_datagram(encode_datagram(message)), Equals(Success(message)))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(strategies.binary(max_size=64))
def test_any_bytes_are_a_message_or_an_error(datagram):
    """Guards against a stray datagram that ends the daemon's receiver."""
    assert_that(decode_datagram(datagram), IsInstance(Success | Failure))


@pytest.mark.parametrize(
    "fields",
    [[1, "f", "s", 1, 1, [70000], []], [1, "f", "s", 1, 1, ["x"], []], [1, "f"], [2, "s", 1], [9]],
)
def test_a_malformed_datagram_is_an_error(fields):
    """Guards against keys outside of the range in the decider's load."""
    import msgpack

    assert_that(decode_datagram(msgpack.packb(fields)), IsInstance(Failure))


def test_a_table_of_thirty_servers_is_small():
    """Guards against a record whose reading by every daemon costs more than its moves gain."""
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
