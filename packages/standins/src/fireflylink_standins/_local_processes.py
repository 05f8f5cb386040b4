"""Processes of a system on one machine, for the demo and for tests."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time

from fireflylink_core import BaseFireflylinkError

START_TIMEOUT = 20.0
STOP_TIMEOUT = 60.0
POLL_PERIOD = 0.02


class ProcessError(BaseFireflylinkError):
    """A process did not start or ended too early; the text holds the end of its log."""


class LocalProcess:
    """A process of this workspace that logs to a file.

    ``fields`` are the key=value pairs of its first line with ``event=listening`` or
    ``event=started``.
    """

    __slots__ = ("fields", "log_path", "name", "process")

    def __init__(self, name: str, arguments: list[str], folder: pathlib.Path) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log, cwd=folder
            )
        self.fields: dict[str, str] = {}

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    def wait_started(self) -> None:
        """Waits for the line that names the ports."""
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            for line in self.log().splitlines():
                if "event=listening" in line or "event=started" in line:
                    self.fields = dict(pair.split("=", 1) for pair in line.split() if "=" in pair)
                    return
            if self.process.poll() is not None:
                break
            time.sleep(POLL_PERIOD)
        raise ProcessError(f"{self.name} did not start:\n{self.log()[-2000:]}")

    def log(self) -> str:
        """Returns what the process has logged."""
        return self.log_path.read_text(errors="replace")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, if the process still runs."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    def wait(self, timeout: float = STOP_TIMEOUT) -> int:
        """Waits for the end and returns the exit status."""
        return self.process.wait(timeout)


class LocalProcesses:
    """Starts processes and ends every one of them by its id."""

    __slots__ = ("folder", "running")

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.running: dict[str, LocalProcess] = {}

    def start(self, name: str, *arguments: str) -> LocalProcess:
        """Starts ``python -m`` with the arguments; ``wait_started`` waits for it."""
        process = LocalProcess(name, list(arguments), self.folder)
        self.running[name] = process
        return process

    def stop_all(self, gracefully: bool = False) -> None:
        """Ends all processes, daemons first and at once unless ``gracefully``."""
        for process in reversed(self.running.values()):
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM if gracefully else signal.SIGKILL)
        for process in self.running.values():
            try:
                process.wait()
            except subprocess.TimeoutExpired:
                process.send(signal.SIGKILL)
                process.wait()
        self.running = {}
