"""Guards the HTTP calls to the operator endpoint of a daemon."""

import json
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent.pywsgi import WSGIServer
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, IsInstance

from fireflylink_operator_client import DaemonAddress, DaemonRefusedError
from fireflylink_operator_client._daemon_reader import HttpDaemonReader


def application(environment: dict[str, Any], start_response: Any) -> list[bytes]:
    """Answers as an operator endpoint does; one path never answers."""
    headers = [("Content-Type", "application/json")]
    if environment["PATH_INFO"] == "/silent":
        gevent.sleep(10)
    if environment.get("HTTP_AUTHORIZATION") != "Bearer secret":
        start_response("401 Unauthorized", headers)
        return [b"{}"]
    if environment["PATH_INFO"] != "/operator/explain":
        start_response("404 Not Found", headers)
        return [json.dumps({"title": "404 Not Found", "description": "no such\nkey"}).encode()]
    start_response("200 OK", headers)
    return [environment["QUERY_STRING"].encode()]


@pytest.fixture
def address() -> Iterator[DaemonAddress]:
    """The address of an operator endpoint."""
    server = WSGIServer(("127.0.0.1", 0), application, log=None)
    server.start()
    yield DaemonAddress("kingston", "127.0.0.1", server.server_port, "kingston-1")
    server.stop(timeout=0)


def test_key_is_quoted(address: DaemonAddress) -> None:
    """A key may hold any character."""
    found = HttpDaemonReader("secret", 1.0).explain(address, "holds", "a b&c/é")
    assert_that(found, Equals(Success(b"service=holds&key=a+b%26c%2F%C3%A9")))


def test_wrong_token_is_named(address: DaemonAddress) -> None:
    """A wrong token must not look like an outage."""
    error = HttpDaemonReader("other", 1.0).status(address).failure()
    assert_that(str(error), Equals("the operator token was not accepted"))


def test_refusal_carries_the_reason(address: DaemonAddress) -> None:
    """The daemon's reason must reach the operator, in one line."""
    error = HttpDaemonReader("secret", 1.0).get(address, "/operator/other").failure()
    assert_that(error, IsInstance(DaemonRefusedError))
    assert_that(str(error), Equals("no such key"))


def test_silent_daemon_is_given_up(address: DaemonAddress) -> None:
    """A daemon that accepts connections but does not answer must not block a command."""
    error = HttpDaemonReader("secret", 0.1).get(address, "/silent").failure()
    assert_that(str(error), Contains("timed out"))


def test_lost_daemon_is_an_error() -> None:
    """A refused connection must not end in a traceback."""
    error = HttpDaemonReader("secret", 1.0).status(DaemonAddress("kingston", "127.0.0.1", 1))
    assert_that(str(error.failure()), Contains("refused"))
