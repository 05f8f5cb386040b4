"""Guards the reading of answers, on which it depends that no answer reaches another caller."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from fireflylink_backend_client import ResponseReader
from fireflylink_core import BaseFireflylinkError

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello"


@pytest.mark.parametrize("size", range(1, len(ANSWER) + 1))
def test_pieces_of_any_size_give_the_same_answer(size: int) -> None:
    """A segment may end anywhere."""
    reader = ResponseReader("GET")
    for start in range(0, len(ANSWER), size):
        assert_that(reader.complete, Equals(False))
        reader.feed(ANSWER[start : start + size])
    assert_that(reader.complete and reader.reusable, Equals(True))
    assert_that(reader.body, Equals(b"hello"))
    assert_that(reader.header("content-type"), Equals("text/plain"))


def test_surplus_bytes_end_the_use_of_the_connection() -> None:
    """Bytes after an answer belong to no request that was sent."""
    reader = ResponseReader("GET")
    reader.feed(ANSWER + b"HTTP/1.1 200 OK")
    assert_that(reader.body, Equals(b"hello"))
    assert_that(reader.reusable, Equals(False))


@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_connection_close_is_honoured(method: str) -> None:
    """A connection that the server is about to close would lose the next request."""
    reader = ResponseReader(method)
    reader.feed(b"HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n")
    assert_that(reader.complete, Equals(True))
    assert_that(reader.reusable, Equals(False))


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: \xb2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: " + b"1" * 5000 + b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length : 7\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\nContent-Length: 7\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n folded\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 2\xb20 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"x" * 20000,
    ],
)
def test_answer_outside_the_contract_is_refused(answer: bytes) -> None:
    """A length that two readers understand differently splits one answer into two."""
    with pytest.raises(BaseFireflylinkError):
        ResponseReader("GET").feed(answer)
