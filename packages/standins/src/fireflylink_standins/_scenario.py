"""A local system under load and faults, and what its journals show afterwards."""

import concurrent.futures
import functools
import http.client
import itertools
import json
import random
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from fireflylink_core import BaseFireflylinkError, BaseValue, ServiceKind, SystemClock
from fireflylink_standins._examples import ExampleService
from fireflylink_standins._journal import JournalEntry, entry_from_document
from fireflylink_standins._load_generator import LoadGenerator
from fireflylink_standins._load_report import LoadReport
from fireflylink_standins._load_settings import LoadSettings
from fireflylink_standins._local_files import HOST
from fireflylink_standins._local_system import LocalSystem
from fireflylink_standins._request_ids import make_request_id

MAX_LOAD_SECONDS = 60.0
REPLY_TIMEOUT = 5.0
DEFAULT_TIMEOUT_MS = 2000
POLL_PERIOD = 0.05
REPEAT_PERIOD = 0.2
SENDERS = 16
SETTLING_POSTS = 60
MILLISECONDS_PER_SECOND = 1000.0
NO_REPLY = "no-reply"
QUIET_FAULTS: tuple[dict[str, Any], ...] = (
    {"fault": "slow", "factor": 1.0},
    {"fault": "delay", "delay_ms": 0},
    {"fault": "poison", "marker": ""},
    {"fault": "drain", "draining": False},
    {"fault": "lying_health", "enabled": False},
    {"fault": "truncate", "count": 0},
    {"fault": "lose_answer", "count": 0},
    {"fault": "wrong_call_id", "count": 0},
)


class ScenarioError(BaseFireflylinkError):
    """A state that was waited for did not come."""


class Told(BaseValue):
    """What a caller was told about one attempt, and when (milliseconds of the machine's clock)."""

    __slots__ = ("body", "outcome", "reason", "server_id", "status", "told_ms")

    def __init__(
        self, outcome: str, reason: str, status: int, server_id: str, body: bytes, told_ms: float
    ) -> None:
        self.outcome = outcome
        self.reason = reason
        self.status = status
        self.server_id = server_id
        self.body = body
        self.told_ms = told_ms


