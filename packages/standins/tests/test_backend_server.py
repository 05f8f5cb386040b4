"""The stand-in of a backend server: what a release waits for, and commands that are late."""

import json

import gevent
import pytest
from gevent import socket
from returns.result import Failure
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength, IsInstance, Not

from fireflylink_core import KeyRange, SystemClock
from fireflylink_http_client import LostError, ResponseReader
from fireflylink_platform import names
from fireflylink_standins import LATE_HEADER, BackendServerStandin, Caller, StoreState

HOLD_SECONDS = 5.0
WORK_SECONDS = 0.4
LATE_SECONDS = 0.3
RECEIVE_SECONDS = 2.0
KEY = 7


@pytest.fixture
def server():
    clock = SystemClock()
    standin = BackendServerStandin("a0", "availability", "kingston", True, StoreState(clock), clock)
    standin.work_seconds = WORK_SECONDS
    standin.start()
    yield standin
    standin.stop()


def open_command(server, path: str, fence: int, *headers: str):
    """Sends a command for the keys 0 to 9 on a connection of its own, which is returned."""
    body = json.dumps({"from": 0, "to": 9, "fence": fence, "hold-ms": int(HOLD_SECONDS * 1000)})
    lines = [f"POST {path} HTTP/1.1", "Host: a0", "Content-Type: application/json", *headers]
    lines.append(f"Content-Length: {len(body)}")
    sock = socket.create_connection(("127.0.0.1", server.listener.port))
    sock.settimeout(RECEIVE_SECONDS)
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
    return sock


def read_answer(sock):
    """Returns the answer to a command and closes the connection."""
    reader = ResponseReader("POST")
    response = None
    while response is None:
        reader.feed(sock.recv(4096))
        response = reader.next_response()
    sock.close()
    return response


def start_request(server):
    """Sends a request that is at work when this returns; returns the greenlet with its reply."""
    caller = Caller(server.listener.port, server.clock)
    greenlet = gevent.spawn(caller.send, "GET", "/lookup/7", KEY)
    while not server.state.runs:
        gevent.sleep(0.01)
    return greenlet


def test_a_server_that_drops_answers_closes_the_connection(server):
    """Guards against a stand-in that answers status 500 where it is to give no answer."""
    server.drops_answers = True
    server.keyed = False
    result = Caller(server.listener.port, server.clock).send("GET", "/lookup/7", KEY)
    assert_that(result, IsInstance(Failure))
    assert_that(result.failure(), IsInstance(LostError))


def test_a_release_is_answered_when_the_work_on_its_keys_has_ended(server):
    """Guards against a stand-in on which keys that are given on while at work cannot be seen.

    Two releases that overlap both wait, and each is answered with a token of its own.
    """
    read_answer(open_command(server, names.GRANT_PATH, 1))
    request = start_request(server)
    releases = [open_command(server, names.RELEASE_PATH, fence) for fence in (2, 3)]
    answers = [gevent.spawn(read_answer, sock) for sock in releases]
    gevent.sleep(WORK_SECONDS / 2)
    refused = Caller(server.listener.port, server.clock).send("GET", "/lookup/7", KEY).unwrap()
    assert_that(refused.status, Equals(421))
    assert_that([answer.ready() for answer in answers], Equals([False, False]))
    tokens = {answer.get().header(names.HANDOVER) for answer in answers}
    assert_that(tokens, HasLength(2))
    assert_that(request.get().unwrap().status, Equals(200))


def test_a_release_waits_for_no_work_on_other_keys(server):
    """Guards against releases that wait for work which does not keep the keys."""
    run = server.state.begin_run("a", 10)
    assert_that(server.state.release(KeyRange(0, 9), 2), Not(Equals("")))
    server.state.end_run(run)


def test_a_release_whose_connection_closes_is_carried_out(server):
    """Guards against keys that stay held because a daemon has given up its release."""
    read_answer(open_command(server, names.GRANT_PATH, 1))
    request = start_request(server)
    open_command(server, names.RELEASE_PATH, 2).close()
    gevent.sleep(WORK_SECONDS / 2)
    assert_that(server.state.holds_key(KEY), Equals(False))
    assert_that(server.state.issued_tokens, Equals(0))
    request.get()
    gevent.sleep(0.05)
    assert_that(server.state.issued_tokens, Equals(1))


def test_the_time_of_a_late_grant_counts_from_its_arrival(server):
    """Guards against late grants that a stand-in holds for longer than servers do."""
    arrived_at = server.clock.now()
    sock = open_command(server, names.GRANT_PATH, 1, f"{LATE_HEADER}: {LATE_SECONDS}")
    assert_that(sock.recv(1), Equals(b""))
    assert_that(server.clock.now() - arrived_at, GreaterThan(LATE_SECONDS))
    expires_at = server.state.holds[0].expires_at
    assert_that(abs(expires_at - arrived_at - HOLD_SECONDS) < LATE_SECONDS / 2, Equals(True))
