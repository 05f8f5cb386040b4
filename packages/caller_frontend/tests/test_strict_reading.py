"""Malformed requests are refused whatever comes behind them, and sound ones are served."""

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from fireflylink_caller_frontend import BaseRequestHandler, HttpListener, make_application
from fireflylink_core import CallerLimits, ServerAnswer

LIMITS = CallerLimits(
    max_header_bytes=16_000, max_body_bytes=4000, header_timeout_ms=500.0, idle_timeout_ms=1000.0
)
HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(HIDDEN)
START = b"POST /order HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"


class Handler(BaseRequestHandler):
    """Answers with the body of the request, and keeps the requests."""

    def __init__(self) -> None:
        self.requests = []

    def handle(self, request, disconnect_notifier):
        self.requests.append(request)
        return ServerAnswer(200, (), request.body)

    def limits(self):
        return LIMITS


class FrontEnd:
    """A running listener, its handler, and the reasons of its refusals."""

    def __init__(self, codec) -> None:
        self.handler = Handler()
        self.refusals = []
        self.listener = HttpListener(
            make_application(self.handler, codec),
            "127.0.0.1",
            0,
            self.handler.limits,
            self.refusals.append,
        )
        self.listener.start()

    def exchange(self, *parts: bytes) -> bytes:
        """Sends the parts one after the other; returns all bytes until the connection ends."""
        with socket.create_connection(("127.0.0.1", self.listener.port), timeout=2.0) as sock:
            for part in parts:
                sock.sendall(part)
                gevent.sleep(0.001)
            sock.shutdown(socket.SHUT_WR)
            received = b""
            while part := sock.recv(65536):
                received += part
            return received


@pytest.fixture
def front_end(codec):
    running = FrontEnd(codec)
    yield running
    running.listener.close()


