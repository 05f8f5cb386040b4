"""Measures a control call of gRPC: ``python -m fireflylink_experiments.control_call``.

A server process answers sync requests over loopback as a daemon's control server does. The command
prints the processor time of both processes for a unary call of gRPC, for the same messages on one
stream of gRPC and on a plain socket with a length before each, the time for encoding alone, and
what both processes use while nothing is sent.
"""

# Imported before anything else that opens sockets, as in the daemon.
from gevent import monkey

monkey.patch_all()

import resource  # noqa: E402
import socket  # noqa: E402
import struct  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402
from concurrent.futures import ThreadPoolExecutor  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
import grpc  # noqa: E402
from absl import app, flags  # noqa: E402
from gevent.queue import Queue  # noqa: E402
from gevent.server import StreamServer  # noqa: E402
from grpc.experimental import gevent as grpc_gevent  # noqa: E402
from returns.pipeline import is_successful  # noqa: E402

from fireflylink_core import (  # noqa: E402
    AuthorityReport,
    EndorseReply,
    EndorseRequest,
    HandoverReply,
    HandoverRequest,
    Member,
    SyncReply,
    SyncRequest,
)
from fireflylink_protocol import (  # noqa: E402
    BaseControlHandler,
    ControlServer,
    PeerChannel,
    decode_sync_reply,
    decode_sync_request,
    encode_sync_reply,
    encode_sync_request,
)

CALLS = flags.DEFINE_integer("calls", 1000, "Calls to measure.", 10, 100_000)
PERIOD_MS = flags.DEFINE_float("period_ms", 5.0, "Milliseconds between calls, as in a daemon.")
SERVE = flags.DEFINE_bool("serve", False, "Run the server process of the measurement.")
TABLES = flags.DEFINE_integer("tables", 11, "Tables whose versions and authority are carried.")

HOST = "127.0.0.1"
LENGTH = struct.Struct("!I")
TIMEOUT = 2.0
IDLE_SECONDS = 3.0
MICROSECONDS = 1e6
MILLISECONDS = 1e3
STREAM_SERVICE = "fireflylink.measurement.Stream"
STREAM_SERVERS: list[Any] = []
MEMBER = Member("daemon-0001", "dc01", HOST, 7000, 7001)


def sample_request() -> SyncRequest:
    """Returns the request of a leaf in a settled system."""
    versions = tuple((f"dc{number:02}.keep", 10) for number in range(TABLES.value))
    return SyncRequest(MEMBER, 7, versions, 1, (), (), (), ())


def sample_reply() -> SyncReply:
    """Returns the reply of a parent in a settled system."""
    reports = [
        AuthorityReport(f"dc{number:02}.keep", 10, 1500, 10, True) for number in range(TABLES.value)
    ]
    return SyncReply("daemon-0000", 7, (), tuple(reports), (), 1, ())


class EchoHandler(BaseControlHandler):
    """Answers each sync with the sample reply."""

    __slots__ = ("reply",)

    def __init__(self) -> None:
        self.reply = sample_reply()

    def sync(self, request: SyncRequest) -> SyncReply:
        return self.reply

    def endorse(self, request: EndorseRequest) -> EndorseReply:
        return EndorseReply("daemon-0000", True, request.version, False)

    def handover(self, request: HandoverRequest) -> HandoverReply:
        return HandoverReply(True)


def _answer_stream(requests: Iterator[SyncRequest], _context: Any) -> Iterator[SyncReply]:
    reply = sample_reply()
    for _request in requests:
        yield reply


def stream_server() -> int:
    """Starts a server that answers on one stream; returns its port."""
    handler = grpc.stream_stream_rpc_method_handler(
        _answer_stream,
        request_deserializer=decode_sync_request,
        response_serializer=encode_sync_reply,
    )
    server = grpc.server(ThreadPoolExecutor(max_workers=4))
    handlers = grpc.method_handlers_generic_handler(STREAM_SERVICE, {"Sync": handler})
    server.add_generic_rpc_handlers((handlers,))
    port = int(server.add_insecure_port(f"{HOST}:0"))
    server.start()
    STREAM_SERVERS.append(server)
    return port


def open_stream(port: int) -> Callable[[SyncRequest], SyncReply]:
    """Returns a call that sends a request on one stream and waits for the reply."""
    requests: Queue = Queue()
    channel = grpc.insecure_channel(f"{HOST}:{port}")
    method = channel.stream_stream(
        f"/{STREAM_SERVICE}/Sync",
        request_serializer=encode_sync_request,
        response_deserializer=decode_sync_reply,
    )
    replies = method(iter(requests.get, None))

    def call(request: SyncRequest) -> SyncReply:
        requests.put(request)
        reply: SyncReply = next(replies)
        return reply

    return call


def _read_message(stream: Any) -> bytes:
    (length,) = LENGTH.unpack(stream.read(LENGTH.size) or LENGTH.pack(0))
    return bytes(stream.read(length))


