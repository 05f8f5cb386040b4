"""Reading of responses: late ones, truncated ones, junk."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_http_client import ResponseReader

WHOLE = b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 4\r\n\r\nbody"


def test_a_response_in_pieces_is_whole_at_its_last_byte():
    """Guards against an answer that is passed on before it is complete."""
    reader = ResponseReader("GET")
    for position in range(len(WHOLE) - 1):
        reader.feed(WHOLE[position : position + 1])
        assert_that(reader.next_response(), Is(None))
    reader.feed(WHOLE[-1:])
    response = reader.next_response()
    assert_that((response.status, response.body), Equals((200, b"body")))
    assert_that(reader.has_excess, Is(False))


def test_a_second_response_in_the_same_bytes_is_told_apart():
    """Guards against MIXED: the bytes of one answer in another one."""
    reader = ResponseReader("GET")
    reader.feed(WHOLE + WHOLE.replace(b"body", b"next").replace(b"Id: a", b"Id: b"))
    first = reader.next_response()
    assert_that((first.header("request-id"), first.body), Equals(("a", b"body")))
    assert_that(reader.has_excess, Is(True))
    second = reader.next_response()
    assert_that((second.header("request-id"), second.body), Equals(("b", b"next")))


def test_junk_behind_an_answer_leaves_the_answer_whole_and_is_noticed():
    """Guards against a connection that is used again although it holds junk."""
    reader = ResponseReader("GET")
    reader.feed(WHOLE + b"\x00\xffjunk")
    assert_that(reader.next_response().body, Equals(b"body"))
    assert_that(reader.has_excess, Is(True))


def test_junk_in_place_of_an_answer_is_no_answer():
    """Guards against bytes that are no response."""
    reader = ResponseReader("GET")
    reader.feed(b"SMTP ready\r\n\r\n")
    assert_that(reader.next_response(), Is(None))
    assert_that(reader.malformed, Is(True))


def test_an_answer_without_a_length_ends_with_its_connection():
    """Guards against losing an answer whose end is the end of the connection."""
    reader = ResponseReader("GET")
    reader.feed(b"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nbody")
    assert_that(reader.next_response(), Is(None))
    response = reader.finish()
    assert_that((response.body, response.closes_connection), Equals((b"body", True)))


@pytest.mark.parametrize(
    "head",
    [b"Content-Length: 9\r\n", b"Transfer-Encoding: chunked\r\n"],
)
def test_an_answer_with_a_length_that_ends_early_is_not_whole(head):
    """Guards against MIXED: a truncated answer that looks complete."""
    reader = ResponseReader("GET")
    reader.feed(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n4\r\nbody")
    assert_that(reader.finish(), Is(None))


def test_the_time_that_a_server_keeps_a_connection_is_read():
    """Guards against requests on connections that the server is about to close."""
    reader = ResponseReader("GET")
    reader.feed(WHOLE.replace(b"Content-Length", b"Keep-Alive: timeout=9\r\nContent-Length"))
    assert_that(reader.next_response().keep_alive_seconds, Equals(9))