MALFORMED_HEADS = {
    "space before the colon": START + b"X-Note : a\r\n" + LENGTH + b"\r\n",
    "tab before the colon": START + b"X-Note\t: a\r\n" + LENGTH + b"\r\n",
    "space before the colon of the length": START + b"Content-Length : 3\r\n\r\n",
    "no colon": START + b"no field\r\n" + LENGTH + b"\r\n",
    "no colon at first": b"POST / HTTP/1.1\r\nno field\r\nHost: h\r\nX-Id: 1\r\n"
    + LENGTH
    + b"\r\n",
    "folded line": START + b"X-Note: a\r\n folded\r\n" + LENGTH + b"\r\n",
    "folded length": START + b"Content-Length:\r\n 3\r\n\r\n",
    "folded line at first": b"POST / HTTP/1.1\r\n X-Id: 1\r\nHost: h\r\nX-Id: 1\r\n\r\n",
    "empty name": START + b": a\r\n" + LENGTH + b"\r\n",
    "NUL in a value": START + b"X-Note: a\0b\r\n" + LENGTH + b"\r\n",
    "NUL in a name": START + b"X\0Note: a\r\n" + LENGTH + b"\r\n",
    "control character in a value": START + b"X-Note: a\x0bb\r\n" + LENGTH + b"\r\n",
    "delete character in a value": START + b"X-Note: a\x7fb\r\n" + LENGTH + b"\r\n",
    "control character in a name": START + b"X\x1cNote: a\r\n" + LENGTH + b"\r\n",
    "bare CR in a value": START + b"X-Note: a\rb\r\n" + LENGTH + b"\r\n",
    "bare CR that hides a field": START + b"X-Note: a\rContent-Length: 3\r\n\r\n",
    "bare CR as line end": START + b"X-Note: a\r" + LENGTH + b"\r\n",
    "bare LF as line end": START + b"X-Note: a\n" + LENGTH + b"\r\n",
    "bare LF at the end": START + LENGTH + b"\n",
    "bare LF behind the request line": b"POST / HTTP/1.1\nHost: h\r\nX-Id: 1\r\n\r\n",
    "double CR": START + b"X-Note: a\r\r\n" + LENGTH + b"\r\n",
    "quoted name": START + b'"X": a\r\n' + LENGTH + b"\r\n",
    "name beyond ASCII": START + b"X-N\xf6te: a\r\n" + LENGTH + b"\r\n",
    "repeated length": START + LENGTH + LENGTH + b"\r\n",
    "different lengths": START + b"Content-Length: 3\r\n" + LENGTH + b"\r\n",
    "signed length": START + b"Content-Length: +3\r\n\r\n",
    "negative length": START + b"Content-Length: -3\r\n\r\n",
    "length with commas": START + b"Content-Length: 3, 3\r\n\r\n",
    "length with an underscore": START + b"Content-Length: 1_0\r\n\r\n",
    "length in hexadecimal": START + b"Content-Length: 0x3\r\n\r\n",
    "length in other digits": START + b"Content-Length: \xb2\r\n\r\n",
    "empty length": START + b"Content-Length:\r\n\r\n",
    "length of 30 digits": START + b"Content-Length: " + b"9" * 30 + b"\r\n\r\n",
    "length beside chunks": START + b"Transfer-Encoding: chunked\r\n" + LENGTH + b"\r\n",
    "chunks beside a length": START + LENGTH + b"Transfer-Encoding: chunked\r\n\r\n",
    "other coding": START + b"Transfer-Encoding: gzip\r\n\r\n",
    "coding before chunks": START + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    "chunks twice": START + b"Transfer-Encoding: chunked, chunked\r\n\r\n",
    "chunks in two fields": START + b"Transfer-Encoding: chunked\r\n" * 2 + b"\r\n",
    "empty coding": START + b"Transfer-Encoding:\r\n\r\n",
    "coding with a control character": START + b"Transfer-Encoding: \x0bchunked\r\n\r\n",
    "coding in 1.0": CHUNKED.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "two hosts": START + b"Host: other\r\n" + LENGTH + b"\r\n",
    "two equal hosts": START + b"Host: h\r\n" + LENGTH + b"\r\n",
    "host with a space": START.replace(b"Host: h", b"Host: h i") + b"\r\n",
    "host with a path": START.replace(b"Host: h", b"Host: h/x") + b"\r\n",
    "host with a user": START.replace(b"Host: h", b"Host: u@h") + b"\r\n",
    "HTTP/0.9": b"GET /order\r\nHost: h\r\nX-Id: 1\r\n\r\n",
    "stated HTTP/0.9": START.replace(b"HTTP/1.1", b"HTTP/0.9") + b"\r\n",
    "HTTP/1.2": START.replace(b"HTTP/1.1", b"HTTP/1.2") + b"\r\n",
    "HTTP/2.0": START.replace(b"HTTP/1.1", b"HTTP/2.0") + b"\r\n",
    "HTTP/01.1": START.replace(b"HTTP/1.1", b"HTTP/01.1") + b"\r\n",
    "version with a sign": START.replace(b"HTTP/1.1", b"HTTP/1.+1") + b"\r\n",
    "version in small letters": START.replace(b"HTTP/1.1", b"http/1.1") + b"\r\n",
    "two spaces in the request line": START.replace(b" /order", b"  /order") + b"\r\n",
    "tab in the request line": START.replace(b" /order", b"\t/order") + b"\r\n",
    "form feed in the request line": START.replace(b" /order", b"\x0c/order") + b"\r\n",
    "space before the method": b" " + START + b"\r\n",
    "space behind the version": START.replace(b"1.1\r\n", b"1.1 \r\n") + b"\r\n",
    "space in the target": START.replace(b"/order", b"/or der") + b"\r\n",
    "method that is no token": START.replace(b"POST", b"PO(ST") + b"\r\n",
    "control character in the target": START.replace(b"/order", b"/or\x01der") + b"\r\n",
    "target beyond ASCII": START.replace(b"/order", b"/\xf6rder") + b"\r\n",
    "fragment in the target": START.replace(b"/order", b"/order#x") + b"\r\n",
    "absolute target": START.replace(b"/order", b"http://other/order") + b"\r\n",
    "target of an authority": START.replace(b"/order", b"other:80") + b"\r\n",
    "target of all": START.replace(b"/order", b"*") + b"\r\n",
    "empty line before the request": b"\r\n\r\n" + START + b"\r\n",
}


@pytest.mark.parametrize("data", MALFORMED_HEADS.values(), ids=MALFORMED_HEADS)
def test_a_malformed_head_is_refused_and_hides_no_request(front_end, data):
    """Guards against a request that runs although no caller sent it: the head is read in another
    way than its sender meant, and its body, or a part of it, as a request (review/2)."""
    received = front_end.exchange(data + HIDDEN)
    assert_that(received[:12], Equals(b"HTTP/1.1 400"))
    assert_that(received.count(b"HTTP/1.1 "), Equals(1))
    assert_that(received.lower(), Contains(b"connection: close"))
    assert_that(front_end.handler.requests, HasLength(0))
    assert_that(front_end.refusals, HasLength(1))


