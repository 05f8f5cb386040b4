"""What the servers of a soak write down: one JSON object a line, read by the checks."""

import json
import pathlib
from collections.abc import Iterator
from typing import Any

from fireflylink_core import BaseClock, KeyRange
from fireflylink_standins import GrantState, Run

RAN = "ran"
FINISHED = "finished"
REJECTED = "rejected"
GRANTED = "granted"
RELEASED = "released"
STARTED = "started"
DRAINING = "draining"
ENDED = "ended"
RESUMED = "resumed"


class ServerEvent:
    """One line of a server's record.

    ``at`` is in seconds on the boot clock, which all processes of a machine share. ``request`` is
    set for ``RAN``, ``FINISHED`` and ``REJECTED``, ``key`` for ``RAN`` and ``FINISHED``, which have
    the same ``run``; ``keys`` and ``fence`` for ``GRANTED`` and ``RELEASED``. ``arrived_at`` is
    when the call of a grant arrived, before ``at`` if it is carried out late. ``until`` is when the
    hold of a grant ends, or for ``STARTED`` when the server is no longer cold. ``RELEASED`` is when
    new work on the keys stops. ``DRAINING`` is written when the store has accepted the
    registration, and ``ENDED`` by the one who kills the server. ``RESUMED`` is written by the one
    who continues a process after a pause; ``server`` then is the name of a daemon or a server.
    """

    __slots__ = (
        "arrived_at",
        "at",
        "fence",
        "key",
        "keys",
        "request",
        "run",
        "server",
        "until",
        "what",
    )

    def __init__(self, server: str, fields: dict[str, Any]) -> None:
        self.server = server
        self.what = str(fields["what"])
        self.at = float(fields["at"])
        self.request = str(fields.get("request", ""))
        self.key = int(fields.get("key", -1))
        self.keys = KeyRange(*fields["keys"]) if "keys" in fields else None
        self.fence = int(fields.get("fence", 0))
        self.until = float(fields.get("until", 0.0))
        self.arrived_at = float(fields.get("arrived_at", self.at))
        self.run = int(fields.get("run", 0))

    @property
    def server_id(self) -> str:
        """The id of the server; the names of its later processes have a number after a point."""
        return self.server.partition(".")[0]


class RecordingGrantState(GrantState):
    """The keys and requests of a server, written to a file as they change."""

    __slots__ = ("file",)

    def __init__(self, clock: BaseClock, path: pathlib.Path) -> None:
        super().__init__(clock)
        self.file = path.open("a", buffering=1)

    def begin_run(self, request_id: str, key: int) -> Run:
        run = super().begin_run(request_id, key)
        self._write(what=RAN, request=request_id, key=key, run=run.number)
        return run

    def end_run(self, run: Run) -> None:
        # Written before a release that waits for this run can be answered.
        self._write(what=FINISHED, request=run.request_id, key=run.key, run=run.number)
        super().end_run(run)

    def record_rejected(self, request_id: str) -> None:
        self._write(what=REJECTED, request=request_id)

    def record_started(self, cold_until: float) -> None:
        """Records that the server serves, and until when it is cold."""
        self._write(what=STARTED, until=cold_until)

    def record_draining(self) -> None:
        """Records that the store has accepted the registration of the server as draining."""
        self._write(what=DRAINING)

    def grant(self, keys: KeyRange, fence: int, arrived_at: float, hold_seconds: float) -> bool:
        accepted = super().grant(keys, fence, arrived_at, hold_seconds)
        if accepted:
            self._write(
                what=GRANTED,
                keys=(keys.first, keys.last),
                fence=fence,
                arrived_at=arrived_at,
                until=arrived_at + hold_seconds,
            )
        return accepted

    def stop_work(self, keys: KeyRange, fence: int) -> None:
        super().stop_work(keys, fence)
        self._write(what=RELEASED, keys=(keys.first, keys.last), fence=fence)

    def _write(self, **fields: object) -> None:
        self.file.write(_line(self.clock, fields))


def record_signal(clock: BaseClock, path: pathlib.Path, what: str) -> None:
    """Writes to the record of a process that it is killed (``ENDED``) or continued now."""
    with path.open("a") as file:
        # The server may have been stopped within a line.
        file.write("\n" + _line(clock, {"what": what}))


def _line(clock: BaseClock, fields: dict[str, object]) -> str:
    return json.dumps({"at": clock.now(), **fields}) + "\n"


def read_events(folder: pathlib.Path) -> list[ServerEvent]:
    """Returns the events of all servers in the order of their times."""
    events = [
        ServerEvent(path.stem, json.loads(line))
        for path in sorted(folder.glob("*.events"))
        for line in _whole_lines(path)
    ]
    return sorted(events, key=lambda event: event.at)


def _whole_lines(path: pathlib.Path) -> Iterator[str]:
    """Returns the lines of a file; a server that was killed may leave its last one unfinished."""
    for line in path.read_text().splitlines():
        if line.startswith("{") and line.endswith("}"):
            yield line
