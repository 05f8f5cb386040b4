"""Output of the operators' commands, and the errors that they report."""

import json

import pytest
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, IsInstance

from fireflylink_core import Assignment, KeyRange, ManualClock, OwnershipTable, ServerIncarnation
from fireflylink_operator_client import (
    OperatorError,
    owner_lines,
    read_system,
    request_log_lines,
    run,
    status_lines,
)
from fireflylink_platform import PlatformItemDecoder
from fireflylink_protocol import (
    DECIDER_KEY,
    MemberRecord,
    encode_member,
    encode_table,
    member_key,
    ownership_key,
)
from fireflylink_standins import MemoryStore, StoreState
from fireflylink_store import Commit, Put

MEMBER = MemberRecord("front-0", 1, "kingston", "127.0.0.1", 7540)
TABLE = OwnershipTable(
    "availability",
    4,
    (
        Assignment(KeyRange(0, 99), ServerIncarnation("i-1", 1), 3),
        Assignment(
            KeyRange(100, 65535), ServerIncarnation("i-2", 1), 4, (ServerIncarnation("i-1", 1),)
        ),
    ),
)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    state = StoreState(clock)
    server = {
        "service": "availability",
        "address": "10.0.0.1:80",
        "zone": "kingston",
        "slots": 4,
        "state": "ready",
        "born": 1,
    }
    service = {"name": "availability", "max-conns": 110, "sharded": True}
    configuration = {"version": "r7", "services": [service], "virtual-hosts": []}
    values = {
        "op/config": json.dumps(configuration).encode(),
        "servers/i-1": json.dumps(server).encode(),
        "servers/i-3": b"not JSON",
        member_key("front-0"): encode_member(MEMBER),
        DECIDER_KEY: encode_member(MEMBER),
        ownership_key("availability"): encode_table(TABLE),
    }
    state.commit(Commit((), tuple(Put(key, value) for key, value in values.items())))
    return MemoryStore(state)


def test_status_shows_daemons_decider_servers_and_unreadable_items(store, clock):
    """Guards against a status that omits a part of the state recorded in the store.

    One registration in the store cannot be decoded; it must be listed too.
    """
    text = "\n".join(status_lines(read_system(store, PlatformItemDecoder(), clock).unwrap()))
    for expected in ("version 7", "front-0", "1 of 1 servers ready", "servers/i-3"):
        assert_that(text, Contains(expected))


def test_status_shows_the_revision_as_the_store_gave_it_out(store, clock):
    """Guards against a number that no page of the platform shows: inside, revisions have the era of
    a store that was restored."""
    store.state.era = 3
    text = "\n".join(status_lines(read_system(store, PlatformItemDecoder(), clock).unwrap()))
    assert_that(text, Contains("store revision     2, era 3"))


def test_owners_show_previous_holders_and_unregistered_servers(store, clock):
    """Guards against keys that nobody serves without the operator being shown why.

    The owner of a range is not registered, or a previous holder may still hold the range.
    """
    view = read_system(store, PlatformItemDecoder(), clock).unwrap()
    lines = list(owner_lines(view, "availability", None))
    assert_that(lines, HasLength(3))
    assert_that(lines[2], Contains("NOT REGISTERED"))
    assert_that(lines[2], Contains("on its way from i-1@1"))
    [_, owner_line] = owner_lines(view, "availability", 50)
    assert_that(owner_line, Contains("i-1@1"))


def test_an_unknown_service_or_invalid_key_is_an_error(store, clock):
    """Guards against empty output for a service without a table or a key that is out of range."""
    view = read_system(store, PlatformItemDecoder(), clock).unwrap()
    for service, key in (("nope", None), ("availability", 70000)):
        with pytest.raises(OperatorError):
            list(owner_lines(view, service, key))


def test_an_unreachable_store_is_an_error(store, clock):
    """Guards against showing an empty system when the store could not be read."""
    store.reachable = False
    result = read_system(store, PlatformItemDecoder(), clock)
    assert_that(isinstance(result, Success), Equals(False))
    assert_that(result.failure(), IsInstance(OperatorError))


def test_the_log_lines_of_a_request_are_sorted_by_time():
    """Guards against lines of other requests, and against empty output for an unknown request.

    The id of another request starts with the id that is asked for.
    """
    logs = [
        "time=2 event=request request=a outcome=answered\ntime=1 event=request request=ab\n",
        "time=1 event=request-retried request=a server=i-1\n",
    ]
    assert_that([line[:6] for line in request_log_lines("a", logs)], Equals(["time=1", "time=2"]))
    with pytest.raises(OperatorError):
        list(request_log_lines("c", logs))


def test_an_unknown_command_prints_the_usage(capsys):
    """Guards against a mistyped command that ends without a message or an error status."""
    assert_that(run(["sttus"]), Equals(2))
    assert_that(capsys.readouterr().err, Contains("fireflylink owners SERVICE"))


def test_invalid_settings_are_reported_with_the_field(tmp_path, capsys):
    """Guards against an invalid settings file that is detected only when a daemon starts."""
    path = tmp_path / "settings.json"
    path.write_text('{"instance": "front-0"}')
    assert_that(run(["check-settings", str(path)]), Equals(1))
    assert_that(capsys.readouterr().err, Contains("store: is missing"))
