"""Parsing of responses: several on one connection, truncated ones and invalid bytes."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_http_client import ResponseReader

COMPLETE = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 4\r\n\r\nbody"


def test_a_response_in_pieces_is_complete_at_its_last_byte():
    """Guards against returning a response before all of its body has arrived."""
    reader = ResponseReader("GET")
    for position in range(len(COMPLETE) - 1):
        reader.feed(COMPLETE[position : position + 1])
        assert_that(reader.next_response(), Is(None))
    reader.feed(COMPLETE[-1:])
    response = reader.next_response()
    assert_that((response.status, response.body), Equals((200, b"body")))
    assert_that(reader.has_excess, Is(False))


def test_two_responses_in_the_same_segment_are_separated():
    """Guards against headers or body bytes of one response in another one."""
    reader = ResponseReader("GET")
    reader.feed(COMPLETE + COMPLETE.replace(b"body", b"next").replace(b"Id: a", b"Id: b"))
    first = reader.next_response()
    assert_that((first.header("request-id"), first.body), Equals(("a", b"body")))
    assert_that(reader.has_excess, Is(True))
    second = reader.next_response()
    assert_that((second.header("request-id"), second.body), Equals(("b", b"next")))


def test_invalid_bytes_after_a_response_are_excess():
    """Guards against reusing a connection on which invalid bytes follow a response.

    The complete response before them must still be returned.
    """
    reader = ResponseReader("GET")
    reader.feed(COMPLETE + b"\x00\xffjunk")
    assert_that(reader.next_response().body, Equals(b"body"))
    assert_that(reader.has_excess, Is(True))


def test_invalid_bytes_instead_of_a_response_are_malformed():
    """Guards against returning a response when the peer does not speak HTTP."""
    reader = ResponseReader("GET")
    reader.feed(b"SMTP ready\r\n\r\n")
    assert_that(reader.next_response(), Is(None))
    assert_that(reader.malformed, Is(True))


def test_a_response_without_a_length_ends_with_the_connection():
    """Guards against losing a response whose end is marked only by the close."""
    reader = ResponseReader("GET")
    reader.feed(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nbody")
    assert_that(reader.next_response(), Is(None))
    response = reader.finish()
    assert_that((response.body, response.closes_connection), Equals((b"body", True)))


@pytest.mark.parametrize(
    "head",
    [b"Content-Length: 9\r\n", b"Transfer-Encoding: chunked\r\n"],
)
def test_a_response_shorter_than_its_length_is_incomplete(head):
    """Guards against returning a truncated response as complete.

    The connection ends before the body has the announced length.
    """
    reader = ResponseReader("GET")
    reader.feed(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n4\r\nbody")
    assert_that(reader.finish(), Is(None))


def test_the_keep_alive_timeout_of_the_server_is_read():
    """Guards against requests on connections that the server is about to close."""
    reader = ResponseReader("GET")
    reader.feed(COMPLETE.replace(b"Content-Length", b"Keep-Alive: timeout=9\r\nContent-Length"))
    assert_that(reader.next_response().keep_alive_seconds, Equals(9))
