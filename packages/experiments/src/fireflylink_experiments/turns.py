"""Measures what answers without end cost the other callers of a daemon.

Well-behaved callers have their answers after 20 ms, while others read answers without end in chunks
of two bytes. Both sides run in one command: connections as they are, and ones that read as long as
bytes are there and have limits on bytes only::

    python -m fireflylink_experiments.turns --seconds 4
"""

import subprocess
import sys
import time
from typing import Any

import gevent
import greenlet
from absl import flags

from fireflylink_core import BaseClock, LostReason, ReceiveLimits, SystemClock
from fireflylink_http_client import (
    ExchangeError,
    HttpConnection,
    HttpResponse,
    LostError,
    ResponseReader,
)

SECONDS = flags.DEFINE_float("seconds", 4.0, "Duration of each run.", lower_bound=0.1)
TROUBLED = flags.DEFINE_list("troubled", ["0", "1", "10", "100"], "Answers without end at once.")

CALLERS = 20
PAUSE_SECONDS = 0.02
TROUBLED_TIMEOUT_SECONDS = 1.5
READ_BYTES = 65536
MAX_BODY_BYTES = 16 * 1024 * 1024
MILLISECONDS_PER_SECOND = 1000.0

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ByteLimitedReader(ResponseReader):
    """Has a limit on the bytes of bodies only."""

    __slots__ = ()

    def feed(self, data: bytes) -> None:
        self._parser.feed(data)
        self.malformed = self._parser.body_bytes > MAX_BODY_BYTES


class GreedyConnection(HttpConnection):
    """Reads as long as bytes are there."""

    __slots__ = ()

    def exchange(self, request: bytes, method: str, deadline: float, *_: Any) -> Any:
        reader = ByteLimitedReader(method)
        self.sock.sendall(request)
        while True:
            response: HttpResponse | None = reader.next_response()
            if response is not None:
                return response, True
            remaining = deadline - self.clock.now()
            if remaining <= 0 or reader.malformed:
                raise LostError(LostReason.LATE, "while receiving")
            self.sock.settimeout(remaining)
            reader.feed(self.sock.recv(READ_BYTES))


class PeerProcess:
    """A server in a process of its own, so that its work is in no turn that is measured."""

    __slots__ = ("port", "process")

    def __init__(self, endless: bool) -> None:
        module = "fireflylink_experiments.endless_peer"
        command = [sys.executable, "-m", module, *(["--endless"] if endless else [])]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        assert self.process.stdout is not None
        self.port = int(self.process.stdout.readline())

    def close(self) -> None:
        """Ends the process."""
        self.process.kill()
        self.process.communicate()


class TurnMeter:
    """Measures the turns of greenlets: the longest, and the time of some of them."""

    __slots__ = ("began_at", "longest_seconds", "measured", "measured_seconds")

    def __init__(self) -> None:
        self.began_at = time.perf_counter()
        self.longest_seconds = 0.0
        self.measured: set[Any] = set()
        self.measured_seconds = 0.0

    def on_switch(self, _event: str, switch: tuple[Any, Any]) -> None:
        """Records the end of a turn; the event loop's own waits are no turns."""
        now = time.perf_counter()
        origin = switch[0]
        if origin is not gevent.get_hub():
            seconds = now - self.began_at
            self.longest_seconds = max(self.longest_seconds, seconds)
            if origin in self.measured:
                self.measured_seconds += seconds
        self.began_at = now


class Run:
    """One run: callers of a sound server beside callers of one whose answers have no end."""

    __slots__ = ("clock", "connection_type", "ends_at", "latencies", "limits", "meter", "ports")

    def __init__(self, connection_type: type[HttpConnection], ports: tuple[int, int]) -> None:
        self.connection_type = connection_type
        self.ports = ports
        self.clock: BaseClock = SystemClock()
        self.limits = ReceiveLimits()
        self.meter = TurnMeter()
        self.latencies: list[float] = []
        self.ends_at = 0.0

    def play(self, troubled: int, seconds: float) -> str:
        """Returns a line of the table.

        Each troubled caller gets one answer without end each ``TROUBLED_TIMEOUT_SECONDS``.
        """
        self.ends_at = self.clock.now() + seconds
        callers = [gevent.spawn(self._call_sound_server) for _ in range(CALLERS)]
        readers = [gevent.spawn(self._call_troubled_server) for _ in range(troubled)]
        self.meter.measured = set(readers)
        greenlet.settrace(self.meter.on_switch)
        try:
            gevent.joinall([*callers, *readers])
        finally:
            greenlet.settrace(None)
        slowest = sorted(self.latencies)[int(len(self.latencies) * 0.99)] if self.latencies else 0
        return (
            f"{troubled:>8} {self.meter.longest_seconds * MILLISECONDS_PER_SECOND:>15.1f} "
            f"{self.meter.measured_seconds / seconds:>7.2f} {len(self.latencies):>8} "
            f"{slowest * MILLISECONDS_PER_SECOND:>15.1f}"
        )

    def _call_sound_server(self) -> None:
        connection = HttpConnection(self.clock)
        connection.connect("127.0.0.1", self.ports[0], self.clock.now() + 5.0)
        while (started_at := self.clock.now()) < self.ends_at:
            connection.exchange(REQUEST, "GET", started_at + 30.0)
            self.latencies.append(self.clock.now() - started_at)
            gevent.sleep(PAUSE_SECONDS)
        connection.abort()

    def _call_troubled_server(self) -> None:
        while (now := self.clock.now()) < self.ends_at:
            connection = self.connection_type(self.clock, self.limits)
            try:
                connection.connect("127.0.0.1", self.ports[1], now + 1.0)
                connection.exchange(REQUEST, "GET", self.clock.now() + TROUBLED_TIMEOUT_SECONDS)
            except (ExchangeError, OSError):
                connection.abort()
            gevent.sleep(max(0.0, now + TROUBLED_TIMEOUT_SECONDS - self.clock.now()))


def main() -> None:
    """Prints a table for each kind of connection."""
    flags.FLAGS(sys.argv)
    sound, endless = PeerProcess(endless=False), PeerProcess(endless=True)
    for name, connection_type in (("greedy", GreedyConnection), ("limited", HttpConnection)):
        print(f"{name} connections")
        print("troubled longest turn ms   share  answers 99 in 100 under ms")
        for count in TROUBLED.value:
            run = Run(connection_type, (sound.port, endless.port))
            print(run.play(int(count), SECONDS.value), flush=True)
    sound.close()
    endless.close()


if __name__ == "__main__":
    main()