MALFORMED_CHUNKS = {
    "plus sign": b"+3\r\nabc\r\n0\r\n\r\n",
    "minus sign": b"-3\r\nabc\r\n0\r\n\r\n",
    "space before the size": b" 3\r\nabc\r\n0\r\n\r\n",
    "space behind the size": b"3 \r\nabc\r\n0\r\n\r\n",
    "prefix of the size": b"0x3\r\nabc\r\n0\r\n\r\n",
    "underscore in the size": b"0_3\r\nabc\r\n0\r\n\r\n",
    "no size": b"\r\nabc\r\n0\r\n\r\n",
    "overflow of 64 bits": b"10000000000000003\r\nabc\r\n0\r\n\r\n",
    "overflow of 32 bits": b"100000003\r\nabc\r\n0\r\n\r\n",
    "bare LF behind the size": b"3\nabc\r\n0\r\n\r\n",
    "bare CR behind the size": b"3\rabc\r\n0\r\n\r\n",
    "bare LF behind the chunk": b"3\r\nabc\n0\r\n\r\n",
    "no line end behind the chunk": b"3\r\nabc0\r\n\r\n",
    "bytes behind the chunk": b"3\r\nabcd\r\n0\r\n\r\n",
    "bare LF in an extension": b"3;a\nb\r\nabc\r\n0\r\n\r\n",
    "bare LF that ends an extension": b"3;a\nabc\r\n0\r\n\r\n",
    "bare CR in an extension": b"3;a\rb\r\nabc\r\n0\r\n\r\n",
    "NUL in an extension": b"3;a\0\r\nabc\r\n0\r\n\r\n",
    "extension without end": b"3;" + b"a" * 9000 + b"\r\nabc\r\n0\r\n\r\n",
    "trailer that names a length": b"3\r\nabc\r\n0\r\nContent-Length: 3\r\n\r\n",
    "trailer that names a coding": b"3\r\nabc\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "trailer that names a host": b"3\r\nabc\r\n0\r\nHost: other\r\n\r\n",
    "trailer without a colon": b"3\r\nabc\r\n0\r\nno-field\r\n\r\n",
    "trailer with a space before the colon": b"3\r\nabc\r\n0\r\nX-A : b\r\n\r\n",
    "folded trailer": b"3\r\nabc\r\n0\r\nX-A: b\r\n c\r\n\r\n",
    "bare LF in a trailer": b"3\r\nabc\r\n0\r\nX-A: b\nX-B: c\r\n\r\n",
    "bare LF behind the trailers": b"3\r\nabc\r\n0\r\nX-A: b\r\n\n",
    "NUL in a trailer": b"3\r\nabc\r\n0\r\nX-A: \0\r\n\r\n",
    "trailers over their limit": b"3\r\nabc\r\n0\r\n" + b"X-A: b\r\n" * 3000 + b"\r\n",
}


@pytest.mark.parametrize("chunks", MALFORMED_CHUNKS.values(), ids=MALFORMED_CHUNKS)
def test_a_malformed_chunked_body_is_refused_and_hides_no_request(front_end, chunks):
    """Guards against bytes of a body that run as a request, because its chunks are read in another
    way than their sender meant."""
    received = front_end.exchange(CHUNKED + chunks + HIDDEN)
    assert_that(received[9:12] in (b"400", b"413"), Is(True))
    assert_that(received.count(b"HTTP/1.1 "), Equals(1))
    assert_that(received.lower(), Contains(b"connection: close"))
    assert_that(front_end.handler.requests, HasLength(0))
    assert_that(front_end.refusals, HasLength(1))