class Scenario:
    """Calls, load, faults and journals of a running local system.

    Example::

        with scenario.load("holds", rate=100, keys=20) as report:
            scenario.fault("holds", "holds-1", fault="freeze", duration_ms=4000)
    """

    __slots__ = ("clock", "random", "system")

    def __init__(self, system: LocalSystem, seed: int) -> None:
        self.system = system
        self.clock = SystemClock()
        self.random = random.Random(seed)

    # State

    def now_ms(self) -> float:
        """Returns milliseconds of the clock that the journals use."""
        return self.clock.now() * MILLISECONDS_PER_SECOND

    def until(self, what: str, holds: Callable[[], Any], seconds: float) -> Any:
        """Polls until ``holds`` returns a true value and returns it; raises ``ScenarioError``."""
        deadline = time.monotonic() + seconds
        while True:
            found = self._attempt(holds)
            if found:
                return found
            if time.monotonic() > deadline:
                raise ScenarioError(f"not within {seconds} s: {what}")
            time.sleep(POLL_PERIOD)

    def _attempt(self, holds: Callable[[], Any]) -> Any:
        try:
            return holds()
        except (OSError, http.client.HTTPException):
            return None

    def entries(self, service: str) -> list[JournalEntry]:
        """Returns everything that the servers of a service ran."""
        found: list[JournalEntry] = []
        after: dict[str, int] = {}
        while True:
            target = f"/admin/journal?after={json.dumps(after, separators=(',', ':'))}"
            page = self.system.backend_admin(service, "GET", target)
            found += [entry_from_document(document) for document in page["entries"]]
            after = page["next"]
            if not page["entries"]:
                return found

    def started_after(self, service: str, start_ms: float) -> list[JournalEntry]:
        """Returns what the servers of a service began to run after a time."""
        return [entry for entry in self.entries(service) if entry.start_ms > start_ms]

    def violations(self, service: str) -> dict[str, int]:
        """Returns the violations that the servers of a service counted."""
        found: dict[str, int] = self.system.backend_admin(service, "GET", "/admin/journal")[
            "violations"
        ]
        return found

    def versions(self) -> dict[str, int]:
        """Returns the version of the configuration at each daemon."""
        return {
            instance_id: self.system.status(instance_id)["configuration_version"]
            for instance_id in self.system.daemons
        }

    def owner(self, service: str, key: str, entry: str) -> dict[str, Any]:
        """Returns who owns a key, as a daemon sees it."""
        return self.system.explain(entry, service, key)

    # Changes

    def fault(self, service: str, server_id: str = "", **document: Any) -> None:
        """Puts a fault in force at one server, or at all servers of a service."""
        query = f"?server={server_id}" if server_id else ""
        self.system.backend_admin(service, "POST", f"/admin/faults{query}", document)

    def quiet(self) -> None:
        """Ends every fault, and starts or resumes every daemon."""
        self.system.platform("POST", "/admin/faults", {"mode": "ok", "lose_replies": 0})
        for service in self.system.backends:
            for document in QUIET_FAULTS:
                self.system.backend_admin(service, "POST", "/admin/faults", document)
        for instance_id, process in self.system.processes.items():
            if process.running:
                process.resume()
            else:
                self.system.restart_daemon(instance_id)

    def settle(self, seconds: float) -> None:
        """Waits until POST requests of every service are answered.

        A gateway that took over without a handover answers ``unknown`` for the ids of the first
        seconds, which would be taken for an effect of the next fault.
        """
        for service in self.system.example.services:
            self.until(
                f"POST requests of {service.name} are answered",
                functools.partial(self._posts_are_answered, service),
                seconds,
            )

    def _posts_are_answered(self, service: ExampleService) -> bool:
        keyed = service.kind is ServiceKind.KEYED
        entries = list(self.system.daemons)
        for number in range(SETTLING_POSTS):
            path = f"{service.name}/key-{number}" if keyed else service.name
            entry = entries[number % len(entries)]
            told = self.send(entry, "POST", path, b"{}", self.new_request_id())
            if told.outcome != "answered":
                return False
        return True

    def change(self, section: str, name: str, **fields: Any) -> int:
        """Applies a note that changes one entry; returns the version that it makes."""
        version = max(self.versions().values())
        self.system.apply(
            {
                "note_id": f"scenario-{version + 1}",
                "author": "scenario",
                "for_version": version,
                "summary": f"change {name}",
                "added": {},
                "changed": {section: {name: fields}},
                "withdrawn": {},
            }
        )
        return version + 1

    # Requests

    def addresses(self, entries: list[str]) -> tuple[tuple[str, int], ...]:
        """Returns where callers reach daemons."""
        return tuple((HOST, self.system.daemons[entry].caller_port) for entry in entries)

    @contextmanager
    def load(
        self,
        service: str,
        rate: float,
        keys: int = 0,
        entries: list[str] | None = None,
        methods: tuple[tuple[str, float], ...] = (("GET", 1.0),),
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Iterator[LoadReport]:
        """Sends an open loop of requests beside the body of the statement.

        The report is complete once the statement has ended.
        """
        settings = LoadSettings(
            self.addresses(entries or list(self.system.daemons)),
            service,
            rate,
            MAX_LOAD_SECONDS,
            seed=self.random.getrandbits(16),
            keys=keys,
            methods=methods,
            timeout_ms=timeout_ms,
        )
        generator = LoadGenerator(settings)
        sender = threading.Thread(target=generator.run, name=f"load-{service}")
        sender.start()
        try:
            yield generator.report
        finally:
            generator.finish()
            sender.join()

    def send(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes = b"",
        request_id: str = "",
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> Told:
        """Sends one request on a connection of its own."""
        headers = {"Fireflylink-Timeout-Ms": str(timeout_ms), "Content-Length": str(len(body))}
        if request_id:
            headers["Fireflylink-Request-Id"] = request_id
        place = self.system.daemons[entry]
        connection = http.client.HTTPConnection(HOST, place.caller_port, timeout=REPLY_TIMEOUT)
        try:
            connection.request(method, f"/v1/{path}", body, headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            return Told(NO_REPLY, type(error).__name__, 0, "", b"", self.now_ms())
        finally:
            connection.close()
        outcome = response.headers.get("Fireflylink-Outcome", "no-outcome")
        reason = "" if outcome == "answered" else str(json.loads(content).get("reason", ""))
        server_id = response.headers.get("Fireflylink-Server-Id", "")
        return Told(outcome, reason, response.status, server_id, content, self.now_ms())

    def new_request_id(self) -> str:
        """Returns an id for a request that is sent now."""
        return make_request_id(self.clock.wall_ms(), self.random)

    def post_repeatedly(
        self, service: str, entries: list[str], count: int, attempts: int, pace: float
    ) -> concurrent.futures.Future[dict[str, list[Told]]]:
        """Sends POST requests of a pooled service at a pace in seconds, each again with the same id
        through the next entry daemon until it is answered or there were enough attempts.

        The result maps each request id to what its caller was told, in order.
        """
        executor = concurrent.futures.ThreadPoolExecutor(1)
        future = executor.submit(self._post_all, service, entries, count, attempts, pace)
        executor.shutdown(wait=False)
        return future

    def _post_all(
        self, service: str, entries: list[str], count: int, attempts: int, pace: float
    ) -> dict[str, list[Told]]:
        with concurrent.futures.ThreadPoolExecutor(SENDERS) as executor:
            sent = {}
            for number in range(count):
                request_id = self.new_request_id()
                turns = entries[number % len(entries) :] + entries[: number % len(entries)]
                order = itertools.islice(itertools.cycle(turns), attempts)
                sent[request_id] = executor.submit(
                    self._post_until_answered, service, list(order), request_id
                )
                time.sleep(pace)
            return {request_id: future.result() for request_id, future in sent.items()}

    def _post_until_answered(self, service: str, order: list[str], request_id: str) -> list[Told]:
        told: list[Told] = []
        for entry in order:
            told.append(self.send(entry, "POST", service, b"{}", request_id))
            if told[-1].outcome == "answered":
                break
            time.sleep(REPEAT_PERIOD)
        return told


def wrongly_not_run(
    told: dict[str, list[Told]], entries: list[JournalEntry]
) -> list[tuple[str, str]]:
    """Returns ids whose caller was told that they were not run after a server had begun them."""
    first_start: dict[str, float] = {}
    for entry in entries:
        known = first_start.get(entry.request_id, entry.start_ms)
        first_start[entry.request_id] = min(known, entry.start_ms)
    return [
        (request_id, attempt.reason)
        for request_id, attempts in told.items()
        for attempt in attempts
        if attempt.outcome == "not-run"
        and first_start.get(request_id, attempt.told_ms) < attempt.told_ms
    ]
