"""Generated requests on real sockets, against an independent strict reading of their bytes."""

import re

import gevent
import pytest
from gevent import socket
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Not

from fireflylink_caller_frontend import (
    BaseCallerCodec,
    BaseRequestHandler,
    EncodedReply,
    HttpListener,
    make_application,
)
from fireflylink_core import CallerLimits, CallerRequest, ServerAnswer

LIMITS = CallerLimits(
    max_header_bytes=4000, max_body_bytes=2000, header_timeout_ms=500.0, idle_timeout_ms=1000.0
)
EXAMPLES = settings(
    max_examples=400,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
LETTERS_AND_DIGITS = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
TOKEN_BYTES = LETTERS_AND_DIGITS + b"!#$%&'*+-.^_`|~"
HEX_BYTES = b"0123456789abcdefABCDEF"
VALUE_BYTES = bytes([9, *range(32, 127), *range(128, 256)])
HOST_BYTES = LETTERS_AND_DIGITS + b"!$%&'()*+,-.:;=[]_~"


class MalformedError(Exception):
    """The oracle refuses the bytes that come next."""


class Oracle:
    """Reads requests byte by byte, without the patterns of the code that is tested."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def line(self) -> bytes:
        end = self.data.find(b"\n", self.at)
        if end < 0 or end == self.at or self.data[end - 1] != 13:
            raise MalformedError
        line = self.data[self.at : end - 1]
        self.at = end + 1
        return line

    def take(self, count: int) -> bytes:
        taken = self.data[self.at : self.at + count]
        if len(taken) < count:
            raise MalformedError
        self.at += count
        return taken

    def fields(self) -> list[tuple[bytes, bytes]]:
        fields = []
        while line := self.line():
            name, colon, value = line.partition(b":")
            if not colon or not name:
                raise MalformedError
            if any(byte not in TOKEN_BYTES for byte in name):
                raise MalformedError
            if any(byte not in VALUE_BYTES for byte in value):
                raise MalformedError
            fields.append((name, value.strip(b" \t")))
        return fields

    def request(self):
        """Returns a request, and whether it is the last one of its connection."""
        words = self.line().split(b" ")
        if len(words) != 3 or words[2] not in (b"HTTP/1.0", b"HTTP/1.1"):
            raise MalformedError
        method, target, version = words
        if not method or any(byte not in TOKEN_BYTES for byte in method):
            raise MalformedError
        if target[:1] != b"/" or any(byte <= 32 or byte >= 127 or byte == 35 for byte in target):
            raise MalformedError
        fields = self.fields()
        named = {}
        for name, value in fields:
            named.setdefault(name.lower(), []).append(value)
        hosts = named.get(b"host", [b""])
        if len(hosts) > 1 or any(byte not in HOST_BYTES for byte in hosts[0]):
            raise MalformedError
        body = self.body(named, version)
        if method == b"HEAD" and body and b"content-length" in named:
            raise MalformedError
        lists = b",".join(named.get(b"connection", [])).split(b",")
        wishes = [wish.strip(b" \t").lower() for wish in lists]
        is_last = b"close" in wishes or (version == b"HTTP/1.0" and b"keep-alive" not in wishes)
        return (method.decode(), target.decode(), body), is_last

    def body(self, named, version) -> bytes:
        codings = named.get(b"transfer-encoding")
        lengths = named.get(b"content-length")
        if codings is not None:
            if lengths or version != b"HTTP/1.1" or [c.lower() for c in codings] != [b"chunked"]:
                raise MalformedError
            return self.chunks()
        if lengths is None:
            return b""
        if len(lengths) > 1 or not 0 < len(lengths[0]) < 19:
            raise MalformedError
        if any(not 48 <= byte <= 57 for byte in lengths[0]):
            raise MalformedError
        return self.take(int(lengths[0]))

    def chunks(self) -> bytes:
        body = b""
        while True:
            size, _, extension = self.line().partition(b";")
            if not 0 < len(size) <= 16 or any(byte not in HEX_BYTES for byte in size):
                raise MalformedError
            if any(byte not in VALUE_BYTES for byte in extension):
                raise MalformedError
            if int(size, 16) == 0:
                break
            body += self.take(int(size, 16))
            if self.take(2) != b"\r\n":
                raise MalformedError
        framing = (b"content-length", b"transfer-encoding", b"host")
        if any(name.lower() in framing for name, _ in self.fields()):
            raise MalformedError
        return body


def expected(data: bytes):
    """Returns the requests that are to be handled, and whether a refusal ends the connection."""
    oracle = Oracle(data)
    requests = []
    while oracle.at < len(data):
        try:
            request, is_last = oracle.request()
        except MalformedError:
            return requests, True
        requests.append(request)
        if is_last:
            break
    return requests, False


class Codec(BaseCallerCodec):
    """Refuses nothing."""

    __slots__ = ()

    def decode_request(self, received):
        return CallerRequest(
            "1",
            "h",
            received.method,
            received.target,
            received.headers,
            received.body,
            received.received_at,
            received.received_at + 5.0,
        )

    def encode_reply(self, request_id, reply):
        return EncodedReply(reply.status, (), b"")


class Handler(BaseRequestHandler):
    """Keeps the requests."""

    def __init__(self) -> None:
        self.requests = []

    def handle(self, request, disconnect_notifier):
        self.requests.append((request.method, request.target, request.body))
        return ServerAnswer(200, (), b"")

    def limits(self):
        return LIMITS


class FrontEnd:
    """A running listener, its handler, and the errors that nobody has caught."""

    def __init__(self, monkeypatch) -> None:
        self.handler = Handler()
        self.errors = []
        hub = gevent.get_hub()
        monkeypatch.setattr(hub, "handle_error", lambda *error: self.errors.append(error[1:3]))
        application = make_application(self.handler, Codec())
        self.listener = HttpListener(application, "127.0.0.1", 0, self.handler.limits)
        self.listener.start()

    def outcome(self, data: bytes, cut: int):
        """Sends bytes in two parts; returns the requests, whether one was refused, and errors.

        Raises ``TimeoutError`` if the connection neither ends nor answers.
        """
        self.handler.requests.clear()
        with socket.create_connection(("127.0.0.1", self.listener.port), timeout=2.0) as sock:
            sock.sendall(data[:cut])
            if 0 < cut < len(data):
                gevent.sleep(0.0005)
            sock.sendall(data[cut:])
            sock.shutdown(socket.SHUT_WR)
            received = b""
            while part := sock.recv(65536):
                received += part
        statuses = re.findall(rb"HTTP/1\.1 ([0-9]+)", received)
        answers = [status for status in statuses if status != b"100"]
        is_refused = answers[-1:] in ([b"400"], [b"413"], [b"431"])
        assert_that(answers[: len(answers) - is_refused], Equals([b"200"] * self.handled()))
        return list(self.handler.requests), is_refused, self.errors

    def handled(self) -> int:
        return len(self.handler.requests)


@pytest.fixture
def front_end(monkeypatch):
    running = FrontEnd(monkeypatch)
    yield running
    running.listener.close()


HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
REQUESTS = (
    HIDDEN,
    b"GET /a?b=c HTTP/1.1\r\nHost: h:80\r\nConnection: x, y\r\nX-Note:  a \t\r\n\r\n",
    b"GET /old HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    b"HEAD /h HTTP/1.1\r\nHost: h\r\nX-Empty:\r\n\r\n",
    b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 36\r\n\r\n" + HIDDEN[:36],
    b"PUT /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
    b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"24;x=y\r\n" + HIDDEN[:36] + b"\r\n3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n",
)
PIECES = st.sampled_from(
    (
        *(bytes([byte]) for byte in b" \t\r\n\0:,;+-_09f/#\x7f\xff"),
        *(b"\r\n", b"\r\n\r\n", b"HTTP/1.0", b"chunked", b"close", b"Connection: ", HIDDEN),
        *(b"Host: i\r\n", b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n"),
    )
)
MUTATIONS = st.lists(
    st.tuples(st.floats(0.0, 1.0), st.integers(0, 3), PIECES | st.binary(max_size=3)), max_size=3
)


def mutated(data: bytes, mutations) -> bytes:
    """Puts each piece into the data in place of so many bytes."""
    for place, removed, piece in mutations:
        at = int(place * len(data))
        data = data[:at] + piece + data[at + removed :]
    return data


@EXAMPLES
@given(st.lists(st.sampled_from(REQUESTS), min_size=1, max_size=3), MUTATIONS, st.floats(0.0, 1.0))
def test_mutated_requests_are_read_as_an_independent_reading_does(
    front_end, requests, mutations, cut
):
    """Guards against bytes that are taken for a request that nobody sent, or for one with another
    method, target or body, against uncaught errors, and against connections that hang."""
    data = mutated(b"".join(requests), mutations)
    handled, is_refused, errors = front_end.outcome(data, int(cut * len(data)))
    assert_that((data, handled, is_refused), Equals((data, *expected(data))))
    assert_that(errors, Equals([]))


@pytest.mark.parametrize("data", REQUESTS)
def test_a_request_cut_at_every_byte_is_read_whole(front_end, data):
    """Guards against a reading that depends on where the network cuts the bytes."""
    for cut in range(len(data)):
        handled, is_refused, errors = front_end.outcome(data + HIDDEN, cut)
        assert_that((cut, handled, is_refused), Equals((cut, *expected(data + HIDDEN))))
        assert_that(errors, Equals([]))


PLANTED = {
    "space before a colon": (
        "_request_head.FIELD",
        r"([!-9;-~]+)[ \t]*:([\t -~\x80-\xff]*)\r\n",
        b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
    ),
    "target beyond ASCII": (
        "_request_head.REQUEST_LINE",
        r"(\w+) (/\S*) (HTTP/1\.[01])\r\n",
        b"GET /\xe4 HTTP/1.1\r\nHost: h\r\n\r\n",
    ),
    "bare LF behind a size": (
        "_request_body.CHUNK_LINE",
        rb"([0-9A-Fa-f]+)\r?\n",
        b"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
    ),
}


@pytest.mark.parametrize("plant", PLANTED)
def test_a_planted_lenient_reading_is_found(front_end, monkeypatch, plant):
    """Guards against an oracle that agrees with whatever the front end does."""
    name, pattern, data = PLANTED[plant]
    assert_that(front_end.outcome(data, 0)[:2], Equals(expected(data)))
    monkeypatch.setattr(f"fireflylink_caller_frontend.{name}", re.compile(pattern))
    assert_that(front_end.outcome(data, 0)[:2], Not(Equals(expected(data))))