SOUND_REQUESTS = {
    "300 fields": (START + b"X-A: b\r\n" * 300 + b"\r\n", b""),
    "long request line": (START.replace(b"/order", b"/" + b"o" * 12_000) + b"\r\n", b""),
    "long field": (START + b"X-Long: " + b"y" * 12_000 + b"\r\n\r\n", b""),
    "empty value": (START + b"X-Empty:\r\n\r\n", b""),
    "space around a value": (START + b"X-Note: \t a \t\r\n\r\n", b""),
    "no space before a value": (START + b"X-Note:a\r\n\r\n", b""),
    "colons in a value": (START + b"X-Note: a:b : c\r\n\r\n", b""),
    "value beyond ASCII": (START + b"X-Note: \xc3\xb6\r\n\r\n", b""),
    "name of all token characters": (START + b"!#$%&'*+-.^_`|~09aZ: a\r\n\r\n", b""),
    "own method": (START.replace(b"POST", b"M-SEARCH") + b"\r\n", b""),
    "odd path": (START.replace(b"/order", b'//a/../b;c=%2F?d=[e]|f"') + b"\r\n", b""),
    "no host in 1.0": (b"GET / HTTP/1.0\r\nHost: h\r\nX-Id: 1\r\n\r\n", b""),
    "host with a port": (START.replace(b"Host: h", b"Host: [::1]:80") + b"\r\n", b""),
    "length with zeros": (START + b"Content-Length: 003\r\n\r\nabc", b"abc"),
    "length of none": (START + b"content-length: 0\r\n\r\n", b""),
    "expectation": (START + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", b"abc"),
    "upgrade": (START + b"Upgrade: websocket\r\nContent-Length: 3\r\n\r\nabc", b"abc"),
    "connection that asks for an upgrade": (START + b"Connection: upgrade\r\n\r\n", b""),
    "coding in capitals": (
        START + b"TRANSFER-ENCODING: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        b"abc",
    ),
    "chunks with extensions": (
        CHUNKED + b'3;a;b=c;d="e f"\r\nabc\r\n00a;x\r\n0123456789\r\n0;end\r\n\r\n',
        b"abc0123456789",
    ),
    "trailers": (CHUNKED + b"3\r\nabc\r\n0\r\nX-Sum: 1\r\nX-B:\r\n\r\n", b"abc"),
    "no chunks": (CHUNKED + b"0\r\n\r\n", b""),
    "chunk that holds line ends": (CHUNKED + b"6\r\n\r\n0\r\n\r\r\n0\r\n\r\n", b"\r\n0\r\n\r"),
    "large chunks": (CHUNKED + b"FA0\r\n" + b"x" * 4000 + b"\r\n0\r\n\r\n", b"x" * 4000),
}


@pytest.mark.parametrize("whole", [True, False], ids=["whole", "in pieces"])
@pytest.mark.parametrize(("data", "body"), SOUND_REQUESTS.values(), ids=SOUND_REQUESTS)
def test_a_sound_request_is_served_and_the_next_one_too(front_end, data, body, whole):
    """Guards against strictness that refuses sound requests, or loses the begin of the next."""
    cut = len(data) // 2
    parts = (data + HIDDEN,) if whole else (data[:cut], data[cut:-1], data[-1:] + HIDDEN[:5])
    received = front_end.exchange(*parts, *(() if whole else (HIDDEN[5:],)))
    assert_that(front_end.refusals, Equals([]))
    is_1_0 = b"HTTP/1.0" in data
    assert_that(received.count(b"HTTP/1.1 200"), Equals(1 if is_1_0 else 2))
    assert_that(front_end.handler.requests[0].body, Equals(body))
    assert_that(front_end.handler.requests[0].target.encode(), Equals(data.split(b" ")[1]))
    assert_that(
        [r.target for r in front_end.handler.requests[1:]], Equals(["/hidden"] * (not is_1_0))
    )


def test_fields_reach_the_codec_in_their_order_without_space_around(front_end):
    """Guards against fields that are lost, joined or renamed."""
    front_end.exchange(START + b"x-b: 1 \r\nX-A:\t2\r\nx-b: 3\r\n\r\n")
    [request] = front_end.handler.requests
    assert_that(
        request.headers,
        Equals((("Host", "h"), ("X-Id", "1"), ("x-b", "1"), ("X-A", "2"), ("x-b", "3"))),
    )


@pytest.mark.parametrize("value", [b"close", b"Close", b"keep-alive, close", b"x , close"])
def test_a_connection_ends_when_its_caller_asks_for_it_among_others(front_end, value):
    """Guards against requests that run behind one that its caller has sent as the last."""
    received = front_end.exchange(START + b"Connection: " + value + b"\r\n\r\n" + HIDDEN)
    assert_that(received.count(b"HTTP/1.1 200"), Equals(1))
    assert_that(front_end.handler.requests, HasLength(1))


def test_a_head_over_its_limit_is_refused_before_its_end(front_end):
    """Guards against heads without end that are kept in memory, whatever their lines are."""
    for data in (b"x" * 17_000, START + b"X-A: b\r\n" * 2500, START + b"X: " + b"y" * 17_000):
        assert_that(front_end.exchange(data)[:12], Equals(b"HTTP/1.1 431"))
    assert_that(front_end.refusals, HasLength(3))
