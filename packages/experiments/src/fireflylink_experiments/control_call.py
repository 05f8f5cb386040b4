"""Measures a control call of gRPC: ``python -m fireflylink_experiments.control_call``.

A server process answers sync requests over loopback as a daemon's control server does. The command
prints the processor time of both processes for a call, the time for encoding the same messages
alone, the encoded bytes, and what both processes use while nothing is sent.
"""

# Imported before anything else that opens sockets, as in the daemon.
from gevent import monkey

monkey.patch_all()

import resource  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from absl import app, flags  # noqa: E402
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
TIMEOUT = 2.0
IDLE_SECONDS = 3.0
MICROSECONDS = 1e6
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


def serve() -> None:
    """Runs the server; writes the processor time that it used for each line that it reads."""
    server = ControlServer(HOST, 0, EchoHandler(), None)
    server.start()
    print(server.port, flush=True)
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

    __slots__ = ("port", "process")

    def __init__(self) -> None:
        command = [sys.executable, "-m", __spec__.name, "--serve", f"--tables={TABLES.value}"]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.port = int(self._read())

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
        request = sample_request()
        for _ in range(20):
            channel.sync(request, TIMEOUT)
        idle = _difference(server, lambda: gevent.sleep(IDLE_SECONDS))
        paused = _difference(server, lambda: _send(None, request))
        called = _difference(server, lambda: _send(channel, request))
    finally:
        server.close()
    per_call = [(c - p) / CALLS.value * MICROSECONDS for c, p in zip(called, paused, strict=True)]
    sizes = len(encode_sync_request(request)), len(encode_sync_reply(sample_reply()))
    print(
        f"event=control_call calls={CALLS.value} client_us={per_call[0]:.0f}"
        f" server_us={per_call[1]:.0f}"
        f" encoding_us={encoding_time(CALLS.value) * MICROSECONDS:.0f}"
        f" request_bytes={sizes[0]} reply_bytes={sizes[1]}"
    )
    print(
        f"event=idle seconds={IDLE_SECONDS:.0f}"
        f" client_us_per_second={idle[0] / IDLE_SECONDS * MICROSECONDS:.0f}"
        f" server_us_per_second={idle[1] / IDLE_SECONDS * MICROSECONDS:.0f}"
    )


def _difference(server: Measured, action: object) -> tuple[float, float]:
    assert callable(action)
    before = server.both()
    action()
    after = server.both()
    return after[0] - before[0], after[1] - before[1]


def _send(channel: PeerChannel | None, request: SyncRequest) -> None:
    for _ in range(CALLS.value):
        gevent.sleep(PERIOD_MS.value / 1000.0)
        if channel is not None and not is_successful(channel.sync(request, TIMEOUT)):
            raise RuntimeError("a control call failed")


if __name__ == "__main__":
    app.run(main)
