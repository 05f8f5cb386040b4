"""Runs the commands of the operators' pages, in order, against a whole local system."""

import json
import os
import pathlib
import re
import subprocess
import sys
import textwrap
import threading
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from fireflylink_core import BaseValue
from fireflylink_standins import ASSOCIATION, LocalSystem

COMMAND_TIMEOUT = 30
RETRY_SECONDS = 20.0
RETRY_PERIOD = 0.3
REQUEST_TIMEOUT = 5.0
HOT_SECONDS = 15.0
HOT_THREADS = 4

PAGE_ORDER = (
    "installation.md",
    "data-centre-out.md",
    "backend-servers.md",
    "replace-instance.md",
    "conflict.md",
    "roll-back.md",
    "straggler.md",
    "hot-key.md",
    "poison-request.md",
    "metrics.md",
    "platform-outage.md",
    "data-centre-lost.md",
    "refused-files.md",
)

PAGES = pathlib.Path(__file__).parents[3] / "docs" / "operators"

_BLOCK = re.compile(
    r"^(?P<indent> *)```(?P<kind>json|console)(?P<options>[^\n]*)\n(?P<body>.*?)^(?P=indent)```$"
    r"|^ *<!-- test: (?P<action>[^\n]*) -->$",
    re.MULTILINE | re.DOTALL,
)
_COMMAND = "$ "
_GAP = "..."


class PageBlock(BaseValue):
    """A fenced block of a page, or a hidden action (``kind`` is ``action``).

    ``options`` are the words after the kind: ``file=NAME`` of a file that the reader writes,
    ``exit=N`` and ``retry`` (repeat until the output is as printed) of a command.
    """

    __slots__ = ("body", "kind", "options")

    def __init__(self, kind: str, body: str, options: dict[str, str]) -> None:
        self.kind = kind
        self.body = body
        self.options = options

    @property
    def commands(self) -> list[tuple[str, list[str]]]:
        """The commands of a console block, each with the lines that it prints."""
        found: list[tuple[str, list[str]]] = []
        for line in self.body.splitlines():
            if line.startswith(_COMMAND):
                found.append((line.removeprefix(_COMMAND), []))
            else:
                found[-1][1].append(line)
        return found


def page_blocks(name: str) -> list[PageBlock]:
    """Returns the blocks and actions of a page in their order."""
    blocks = []
    for match in _BLOCK.finditer((PAGES / name).read_text()):
        if match["action"] is not None:
            blocks.append(PageBlock("action", match["action"], {}))
            continue
        words = (word.partition("=") for word in match["options"].split())
        blocks.append(
            PageBlock(
                match["kind"],
                textwrap.dedent(match["body"]),
                {key: value for key, _, value in words},
            )
        )
    return blocks


def first_difference(printed: list[str], output: str) -> str | None:
    """Returns the first printed line that the output lacks, None when it has all in their order.

    Numbers and the width of columns may differ; ``...`` stands for any text or any lines.
    """
    lines = [_normalized(line) for line in output.splitlines()]
    place = 0
    exact = True
    for line in printed:
        if line.strip() == _GAP:
            exact = False
            continue
        pattern = _pattern(line)
        window = lines[place : place + 1] if exact else lines[place:]
        offset = next((at for at, text in enumerate(window) if pattern.fullmatch(text)), None)
        if offset is None:
            return line
        place += offset + 1
        exact = True
    return None if place == len(lines) or not exact else f"(nothing after) {printed[-1:]}"


def _normalized(line: str) -> str:
    return re.sub(r"\d+", "#", " ".join(line.split()))


def _pattern(line: str) -> re.Pattern[str]:
    return re.compile(re.escape(_normalized(line)).replace(re.escape(_GAP), ".*"))


