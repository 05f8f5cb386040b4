"""Backend server stand-in: its HTTP contract on one port."""

import collections
import json
from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent.event import Event

from fireflylink_core import MAX_ANSWER_BYTES, SystemClock
from fireflylink_standins._backend_faults import (
    BaseBackendFault,
    BaseFaultTarget,
    FaultSwitches,
)
from fireflylink_standins._backend_grants import CallFence
from fireflylink_standins._backend_settings import BackendSettings
from fireflylink_standins._backend_state import (
    BackendState,
    KeyState,
    OverloadCrash,
    Refusal,
    ServerCall,
)
from fireflylink_standins._http_server import (
    CONNECTION_KEY,
    StandinHandler,
    StandinServer,
    dropped_connection,
)
from fireflylink_standins._journal import JournalEntry

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
MILLISECONDS_PER_SECOND = 1000.0


class BackendStandin(BaseFaultTarget):
    """One backend server on its own port.

    Example::

        server = BackendStandin(BackendSettings("hold-1", "holds"))
        server.start()
        server.apply(Freeze(duration_ms=3000))
    """

    __slots__ = (
        "clock",
        "frozen_until",
        "health_document",
        "health_ms",
        "server",
        "settings",
        "state",
        "thawed",
        "waiting",
    )

    def __init__(self, settings: BackendSettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.state = BackendState(settings, self.clock)
        self.switches = FaultSwitches()
        self.thawed = Event()
        self.thawed.set()
        self.frozen_until = 0.0
        self.waiting: collections.deque[Event] = collections.deque()
        self.health_document: dict[str, Any] = {}
        self.health_ms = float("-inf")
        self.server = StandinServer(self._answer, settings.host, settings.port, self._admit)

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self.server.port

    def start(self) -> None:
        """Starts to listen."""
        self.server.open()

    def stop(self) -> None:
        """Closes the listener and every connection."""
        self.thawed.set()
        self.server.close()

    def apply(self, fault: BaseBackendFault) -> None:
        """Puts a fault in force."""
        fault.apply(self)

    def freeze(self, seconds: float) -> None:
        self.frozen_until = self.clock.now() + seconds
        self.thawed.clear()
        gevent.spawn_later(seconds, self._thaw)

    def crash(self, down_ms: float) -> None:
        self.server.stop_listening()
        self.state.restart(cold=True)
        self.frozen_until = 0.0
        self.thawed.set()
        self.server.reset_connections()
        while self.waiting:
            self.waiting.popleft().set()
        if down_ms > 0:
            number = self.state.generation_number
            gevent.spawn_later(down_ms / MILLISECONDS_PER_SECOND, self._return, number)
        else:
            self.server.open()

    def turn_cold(self) -> None:
        self.state.turn_cold()

    def slow_down(self, factor: float) -> None:
        self.state.slow_factor = factor

    def silence(self) -> None:
        for connection in self.server.connections:
            connection.silent = True

    def drain(self, draining: bool) -> None:
        self.state.drain_started_ms = self.state.clock_ms() if draining else None

    def _return(self, generation_number: int) -> None:
        """Listens again after a crash, unless another crash came since."""
        if generation_number == self.state.generation_number:
            self.server.open()

    def _thaw(self) -> None:
        if self.clock.now() >= self.frozen_until:
            self.thawed.set()

    def _admit(self, count: int) -> bool:
        if count <= self.settings.connections:
            return True
        self.state.journal.violate("connections-exceeded")
        return False

    def _answer(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        connection: StandinHandler = environ[CONNECTION_KEY]
        body = environ["wsgi.input"].read()
        self._pass_faults(connection)
        path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")
        if path == "/health":
            return _send_json(start_response, "200 OK", self._health())
        if path == "/grants":
            return self._grant(json.loads(body), start_response)
        if path == "/grants/revoke":
            return self._revoke(json.loads(body), start_response)
        call = self._decode(environ, path, body)
        if call is None:
            return _send_json(start_response, "400 Bad Request", {"error": "malformed call"})
        return self._serve(call, connection, start_response)

    def _pass_faults(self, connection: StandinHandler) -> None:
        """Waits while the server is frozen; never returns on a silent connection."""
        self.thawed.wait()
        if connection.silent:
            connection.hang()
        if connection not in self.server.connections or connection.was_reset:
            raise dropped_connection()

    def _decode(self, environ: Environ, path: str, body: bytes) -> ServerCall | None:
        service, _, key = path.lstrip("/").partition("/")
        if service != self.settings.service:
            return None
        try:
            return ServerCall(
                method=environ["REQUEST_METHOD"],
                key=key,
                body=body,
                call_id=environ["HTTP_FIREFLYLINK_CALL_ID"],
                request_id=environ.get("HTTP_FIREFLYLINK_REQUEST_ID", ""),
                deadline_ms=float(environ["HTTP_FIREFLYLINK_DEADLINE_MS"]),
                fence=CallFence(
                    int(environ["HTTP_FIREFLYLINK_GATEWAY_EPOCH"]),
                    int(environ["HTTP_FIREFLYLINK_SHARD"]),
                    int(environ["HTTP_FIREFLYLINK_EPOCH"]),
                ),
                tenant=environ.get("HTTP_FIREFLYLINK_TENANT", ""),
            )
        except (KeyError, ValueError):
            return None

    def _serve(
        self, call: ServerCall, connection: StandinHandler, start_response: StartResponse
    ) -> Iterable[bytes]:
        started = self.state.check(call) or self._start(call, connection)
        if isinstance(started, OverloadCrash):
            self.crash(self.settings.crash_ms)
            raise dropped_connection()
        if isinstance(started, Refusal):
            self.state.note_answer()
            headers = [*self._headers(call), ("Fireflylink-Not-Run", started.value)]
            return _send(start_response, "503 Service Unavailable", headers, b"")
        if self.switches.poison and self.switches.poison in call.body:
            self.crash(self.settings.crash_ms)
            raise dropped_connection()
        state = self._run(call, started, connection)
        if state is None:
            return _send(start_response, "504 Gateway Timeout", self._headers(call), b"")
        return self._reply(call, state, connection, start_response)

    def _start(
        self, call: ServerCall, connection: StandinHandler
    ) -> JournalEntry | Refusal | OverloadCrash:
        started = self.state.start(call)
        while started is Refusal.BUSY and len(self.waiting) < self.settings.queue_limit:
            turn = Event()
            self.waiting.append(turn)
            if not turn.wait(self._seconds_left(call)):
                self.waiting.remove(turn)
                return Refusal.DEADLINE
            self._pass_faults(connection)
            started = self.state.check(call) or self.state.start(call)
        return started

    def _run(
        self, call: ServerCall, entry: JournalEntry, connection: StandinHandler
    ) -> KeyState | None:
        """Runs a request for its service time; None when its deadline passed."""
        seconds = self.state.service_seconds()
        try:
            if connection.wait_for_close(min(seconds, self._seconds_left(call))):
                raise dropped_connection()
            self._pass_faults(connection)
        except ConnectionResetError:
            self.state.finish(entry, "cancelled")
            raise
        finally:
            if self.waiting:
                self.waiting.popleft().set()
        if self._seconds_left(call) <= 0:
            self.state.finish_late(call, entry)
            return None
        return self.state.complete(call, entry)

    def _seconds_left(self, call: ServerCall) -> float:
        return max(0.0, (call.deadline_ms - self.state.clock_ms()) / MILLISECONDS_PER_SECOND)

    def _reply(
        self,
        call: ServerCall,
        state: KeyState,
        connection: StandinHandler,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        if self.switches.delay_ms:
            gevent.sleep(self.switches.delay_ms / MILLISECONDS_PER_SECOND)
            self._pass_faults(connection)
        if self.switches.take("lose_answers"):
            raise dropped_connection()
        headers = self._headers(call)
        if self.switches.take("wrong_call_ids"):
            headers[0] = ("Fireflylink-Call-Id", f"{call.call_id}-other")
        body = self._body(call, state)
        self.state.note_answer()
        if self.switches.take("truncate_answers"):
            headers.append(("Connection", "close"))
            return _send(start_response, "200 OK", headers, body, body[: len(body) // 2])
        return _send(
            start_response, "200 OK", headers, body, b"" if call.method == "HEAD" else body
        )

    def _headers(self, call: ServerCall) -> list[tuple[str, str]]:
        return [
            ("Fireflylink-Call-Id", call.call_id),
            ("Fireflylink-Server-Id", self.settings.server_id),
            ("Fireflylink-Generation", self.state.generation),
            ("Fireflylink-Clock-Ms", str(int(self.state.clock_ms()))),
            ("Content-Type", "application/json"),
        ]

    def _body(self, call: ServerCall, state: KeyState) -> bytes:
        document = {
            "key": call.key,
            "request_id": call.request_id,
            "server_id": self.settings.server_id,
            "version": state.version,
            "value": state.value.decode("latin-1"),
        }
        size = MAX_ANSWER_BYTES + 1 if self.switches.take("oversize_answers") else 0
        return json.dumps(document).encode().ljust(max(size, self.settings.answer_bytes))

    def _status(self) -> dict[str, Any]:
        in_flight = len(self.state.in_flight)
        return {
            "generation": self.state.generation,
            "clock_ms": int(self.state.clock_ms()),
            "state": self.state.warmth(),
            "in_flight": in_flight,
            "slots": self.settings.slots,
            "load": in_flight / self.settings.slots,
        }

    def _health(self) -> dict[str, Any]:
        """Returns the status as it was up to ``health_lag_ms`` ago, with the present clock."""
        now = self.state.machine_ms()
        if now - self.health_ms >= self.settings.health_lag_ms:
            self.health_document = self._status()
            self.health_ms = now
        document = {**self.health_document, "clock_ms": int(self.state.clock_ms())}
        if self.switches.lying_health:
            document.update(state="warm", in_flight=0, load=0.0)
        return document

    def _grant(self, command: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        if not self.state.grants.accept(command, self.settings.checks_grants):
            return self._refuse_epoch(start_response)
        self.state.note_answer()
        return _send_json(start_response, "200 OK", self._status())

    def _revoke(self, command: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        if not self.state.grants.revoke(command, self.settings.checks_grants):
            return self._refuse_epoch(start_response)
        shards = {int(index) for index in [*command["shards"], *command["exceptions"]]}
        document = {"in_flight": self.state.running_of(shards)}
        return _send_json(start_response, "200 OK", document)

    def _refuse_epoch(self, start_response: StartResponse) -> Iterable[bytes]:
        document = {
            "gateway_epoch": self.state.grants.highest_gateway_epoch,
            "clock_ms": int(self.state.clock_ms()),
        }
        return _send_json(start_response, "409 Conflict", document)


def _send_json(
    start_response: StartResponse, status: str, document: dict[str, Any]
) -> Iterable[bytes]:
    headers = [("Content-Type", "application/json")]
    return _send(start_response, status, headers, json.dumps(document).encode())


def _send(
    start_response: StartResponse,
    status: str,
    headers: list[tuple[str, str]],
    body: bytes,
    sent_body: bytes | None = None,
) -> Iterable[bytes]:
    start_response(status, [*headers, ("Content-Length", str(len(body)))])
    return [body if sent_body is None else sent_body]
