"""Processes of this workspace, started and stopped by tests and the demo."""

import signal
import sys
import tempfile
import time
from types import TracebackType
from typing import IO, Self

import gevent
from gevent.subprocess import Popen, TimeoutExpired

from fireflylink_core import BaseFireflylinkError

START_TIMEOUT = 15.0
STOP_TIMEOUT = 10.0
POLL_INTERVAL = 0.01
MAX_PROCESSES = 200
TAIL_BYTES = 4000
LISTENING = "event=listening"


class ProcessError(BaseFireflylinkError):
    """A process did not start or did not behave as expected."""


class WorkspaceProcess:
    """A running process and the fields of its listening line.

    Example::

        backend.fields["admin_port"]
    """

    __slots__ = ("errors", "fields", "module", "output", "popen")

    def __init__(self, module: str, popen: Popen, output: IO[bytes], errors: IO[bytes]) -> None:
        self.module = module
        self.popen = popen
        self.output = output
        self.errors = errors
        self.fields: dict[str, str] = {}

    @property
    def process_id(self) -> int:
        """The operating system's id of the process."""
        return int(self.popen.pid)

    @property
    def port(self) -> int:
        """The first port that the process listens on."""
        return int(self.fields["port"])

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process only."""
        self.popen.send_signal(number)

    def pause(self) -> None:
        """Stops the process until ``resume``."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused process go on."""
        self.send_signal(signal.SIGCONT)

    def wait(self, timeout: float) -> int | None:
        """Waits for the end of the process; returns its exit status, None when it still runs."""
        try:
            return int(self.popen.wait(timeout=timeout))
        except TimeoutExpired:
            return None

    def kill(self) -> None:
        """Ends the process at once."""
        if self.running:
            self.popen.kill()
        self.wait(STOP_TIMEOUT)

    def stop(self, timeout: float = STOP_TIMEOUT) -> int | None:
        """Asks the process to end, and ends it after ``timeout`` seconds.

        Returns the exit status, None when the process had to be killed.
        """
        if self.running:
            self.popen.terminate()
            self.resume()
        status = self.wait(timeout)
        if status is None:
            self.kill()
        return status

    def output_text(self) -> str:
        """Returns what the process wrote to its standard output."""
        return _text_of(self.output)

    def error_text(self) -> str:
        """Returns what the process wrote to its standard error."""
        return _text_of(self.errors)


class ProcessGroup:
    """Starts modules of this workspace as processes and ends all of them at the end.

    Example::

        with ProcessGroup() as group:
            platform = group.start("fireflylink_standins.platform", "--port=0")
    """

    __slots__ = ("processes",)

    def __init__(self) -> None:
        self.processes: list[WorkspaceProcess] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def start(
        self, module: str, *arguments: str, timeout: float = START_TIMEOUT
    ) -> WorkspaceProcess:
        """Starts a module and waits for its listening line; raises ``ProcessError``."""
        process = self.launch(module, *arguments)
        try:
            self.await_listening(process, timeout)
        except BaseException:
            process.kill()
            raise
        return process

    def launch(self, module: str, *arguments: str) -> WorkspaceProcess:
        """Starts a module without waiting for its listening line."""
        running = sum(process.running for process in self.processes)
        if running >= MAX_PROCESSES:
            raise ProcessError(f"{running} processes are running, {MAX_PROCESSES} are allowed")
        output = tempfile.TemporaryFile()  # noqa: SIM115
        errors = tempfile.TemporaryFile()  # noqa: SIM115
        command = [sys.executable, "-m", module, *arguments]
        popen = Popen(command, stdout=output, stderr=errors)
        process = WorkspaceProcess(module, popen, output, errors)
        self.processes.append(process)
        return process

    def await_listening(self, process: WorkspaceProcess, timeout: float = START_TIMEOUT) -> None:
        """Waits for the listening line of a process; raises ``ProcessError``."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            line = _listening_line(process)
            if line is not None:
                process.fields = _fields_of(line)
                return
            if not process.running:
                break
            gevent.sleep(POLL_INTERVAL)
        problem = "ended" if not process.running else f"did not listen within {timeout} s"
        tail = process.error_text()[-TAIL_BYTES:]
        raise ProcessError(f"{process.module} {problem}: {tail}")

    def close(self) -> None:
        """Ends every process that is still running."""
        for process in self.processes:
            if process.running:
                process.popen.terminate()
                process.resume()
        for process in self.processes:
            process.stop()
            process.output.close()
            process.errors.close()
        self.processes.clear()


def _listening_line(process: WorkspaceProcess) -> str | None:
    for line in process.output_text().splitlines(keepends=True):
        if line.startswith(LISTENING) and line.endswith("\n"):
            return line
    return None


def _fields_of(line: str) -> dict[str, str]:
    pairs = (word.partition("=") for word in line.split())
    return {name: value for name, _, value in pairs}


def _text_of(stream: IO[bytes]) -> str:
    stream.seek(0)
    return stream.read().decode("utf-8", "replace")
