"""Open-loop load on entry daemons, bounded in rate, time and open requests."""

import bisect
import itertools
import json
import random

import gevent

from fireflylink_backend_client import (
    BackendConnection,
    LostError,
    LostReason,
    NotSentError,
    ResponseReader,
)
from fireflylink_core import BaseValue, SystemClock
from fireflylink_standins._load_report import LoadReport, record_seconds
from fireflylink_standins._load_settings import LoadSettings
from fireflylink_standins._request_ids import make_request_id

MILLISECONDS_PER_SECOND = 1000.0
REPLY_GRACE = 1.0
FIRST_ERROR_STATUS = 400
CONNECT_TIMEOUT = 0.5
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
OUTCOMES = ("answered", "not-run", "unknown")
Address = tuple[str, int]


class GeneratedRequest(BaseValue):
    """A request and the time at which it is due, in seconds on the local clock."""

    __slots__ = ("due", "key", "method", "request_id", "url_index")

    def __init__(self, due: float, method: str, key: str, request_id: str, url_index: int) -> None:
        self.due = due
        self.method = method
        self.key = key
        self.request_id = request_id
        self.url_index = url_index


class LoadGenerator:
    """Sends requests at random times of a given mean rate, whether or not earlier ones completed.

    Equal seeds give equal methods, keys and times. Example::

        report = LoadGenerator(settings).run()
    """

    __slots__ = (
        "clock",
        "end",
        "idle",
        "key_weights",
        "open_requests",
        "random",
        "report",
        "settings",
    )

    def __init__(self, settings: LoadSettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.end = float("inf")
        self.random = random.Random(settings.seed)
        self.report = LoadReport()
        self.idle: dict[Address, list[BackendConnection]] = {}
        self.open_requests: set[gevent.Greenlet] = set()
        weights = (1.0 / rank**settings.zipf for rank in range(1, settings.keys + 1))
        self.key_weights = list(itertools.accumulate(weights))

    def run(self) -> LoadReport:
        """Runs the load to its end and waits for the last replies."""
        due = self.clock.now()
        self.end = min(self.end, due + self.settings.duration)
        while True:
            due += self.random.expovariate(self.settings.rate)
            if due >= self.end:
                break
            self._wait_until(due)
            self._start(due)
        grace = self.settings.timeout_ms / MILLISECONDS_PER_SECOND + REPLY_GRACE
        gevent.joinall(list(self.open_requests), timeout=grace)
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        return self.report

    def finish(self) -> None:
        """Ends the load early; may be called from another thread."""
        self.end = self.clock.now()

    def _wait_until(self, due: float) -> None:
        remaining = due - self.clock.now()
        gevent.sleep(max(0.0, remaining))
        record_seconds(self.report.lag, self.clock.now() - due)

    def _start(self, due: float) -> None:
        request = self._generate(due)
        if len(self.open_requests) >= self.settings.outstanding:
            self.report.counts["skipped"] += 1
            return
        worker = gevent.spawn(self._perform, request)
        self.open_requests.add(worker)
        worker.rawlink(self.open_requests.discard)

    def _generate(self, due: float) -> GeneratedRequest:
        methods = [method for method, _ in self.settings.methods]
        shares = [share for _, share in self.settings.methods]
        return GeneratedRequest(
            due,
            self.random.choices(methods, shares)[0],
            self._draw_key(),
            make_request_id(self.clock.wall_ms(), self.random),
            self.random.randrange(len(self.settings.addresses)),
        )

    def _draw_key(self) -> str:
        if not self.key_weights:
            return ""
        point = self.random.random() * self.key_weights[-1]
        return f"key-{bisect.bisect_right(self.key_weights, point)}"

    def _perform(self, request: GeneratedRequest) -> None:
        timeout = self.settings.timeout_ms / MILLISECONDS_PER_SECOND + REPLY_GRACE
        try:
            reader = self._send(request, self.clock.now() + timeout)
        except LostError as error:
            self._conclude(request, "no-reply", error.reason.value)
            return
        except NotSentError as error:
            self._conclude(request, "unreachable", error.reason.value)
            return
        outcome = reader.header("fireflylink-outcome")
        if outcome not in OUTCOMES:
            self._conclude(request, "no-outcome", str(reader.status))
        elif outcome != "answered":
            self._conclude(request, outcome, _reason_of(reader))
        elif not _answers(reader, request):
            self._conclude(request, "wrong-answer", "request-id")
        else:
            self._conclude(request, outcome, str(reader.status))
            if request.method == "POST" and reader.status >= FIRST_ERROR_STATUS:
                self.report.post_outcomes[request.request_id] = "answered-error"

    def _conclude(self, request: GeneratedRequest, outcome: str, reason: str) -> None:
        self.report.record(outcome, self.clock.now() - request.due)
        self.report.reasons[f"{outcome}:{reason}"] += 1
        if request.method == "POST":
            self.report.post_outcomes[request.request_id] = outcome

    def _send(self, request: GeneratedRequest, deadline: float) -> ResponseReader:
        """Sends to one daemon, and to the next one only while nothing was sent."""
        count = len(self.settings.addresses)
        for attempt in range(count):
            address = self.settings.addresses[(request.url_index + attempt) % count]
            try:
                return self._exchange(address, request, deadline)
            except NotSentError:
                if attempt == count - 1:
                    raise
        raise AssertionError("no address")

    def _exchange(
        self, address: Address, request: GeneratedRequest, deadline: float
    ) -> ResponseReader:
        """Sends on an idle connection or a new one.

        An idempotent request that gets no reply on an idle connection is sent once more on a new
        one, as HTTP allows: the daemon may close an idle connection at any moment.
        """
        connection = self._idle_connection(address)
        if connection is not None and request.method in IDEMPOTENT_METHODS:
            try:
                return self._exchange_on(connection, address, request, deadline)
            except LostError as error:
                if error.reason not in (LostReason.CLOSED, LostReason.RESET):
                    raise
                connection = None
        if connection is None:
            connection = self._new_connection(address, deadline)
        return self._exchange_on(connection, address, request, deadline)

    def _exchange_on(
        self,
        connection: BackendConnection,
        address: Address,
        request: GeneratedRequest,
        deadline: float,
    ) -> ResponseReader:
        reusable = False
        try:
            encoded = self._encode(request, address)
            reader = connection.exchange(encoded, request.method, deadline)
            reusable = reader.reusable
            return reader
        finally:
            if reusable:
                self.idle.setdefault(address, []).append(connection)
            else:
                connection.close()

    def _idle_connection(self, address: Address) -> BackendConnection | None:
        idle = self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable():
                return connection
            connection.close()
        return None

    def _new_connection(self, address: Address, deadline: float) -> BackendConnection:
        connection = BackendConnection(address[0], self.clock)
        try:
            connection.connect(*address, min(deadline, self.clock.now() + CONNECT_TIMEOUT))
        except NotSentError:
            connection.close()
            raise
        return connection

    def _encode(self, request: GeneratedRequest, address: Address) -> bytes:
        has_body = request.method in ("PUT", "POST")
        body = b"x" * self.settings.body_bytes if has_body else b""
        path = f"/v1/{self.settings.service}"
        if request.key:
            path += f"/{request.key}"
        head = (
            f"{request.method} {path} HTTP/1.1\r\n"
            f"Host: {address[0]}:{address[1]}\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Fireflylink-Tenant: {self.settings.tenant}\r\n"
            f"Fireflylink-Timeout-Ms: {self.settings.timeout_ms}\r\n"
            f"Fireflylink-Request-Id: {request.request_id}\r\n\r\n"
        )
        return head.encode("ascii") + body


def _answers(reader: ResponseReader, request: GeneratedRequest) -> bool:
    """Tells whether a backend stand-in's answer names the request; other answers pass."""
    if request.method == "HEAD" or not reader.body:
        return True
    try:
        document = json.loads(reader.body)
    except ValueError:
        return False
    return bool(document.get("request_id") == request.request_id)


def _reason_of(reader: ResponseReader) -> str:
    try:
        return str(json.loads(reader.body).get("reason", reader.status))
    except (ValueError, AttributeError):
        return str(reader.status)
