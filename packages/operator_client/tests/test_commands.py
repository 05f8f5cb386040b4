"""What operators are shown."""

import json

import pytest
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, IsInstance

from fireflylink_core import Assignment, KeyRange, ManualClock, OwnershipTable, ServerIncarnation
from fireflylink_operator_client import (
    OperatorError,
    history_lines,
    owner_lines,
    read_system,
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


def test_status_shows_daemons_decider_servers_and_what_cannot_be_read(store, clock):
    """Guards against an operator who cannot tell what the system believes."""
    text = "\n".join(status_lines(read_system(store, PlatformItemDecoder(), clock).unwrap()))
    for part in ("version 7", "front-0", "1 of 1 servers ready", "servers/i-3"):
        assert_that(text, Contains(part))


def test_owners_show_moves_and_servers_that_are_not_registered(store, clock):
    """Guards against a key without an owner that nobody sees."""
    view = read_system(store, PlatformItemDecoder(), clock).unwrap()
    lines = list(owner_lines(view, "availability", None))
    assert_that(lines, HasLength(3))
    assert_that(lines[2], Contains("NOT REGISTERED"))
    assert_that(lines[2], Contains("on its way from i-1@1"))
    [_, only] = owner_lines(view, "availability", 50)
    assert_that(only, Contains("i-1@1"))


def test_an_unknown_service_or_key_is_explained(store, clock):
    """Guards against an empty answer to a wrong question."""
    view = read_system(store, PlatformItemDecoder(), clock).unwrap()
    for service, key in (("nope", None), ("availability", 70000)):
        with pytest.raises(OperatorError):
            list(owner_lines(view, service, key))


def test_a_store_that_is_away_is_an_error_with_a_text(store, clock):
    """Guards against a view that looks empty because nothing could be read."""
    store.reachable = False
    read = read_system(store, PlatformItemDecoder(), clock)
    assert_that(isinstance(read, Success), Equals(False))
    assert_that(read.failure(), IsInstance(OperatorError))


def test_the_history_of_a_request_is_in_order_of_time():
    """Guards against lines of other requests, and against a missing one going unnoticed."""
    logs = [
        "time=2 event=request request=a outcome=answered\ntime=1 event=request request=ab\n",
        "time=1 event=request-retried request=a server=i-1\n",
    ]
    assert_that([line[:6] for line in history_lines("a", logs)], Equals(["time=1", "time=2"]))
    with pytest.raises(OperatorError):
        list(history_lines("c", logs))


def test_a_wrong_command_shows_the_usage(capsys):
    """Guards against a mistyped command that does nothing."""
    assert_that(run(["sttus"]), Equals(2))
    assert_that(capsys.readouterr().err, Contains("fireflylink owners SERVICE"))


def test_wrong_settings_name_the_field(tmp_path, capsys):
    """Guards against a settings file whose fault is found only at a start."""
    path = tmp_path / "settings.json"
    path.write_text('{"instance": "front-0"}')
    assert_that(run(["check-settings", str(path)]), Equals(1))
    assert_that(capsys.readouterr().err, Contains("store: is missing"))