def _answer_socket(connection: Any, _address: Any) -> None:
    stream = connection.makefile("rb")
    reply = sample_reply()
    while payload := _read_message(stream):
        decode_sync_request(payload)
        answer = encode_sync_reply(reply)
        connection.sendall(LENGTH.pack(len(answer)) + answer)


def socket_server() -> int:
    """Starts a server that answers on plain sockets; returns its port."""
    server = StreamServer((HOST, 0), _answer_socket)
    server.start()
    return int(server.server_port)


def open_socket(port: int) -> Callable[[SyncRequest], SyncReply]:
    """Returns a call that sends a request on a plain socket and waits for the reply."""
    connection = socket.create_connection((HOST, port))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream = connection.makefile("rb")

    def call(request: SyncRequest) -> SyncReply:
        payload = encode_sync_request(request)
        connection.sendall(LENGTH.pack(len(payload)) + payload)
        return decode_sync_reply(_read_message(stream))

    return call


def serve() -> None:
    """Runs the server; writes the processor time that it used for each line that it reads."""
    server = ControlServer(HOST, 0, EchoHandler(), None)
    server.start()
    print(server.port, stream_server(), socket_server(), flush=True)
    threads = gevent.get_hub().threadpool
    while threads.apply(sys.stdin.readline):
        print(processor_time(), flush=True)


def processor_time() -> float:
    """Returns the processor time of this process with all its threads, in seconds."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def encoding_time(calls: int) -> float:
    """Returns the seconds for encoding and decoding the request and the reply of one call."""
    request, reply = sample_request(), sample_reply()
    started = time.process_time()
    for _ in range(calls):
        decode_sync_request(encode_sync_request(request))
        decode_sync_reply(encode_sync_reply(reply))
    return (time.process_time() - started) / calls


class Measured:
    """The server process and the processor time of both sides."""

    __slots__ = ("port", "process", "socket_port", "stream_port")

    def __init__(self) -> None:
        command = [sys.executable, "-m", __spec__.name, "--serve", f"--tables={TABLES.value}"]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        ports = [int(port) for port in self._read().split()]
        self.port, self.stream_port, self.socket_port = ports

    def _read(self) -> str:
        assert self.process.stdout is not None
        return self.process.stdout.readline()

    def both(self) -> tuple[float, float]:
        """Returns the processor time of the client and of the server."""
        assert self.process.stdin is not None
        self.process.stdin.write("\n")
        self.process.stdin.flush()
        return processor_time(), float(self._read())

    def close(self) -> None:
        """Ends the server process."""
        self.process.kill()
        self.process.wait()


def main(_arguments: list[str]) -> None:
    """Prints the cost of calls, of encoding alone and of an idle connection."""
    grpc_gevent.init_gevent()
    if SERVE.value:
        serve()
        return
    server = Measured()
    try:
        channel = PeerChannel(MEMBER.replace(control_port=server.port), None)
        stream = open_stream(server.stream_port)
        plain = open_socket(server.socket_port)
        request = sample_request()
        for _ in range(20):
            channel.sync(request, TIMEOUT)
            stream(request)
            plain(request)
        idle = _difference(server, lambda: gevent.sleep(IDLE_SECONDS))
        paused = _difference(server, lambda: _repeat(lambda: None))
        called = _difference(server, lambda: _repeat(lambda: _call(channel, request)))
        streamed = _difference(server, lambda: _repeat(lambda: stream(request)))
        plainly = _difference(server, lambda: _repeat(lambda: plain(request)))
    finally:
        server.close()
    sizes = len(encode_sync_request(request)), len(encode_sync_reply(sample_reply()))
    encoding = encoding_time(CALLS.value) * MICROSECONDS
    for way, spent in (("unary", called), ("stream", streamed), ("socket", plainly)):
        client, answerer = (
            (used - base) / CALLS.value * MICROSECONDS
            for used, base in zip(spent, paused, strict=True)
        )
        print(
            f"event=control_call way={way} calls={CALLS.value} client_us={client:.0f}"
            f" server_us={answerer:.0f} encoding_us={encoding:.0f}"
            f" request_bytes={sizes[0]} reply_bytes={sizes[1]}"
        )
    print(
        f"event=idle seconds={IDLE_SECONDS:.0f}"
        f" client_us_per_second={idle[0] / IDLE_SECONDS * MICROSECONDS:.0f}"
        f" server_us_per_second={idle[1] / IDLE_SECONDS * MICROSECONDS:.0f}"
    )


def _difference(server: Measured, action: Callable[[], object]) -> tuple[float, float]:
    before = server.both()
    action()
    after = server.both()
    return after[0] - before[0], after[1] - before[1]


def _call(channel: PeerChannel, request: SyncRequest) -> None:
    if not is_successful(channel.sync(request, TIMEOUT)):
        raise RuntimeError("a control call failed")


def _repeat(action: Callable[[], object]) -> None:
    for _ in range(CALLS.value):
        gevent.sleep(PERIOD_MS.value / MILLISECONDS)
        action()


if __name__ == "__main__":
    app.run(main)
