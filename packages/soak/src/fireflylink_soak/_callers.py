"""The callers of a soak, and what they have seen."""

import random
import uuid

import gevent
from gevent import socket
from returns.result import Success

from fireflylink_core import BaseClock
from fireflylink_http_client import HttpResponse, LostError, ResponseReader
from fireflylink_soak._system import SoakSystem
from fireflylink_standins import LOOKUP_PATH, ORDER_PATH, VERSION_PATH, Caller, encode_call

MIN_PAUSE_SECONDS = 0.01
MAX_PAUSE_SECONDS = 0.15
HOT_KEY_LIMIT = 200
KEY_LIMIT = 65536
STAY_SECONDS = 4.0
"""How long the hot keys stay before they wander by ``STEP_KEYS``."""

STEP_KEYS = 21001
MAX_BODY_BYTES = 200_000
UPLOAD_FRACTION = 0.1
SENT_AHEAD_FRACTION = 0.05
LEAVING_FRACTION = 0.05
REQUESTS_SENT_AHEAD = 3
DEADLINE_SECONDS = 3.0
MAX_STAY_SECONDS = 0.05
READ_SIZE_BYTES = 65536
SUCCESS_STATUS = 200
MAX_WORK_SECONDS = 4.0
LOST = 0
"""Status of a request whose connection ended, or that got no reply in time."""

NOT_SENT = -1
LEFT = -2
"""Status of a request whose caller closed the connection early."""


class Reply:
    """What a caller saw of one request; ``body`` is empty without a reply.

    ``daemon`` is the number of the daemon, and ``incarnation`` its process id when the request was
    sent. ``at`` is when the request was sent, and ``ended_at`` when the reply had arrived or the
    connection had ended, in seconds on the boot clock.
    """

    __slots__ = (
        "at",
        "body",
        "daemon",
        "ended_at",
        "incarnation",
        "path",
        "request",
        "sent_body",
        "status",
    )

    def __init__(
        self,
        request: str,
        path: str,
        at: float,
        ended_at: float,
        daemon: int,
        incarnation: int,
        sent_body: bytes,
        status: int,
        body: bytes,
    ) -> None:
        self.request = request
        self.path = path
        self.at = at
        self.ended_at = ended_at
        self.daemon = daemon
        self.incarnation = incarnation
        self.sent_body = sent_body
        self.status = status
        self.body = body

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return self.path.startswith(LOOKUP_PATH)