class PageRunner:
    """Does what a reader of the pages does: writes files, runs commands, and causes faults."""

    def __init__(self, system: LocalSystem) -> None:
        self.system = system
        self.folder = system.folder
        self.spare = system.group.start(
            "fireflylink_standins.backend", "--service=holds", "--server_id=holds-9", "--count=1"
        )
        kingston = system.daemons["kingston-1"]
        self.ports = {
            "20000": system.platform_port,
            "8080": kingston.caller_port,
            "9090": kingston.operator_port,
            "21031": int(self.spare.fields["ports"].split(",")[0]),
            "21032": system.server_ports["holds"][0],
        }
        self._write_settings()

    def _write_settings(self) -> None:
        document = json.loads(self.system.files.operator_settings.read_text())
        document["daemons"] = [
            {
                "data_centre": place.data_centre,
                "host": "127.0.0.1",
                "operator_port": place.operator_port,
            }
            for place in self.system.daemons.values()
        ]
        (self.folder / "fireflylink.json").write_text(json.dumps(document))

    def run(self, block: PageBlock) -> None:
        """Does what one block asks for."""
        getattr(self, f"_run_{block.kind}")(block)

    def _run_json(self, block: PageBlock) -> None:
        if "file" in block.options:
            document = json.loads(self._with_ports(block.body))
            if "for_version" in document:
                document["for_version"] = self._version()
            (self.folder / block.options["file"]).write_text(json.dumps(document))

    def _version(self) -> int:
        """Returns the version in force; daemons answer during an outage of the platform, too."""
        return int(self.system.status("kingston-2")["configuration_version"])

    def _run_console(self, block: PageBlock) -> None:
        for command, printed in block.commands:
            deadline = time.monotonic() + (RETRY_SECONDS if "retry" in block.options else 0.0)
            while True:
                ended = self._shell(self._with_ports(command))
                output = ended.stdout + ended.stderr
                difference = first_difference(printed, output)
                status = int(block.options.get("exit", 0))
                if ended.returncode == status and difference is None:
                    break
                if time.monotonic() > deadline:
                    seen = (
                        f"$ {command}\n{output}[exit {ended.returncode}]\nnot found: {difference}"
                    )
                    assert_that(ended.returncode, Equals(status), seen)
                    assert_that(difference, Equals(None), seen)
                time.sleep(RETRY_PERIOD)

    def _shell(self, command: str) -> subprocess.CompletedProcess[str]:
        path = f"{pathlib.Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
        return subprocess.run(
            ["bash", "-c", command],
            cwd=self.folder,
            env={**os.environ, "PATH": path},
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT,
        )

    def _with_ports(self, text: str) -> str:
        for shown, port in self.ports.items():
            text = text.replace(f'"port": {shown}', f'"port": {port}')
            text = text.replace(f":{shown}/", f":{port}/")
        return text

    def _run_action(self, block: PageBlock) -> None:
        name, *arguments = block.body.split(" ", 2)
        getattr(self, f"_action_{name}")(*arguments)

    def _action_platform(self, mode: str) -> None:
        self.system.platform("POST", "/admin/faults", {"mode": mode})

    def _action_fault(self, service: str, rest: str) -> None:
        server, _, fault = rest.partition(" ")
        path = "/admin/faults" if server == "*" else f"/admin/faults?server={server}"
        self.system.backend_admin(service, "POST", path, json.loads(fault))
        if server == "*":
            self._post_fault_of_spare(fault)

    def _post_fault_of_spare(self, fault: str) -> None:
        url = f"http://127.0.0.1:{self.spare.fields['admin_port']}/admin/faults"
        headers = {"Content-Type": "application/json"}
        request = urllib.request.Request(url, data=fault.encode(), method="POST", headers=headers)
        with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT) as response:
            response.read()

    def _action_leave(self, instance_id: str) -> None:
        self.system.leave(instance_id)
        assert_that(self.system.processes[instance_id].wait(COMMAND_TIMEOUT), Equals(0))

    def _action_kill(self, instance_id: str) -> None:
        self.system.processes[instance_id].kill()

    def _action_start(self, instance_id: str) -> None:
        self.system.restart_daemon(instance_id)

    def _action_requests(self, path: str, count: str) -> None:
        for _ in range(int(count)):
            self._get(path)

    def _action_hot(self, path: str) -> None:
        """Sends load in the background while the reader goes on."""
        deadline = time.monotonic() + HOT_SECONDS
        threads = [
            threading.Thread(target=self._send_until, args=(path, deadline), daemon=True)
            for _ in range(HOT_THREADS)
        ]
        for thread in threads:
            thread.start()

    def _send_until(self, path: str, deadline: float) -> None:
        while time.monotonic() < deadline:
            self._get(path)

    def _get(self, path: str) -> None:
        url = self.system.caller_url("kingston-1", path)
        try:
            with urllib.request.urlopen(url, timeout=REQUEST_TIMEOUT) as response:
                response.read()
        except urllib.error.HTTPError as error:
            error.close()


@pytest.fixture(scope="module")
def reader(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PageRunner]:
    system = LocalSystem(tmp_path_factory.mktemp("pages"), ASSOCIATION, daemons_per_centre=2)
    try:
        system.start()
        yield PageRunner(system)
    finally:
        system.stop()


@pytest.mark.parametrize("page", PAGE_ORDER)
def test_commands_of_a_page_do_what_it_says(reader: PageRunner, page: str) -> None:
    """A page that differs from the product misleads an operator when it matters most."""
    for block in page_blocks(page):
        reader.run(block)


def test_pages_that_are_run_exist() -> None:
    """A page that is renamed or added must not drop out of the run."""
    commands: dict[str, Any] = {
        path.name: [block for block in page_blocks(path.name) if block.kind == "console"]
        for path in (pathlib.Path(__file__).parents[3] / "docs" / "operators").glob("*.md")
    }
    with_commands = {name for name, found in commands.items() if found}
    assert_that(with_commands - set(PAGE_ORDER), Equals(set()))
    assert_that(set(PAGE_ORDER) - set(commands), Equals(set()))
