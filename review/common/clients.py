"""Clients that send requests at a rate, as the pages say, and record what they were answered."""

import http.client
import queue
import random
import threading
import time
import uuid

IDLE_SECONDS = 4.0  # a connection that was idle for longer is not used again; daemons state 6 s


class Sent:
    """One client attempt. Times are those of ``time.monotonic``; None for what did not happen."""

    __slots__ = ("answered_at", "body", "daemon", "headers", "id", "kind", "sent_at", "status")

    def __init__(self, request_id: str, kind: str, daemon: str) -> None:
        self.id = request_id
        self.kind = kind
        self.daemon = daemon
        self.sent_at = 0.0
        self.answered_at: float | None = None
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""


class Kind:
    """A kind of request; ``rate`` is in requests a second at each daemon."""

    def __init__(
        self,
        name: str,
        host: str,
        method: str,
        prefix: str,
        rate: float,
        deadline_ms: int,
        keyed: bool,
        body_bytes: int,
    ) -> None:
        self.name = name
        self.host = host
        self.method = method
        self.prefix = prefix
        self.rate = rate
        self.deadline_ms = deadline_ms
        self.keyed = keyed
        self.body_bytes = body_bytes


class ReadinessChecks:
    """Asks each daemon once a second whether it is ready, as the platform does."""

    def __init__(self, daemons) -> None:
        self.results: list[tuple[float, str, bool]] = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._check, args=(daemon,), daemon=True) for daemon in daemons
        ]

    def start(self) -> None:
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        self.stopping.set()

    def _check(self, daemon) -> None:
        while not self.stopping.wait(1.0):
            asked_at = time.monotonic()
            self.results.append((asked_at, daemon.name, daemon.is_ready()))


class Clients:
    """Sends requests of some kinds to one daemon, open loop, over kept connections."""

    def __init__(self, daemon, kinds: list[Kind], threads: int, seed: int) -> None:
        self.daemon = daemon
        self.kinds = kinds
        self.sent: list[Sent] = []
        self.lock = threading.Lock()
        self.jobs: queue.Queue = queue.Queue()
        self.stopping = threading.Event()
        self.random = random.Random(seed)
        self.threads = [threading.Thread(target=self._work, daemon=True) for _ in range(threads)]
        self.threads += [
            threading.Thread(target=self._generate, args=(kind,), daemon=True) for kind in kinds
        ]

    def start(self) -> None:
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        self.stopping.set()
        ends_at = time.monotonic() + 8.0
        for thread in self.threads:
            thread.join(max(0.0, ends_at - time.monotonic()))

    def _generate(self, kind: Kind) -> None:
        next_at = time.monotonic()
        while not self.stopping.is_set():
            next_at += self.random.expovariate(kind.rate)
            delay = next_at - time.monotonic()
            if delay > 0:
                time.sleep(delay)
            self.jobs.put(kind)

    def _work(self) -> None:
        connection = None
        used_at = 0.0
        while not self.stopping.is_set():
            try:
                kind = self.jobs.get(timeout=0.2)
            except queue.Empty:
                continue
            if connection is not None and time.monotonic() > used_at + IDLE_SECONDS:
                connection.close()
                connection = None
            connection = self._send(connection, kind)
            used_at = time.monotonic()

    def _send(self, connection, kind: Kind):
        sent = Sent(uuid.uuid4().hex[:16], kind.name, self.daemon.name)
        headers = {
            "Host": kind.host,
            "Request-Id": sent.id,
            "Deadline-Ms": str(kind.deadline_ms),
        }
        if kind.keyed:
            headers["Shard-Key"] = str(self.random.randrange(65536))
        body = self.random.randbytes(kind.body_bytes) if kind.body_bytes else None
        timeout = kind.deadline_ms / 1000.0
        try:
            if connection is None:
                connection = http.client.HTTPConnection(
                    self.daemon.host, self.daemon.front_port, timeout=1.0
                )
                connection.connect()
            connection.sock.settimeout(timeout)
            with self.lock:
                self.sent.append(sent)
            sent.sent_at = time.monotonic()
            connection.request(kind.method, f"{kind.prefix}{sent.id}", body, headers)
            answer = connection.getresponse()
            sent.body = answer.read()
            sent.headers = dict(answer.getheaders())
            sent.status = answer.status
            sent.answered_at = time.monotonic()
            if answer.will_close:
                connection.close()
                connection = None
        except (OSError, http.client.HTTPException):
            if connection is not None:
                connection.close()
            connection = None
        return connection
