"""Starts daemons as the deploy file says, each with a loopback address of its own.

The ports are the same on all instances of a deployment, and the port of the metrics is fixed by the
template of the settings, so each daemon has an address of its own below 127.0.0.0/8.
"""

import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIBRARIES = ROOT / "target" / "deps"
STANDINS = ROOT / "target" / "review"
PLACEHOLDER = re.compile(r"\{\{([a-z0-9.-]+)\|json\}\}")
DATA_CENTRES = ("kingston", "spanish-town", "mandeville")

# The bounds of the small deployment of the Association (SYSTEM.md).
BOUNDS = {
    "drain-ms": 2000,
    "grace-s": 6,
    "hold-max-ms": 10000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-extra": 58,
    "warmup-overage": 1.5,
    "warmup-slack": 5,
}
MEMORY_MB = 300


class CannotRunError(Exception):
    """The case could not run, whatever the rule says."""


def free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def free_hosts(count: int) -> list[str]:
    """Returns loopback addresses on which the fixed port of the metrics is free."""
    hosts = []
    for number in range(1, 250):
        host = f"127.77.{os.getpid() % 250}.{number}"
        try:
            with socket.socket() as sock:
                sock.bind((host, 9464))
        except OSError:
            continue
        hosts.append(host)
        if len(hosts) == count:
            return hosts
    raise CannotRunError("no free loopback addresses")


def _deploy_role() -> dict[str, str]:
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    return next(role for role in roles.values() if "front" in role["serves"])


def _render(template: str, fields: dict[str, object]) -> str:
    def value(match: re.Match[str]) -> str:
        found: object = fields
        for name in match.group(1).split("."):
            found = found[name]  # type: ignore[index]
        return json.dumps(found)

    return PLACEHOLDER.sub(value, template)


class Daemon:
    """One daemon on an instance of its own."""

    def __init__(self, folder: pathlib.Path, number: int, host: str, store: str) -> None:
        role = _deploy_role()
        self.name = f"front-{DATA_CENTRES[number % 3]}-{number + 1}"
        self.host = host
        self.data_centre = DATA_CENTRES[number % 3]
        self.front_port = free_port(host)
        self.ready_port = free_port(host)
        self.settings_path = folder / f"{self.name}.json"
        self.log_path = folder / f"{self.name}.log"
        self.command = role["run"].split()
        peer_port = 7540
        fields = {
            "node": self.name,
            "zone": self.data_centre,
            "ip": host,
            "listen": {
                "front": f"{host}:{self.front_port}",
                "ready": f"{host}:{self.ready_port}",
            },
            "port-range": [peer_port, peer_port + 15],
            "platform": {"address": store, "ttl-min-ms": 1000},
            "bounds": BOUNDS,
        }
        template = (ROOT / role["template"]).read_text()
        self.settings_path.write_text(_render(template, fields))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(LIBRARIES)
        environment["FIREFLYLINK_CONFIG"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def is_ready(self) -> bool:
        try:
            url = f"http://{self.host}:{self.ready_port}/api/readyz"
            with urllib.request.urlopen(url, timeout=1.0) as answer:
                return answer.status == 200
        except (urllib.error.URLError, OSError):
            return False

    def resident_mb(self) -> float:
        """Returns the resident memory of the process, 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024.0
        return 0.0

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Helper:
    """A stand-in process; it takes commands on its standard input and answers with JSON lines."""

    def __init__(self, path: pathlib.Path, *arguments: str) -> None:
        environment = {**os.environ, "PYTHONPATH": f"{LIBRARIES}:{STANDINS}"}
        self.process = subprocess.Popen(
            [sys.executable, str(path), *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=environment,
            text=True,
        )

    def read(self) -> dict:
        line = self.process.stdout.readline()
        if not line:
            raise CannotRunError("a stand-in has ended")
        return json.loads(line)

    def send(self, command: str) -> None:
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()

    def ask(self, command: str) -> dict:
        self.send(command)
        return self.read()

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def check_built() -> None:
    for folder in (LIBRARIES / "fireflylink_daemon", STANDINS / "fireflylink_standins"):
        if not folder.is_dir():
            raise CannotRunError(f"{folder.name} is not built: see review/build.sh")


def await_ready(daemons: list[Daemon], seconds: float) -> None:
    ends_at = time.monotonic() + seconds
    waiting = list(daemons)
    while waiting:
        if time.monotonic() > ends_at:
            raise CannotRunError(f"not ready: {[daemon.name for daemon in waiting]}")
        waiting = [daemon for daemon in waiting if not daemon.is_ready()]
        time.sleep(0.1)