class Callers:
    """Sends requests over kept connections until ``stop``, and collects the replies.

    Some are sent behind others on one connection, some callers leave early, and a caller that was
    refused sends its next request at once. ``sent_ahead_fraction`` of the draws send several
    lookups at once.
    refused sends its next request at once. While ``slow_fraction`` is not 0, such a part of the
    lookups works for up to ``MAX_WORK_SECONDS``, and the keys that are asked for most change every
    few seconds.
    """

    __slots__ = (
        "clock",
        "generator",
        "greenlets",
        "replies",
        "sent_ahead_fraction",
        "slow_fraction",
        "stopping",
        "system",
    )

    def __init__(
        self,
        system: SoakSystem,
        clock: BaseClock,
        seed: int,
        sent_ahead_fraction: float = SENT_AHEAD_FRACTION,
    ) -> None:
        self.system = system
        self.sent_ahead_fraction = sent_ahead_fraction
        self.clock = clock
        self.generator = random.Random(seed)
        self.replies: list[Reply] = []
        self.stopping = False
        self.slow_fraction = 0.0
        self.greenlets: list[gevent.Greenlet] = []

    def start(self, per_daemon: int) -> None:
        """Starts so many callers of each daemon."""
        self.greenlets = [
            gevent.spawn(self._send_requests, number)
            for number in range(len(self.system.daemons))
            for _ in range(per_daemon)
        ]

    def stop(self) -> None:
        """Waits until the last requests have ended."""
        self.stopping = True
        gevent.joinall(self.greenlets, raise_error=True)

    def send(self, caller: Caller, number: int, path: str, key: int | None, body: bytes) -> Reply:
        """Sends one request, and returns what came of it."""
        request = self._new_request_id()
        at = self.clock.now()
        incarnation = self.system.daemons[number].pid
        method = "GET" if path.startswith(LOOKUP_PATH) else "POST"
        result = caller.send(method, path, key, body, request_id=request)
        if isinstance(result, Success):
            response = result.unwrap()
            status, received = response.status, response.body
        else:
            status, received = (LOST if isinstance(result.failure(), LostError) else NOT_SENT), b""
        ended_at = self.clock.now()
        return Reply(request, path, at, ended_at, number, incarnation, body, status, received)

    def _send_requests(self, number: int) -> None:
        port = self.system.daemons[number].caller_proxy.listener.getsockname()[1]
        caller = Caller(port, self.clock)
        refused = False
        while not self.stopping:
            if not refused:
                gevent.sleep(self.generator.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
            draw = self.generator.random()
            if draw < self.sent_ahead_fraction:
                replies = self.send_ahead(port, number)
            elif draw < self.sent_ahead_fraction + LEAVING_FRACTION:
                replies = [self._send_and_leave(port, number)]
            else:
                replies = [self._send_random(caller, number)]
            self.replies.extend(replies)
            refused = replies[-1].status != SUCCESS_STATUS and not refused
        caller.close()

    def _send_random(self, caller: Caller, number: int) -> Reply:
        kind = self.generator.choices(("lookup", "order", "version"), (6, 3, 1))[0]
        if kind == "lookup":
            key = self._draw_key()
            path = f"{LOOKUP_PATH}{key}"
            if self.slow_fraction and self.generator.random() < self.slow_fraction:
                path += f"?work={self.generator.uniform(1.0, MAX_WORK_SECONDS):.2f}"
            return self.send(caller, number, path, key, b"")
        if kind == "version":
            version = self.system.configuration_version
            return self.send(caller, number, f"{VERSION_PATH}{version}/x", None, b"probe")
        is_upload = self.generator.random() < UPLOAD_FRACTION
        size = self.generator.randrange(MAX_BODY_BYTES) if is_upload else 20
        body = self.generator.randbytes(size)
        return self.send(caller, number, f"{ORDER_PATH}{self.generator.random()}", None, body)

    def _draw_key(self) -> int:
        limit = self.generator.choice((HOT_KEY_LIMIT, KEY_LIMIT))
        wandered = int(self.clock.now() / STAY_SECONDS) * STEP_KEYS if self.slow_fraction else 0
        return (wandered + self.generator.randrange(limit)) % KEY_LIMIT

    def _new_request_id(self) -> str:
        return uuid.UUID(int=self.generator.getrandbits(128)).hex[:16]

    def send_ahead(self, port: int, number: int) -> list[Reply]:
        """Sends several lookups at once on a new connection, and reads the answers in order."""
        keys = [self._draw_key() for _ in range(REQUESTS_SENT_AHEAD)]
        ids = [self._new_request_id() for _ in keys]
        paths = [f"{LOOKUP_PATH}{key}" for key in keys]
        calls = [
            encode_call("GET", path, request_id, DEADLINE_SECONDS, key)
            for path, request_id, key in zip(paths, ids, keys, strict=True)
        ]
        at = self.clock.now()
        incarnation = self.system.daemons[number].pid
        responses = self._exchange_ahead(port, b"".join(calls), len(calls), at + DEADLINE_SECONDS)
        ended_at = self.clock.now()
        replies = []
        for index, (path, request_id) in enumerate(zip(paths, ids, strict=True)):
            response = responses[index] if index < len(responses) else None
            status = LOST if response is None else response.status
            body = b"" if response is None else response.body
            replies.append(
                Reply(request_id, path, at, ended_at, number, incarnation, b"", status, body)
            )
        return replies

    def _exchange_ahead(
        self, port: int, data: bytes, count: int, deadline: float
    ) -> list[HttpResponse]:
        """Returns the responses that arrive until the connection ends or the deadline passes."""
        reader = ResponseReader("GET")
        responses: list[HttpResponse] = []
        sock = socket.socket()
        try:
            sock.settimeout(DEADLINE_SECONDS)
            sock.connect(("127.0.0.1", port))
            sock.sendall(data)
            while len(responses) < count:
                sock.settimeout(max(0.01, deadline - self.clock.now()))
                received = sock.recv(READ_SIZE_BYTES)
                if not received:
                    break
                reader.feed(received)
                while (response := reader.next_response()) is not None:
                    responses.append(response)
        except OSError:
            # The connection was refused, reset or silent: the rest of the requests got no answer.
            return responses
        finally:
            sock.close()
        return responses

    def _send_and_leave(self, port: int, number: int) -> Reply:
        """Sends an order and closes the connection before the answer."""
        request_id = self._new_request_id()
        path = f"{ORDER_PATH}{self.generator.random()}"
        body = b"left"
        at = self.clock.now()
        incarnation = self.system.daemons[number].pid
        sock = socket.socket()
        try:
            sock.settimeout(DEADLINE_SECONDS)
            sock.connect(("127.0.0.1", port))
            sock.sendall(encode_call("POST", path, request_id, DEADLINE_SECONDS, None, body))
            gevent.sleep(self.generator.uniform(0.0, MAX_STAY_SECONDS))
            status = LEFT
        except OSError:
            status = NOT_SENT
        finally:
            sock.close()
        ended_at = self.clock.now()
        return Reply(request_id, path, at, ended_at, number, incarnation, body, status, b"")
