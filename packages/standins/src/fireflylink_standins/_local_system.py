"""A whole system of stand-ins and daemons on one machine, for the demo and for failure tests."""

import json
import pathlib
import signal
import time
import urllib.request
from typing import Any

from fireflylink_core import BaseFireflylinkError, BaseValue
from fireflylink_standins._examples import ExampleService, ExampleSystem, first_note
from fireflylink_standins._local_files import HOST, DaemonPlace, LocalFiles
from fireflylink_standins._process_group import ProcessGroup, WorkspaceProcess

CALL_TIMEOUT = 5.0
IN_FORCE_SECONDS = 20
SERVING_TIMEOUT = 20.0
POLL_PERIOD = 0.05


class LocalSystemError(BaseFireflylinkError):
    """The local system did not reach the state that was waited for."""


class OperatorRun(BaseValue):
    """How a run of the operators' command line ended."""

    __slots__ = ("errors", "output", "status")

    def __init__(self, status: int, output: str, errors: str) -> None:
        self.status = status
        self.output = output
        self.errors = errors


class LocalSystem:
    """Starts the platform and backend stand-ins and daemons, and applies the first release note.

    Example::

        system = LocalSystem(pathlib.Path(folder), ASSOCIATION, daemons_per_centre=2)
        system.start()
        system.stop()
    """

    __slots__ = (
        "backend_flags",
        "backends",
        "checks_grants",
        "daemons",
        "daemons_per_centre",
        "example",
        "files",
        "folder",
        "group",
        "platform_port",
        "processes",
        "server_ports",
    )

    def __init__(
        self,
        folder: pathlib.Path,
        example: ExampleSystem,
        daemons_per_centre: int = 1,
        checks_grants: bool = True,
        backend_flags: tuple[str, ...] = (),
    ) -> None:
        self.folder = folder
        self.example = example
        self.daemons_per_centre = daemons_per_centre
        self.checks_grants = checks_grants
        self.backend_flags = backend_flags
        self.files = LocalFiles(folder)
        self.group = ProcessGroup()
        self.processes: dict[str, WorkspaceProcess] = {}
        self.backends: dict[str, WorkspaceProcess] = {}
        self.daemons: dict[str, DaemonPlace] = {}
        self.server_ports: dict[str, list[int]] = {}
        self.platform_port = 0

    # Start and end

    def start(self) -> None:
        """Starts everything and returns once every service is served."""
        self._start_platform()
        self._start_backends()
        self._start_daemons()
        self.apply(first_note(self.example, self.server_ports, self.checks_grants))
        for service in self.example.services:
            self.wait_until_served(service.name)

    def _start_platform(self) -> None:
        platform = self.group.start("fireflylink_standins.platform", "--instance_lag_ms=200")
        self.platform_port = platform.port
        self.files.write_operator_settings(self.platform_port)

    def _start_backends(self) -> None:
        for service in self.example.services:
            self.backends[service.name] = self._launch_backend(service)
        for name, process in self.backends.items():
            self.group.await_listening(process)
            self.server_ports[name] = [int(port) for port in process.fields["ports"].split(",")]

    def _launch_backend(self, service: ExampleService) -> WorkspaceProcess:
        checks = "--checks_grants" if self.checks_grants else "--nochecks_grants"
        return self.group.launch(
            "fireflylink_standins.backend",
            f"--service={service.name}",
            f"--server_id={service.name}",
            f"--count={service.servers}",
            f"--slots={self.example.slots}",
            f"--connections={self.example.connections}",
            checks,
            *self.backend_flags,
        )

    def _start_daemons(self) -> None:
        for data_centre in self.example.data_centres:
            for number in range(1, self.daemons_per_centre + 1):
                instance_id = f"{data_centre}-{number}"
                self.daemons[instance_id] = self.files.write_daemon_settings(
                    instance_id, data_centre, self.platform_port
                )
        self.files.write_peers(self.daemons.values())
        listing = [place.listing() for place in self.daemons.values()]
        self.platform("PUT", "/admin/instances?lag_ms=0", listing)
        for instance_id in self.daemons:
            self._launch_daemon(instance_id)
        for process in self.processes.values():
            self.group.await_listening(process)

    def _launch_daemon(self, instance_id: str) -> None:
        path = self.daemons[instance_id].settings_path
        module = "fireflylink_standins.run_daemon"
        self.processes[instance_id] = self.group.launch(module, f"--settings={path}")

    def restart_daemon(self, instance_id: str) -> None:
        """Starts a daemon that has ended again, with its former settings."""
        self._launch_daemon(instance_id)
        self.group.await_listening(self.processes[instance_id])

    def stop(self) -> None:
        """Ends every process at once."""
        for process in self.processes.values():
            process.resume() if process.running else None
            process.kill()
        self.group.close()

    def leave(self, instance_id: str) -> None:
        """Tells a daemon to leave gracefully."""
        self.processes[instance_id].send_signal(signal.SIGTERM)

    # Calls

    def platform(self, method: str, path: str, document: Any = None) -> Any:
        """Calls the platform stand-in and returns the decoded reply."""
        return _call(f"http://{HOST}:{self.platform_port}{path}", method, document)

    def backend_admin(self, service: str, method: str, path: str, document: Any = None) -> Any:
        """Calls the admin endpoint of the servers of a service."""
        port = self.backends[service].fields["admin_port"]
        return _call(f"http://{HOST}:{port}{path}", method, document)

    def operator(self, verb: str, *arguments: str) -> OperatorRun:
        """Runs the operators' command line and returns how it ended."""
        settings = f"--settings={self.files.operator_settings}"
        process = self.group.launch("fireflylink_operator_client", verb, settings, *arguments)
        status = process.wait(IN_FORCE_SECONDS * 2)
        if status is None:
            process.kill()
            raise LocalSystemError(f"{verb} did not end")
        return OperatorRun(status, process.output_text(), process.error_text())

    def apply(self, note: dict[str, Any]) -> None:
        """Applies a release note and waits until it is in force."""
        path = self.folder / f"{note['note_id']}.json"
        path.write_text(json.dumps(note, indent=2))
        ended = self.operator("apply", str(path), f"--wait_seconds={IN_FORCE_SECONDS}")
        if ended.status:
            detail = f"{ended.output}{ended.errors}"
            raise LocalSystemError(f"apply ended with {ended.status}: {detail}")

    def caller_url(self, instance_id: str, path: str) -> str:
        """Returns the address of a path at an entry daemon."""
        return f"http://{HOST}:{self.daemons[instance_id].caller_port}{path}"

    def status(self, instance_id: str) -> dict[str, Any]:
        """Returns the operator status of a daemon."""
        return self._operator_get(instance_id, "/operator/status")

    def explain(self, instance_id: str, service: str, key: str) -> dict[str, Any]:
        """Returns who owns a key, as a daemon sees it."""
        return self._operator_get(instance_id, f"/operator/explain?service={service}&key={key}")

    def _operator_get(self, instance_id: str, path: str) -> dict[str, Any]:
        url = f"http://{HOST}:{self.daemons[instance_id].operator_port}{path}"
        found: dict[str, Any] = _call(url, "GET", None, f"Bearer {self.files.token}")
        return found

    def wait_until_served(self, service: str) -> None:
        """Waits until every daemon answers a request of a service."""
        kind = next(found.kind for found in self.example.services if found.name == service)
        path = f"/v1/{service}/probe" if kind.value == "keyed" else f"/v1/{service}"
        deadline = time.monotonic() + SERVING_TIMEOUT
        for instance_id in self.daemons:
            while not self._answers(instance_id, path):
                if time.monotonic() > deadline:
                    raise LocalSystemError(f"{service} is not served by {instance_id}")
                time.sleep(POLL_PERIOD)

    def _answers(self, instance_id: str, path: str) -> bool:
        try:
            with urllib.request.urlopen(
                self.caller_url(instance_id, path), timeout=CALL_TIMEOUT
            ) as response:
                return bool(response.headers["Fireflylink-Outcome"] == "answered")
        except OSError:
            return False


def _call(url: str, method: str, document: Any, authorization: str = "") -> Any:
    headers = {"Content-Type": "application/json"}
    if authorization:
        headers["Authorization"] = authorization
    data = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(url, data=data, method=method, headers=headers)
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT) as response:
        return json.loads(response.read() or b"null")
