"""What the servers of a soak write down: one JSON object a line, read by the checks."""

import json
import pathlib
from collections.abc import Iterator
from typing import Any

from fireflylink_core import BaseClock, KeyRange
from fireflylink_standins import GrantState

RAN = "ran"
REJECTED = "rejected"
GRANTED = "granted"
RELEASED = "released"
STARTED = "started"
DRAINING = "draining"
ENDED = "ended"


class ServerEvent:
    """One line of a server's record.

    ``at`` is in seconds on the boot clock, which all processes of a machine share. ``request`` is
    set for ``RAN`` and ``REJECTED``, ``key`` for ``RAN``; ``keys`` and ``fence`` for ``GRANTED``
    and ``RELEASED``. ``until`` is when the hold of a grant ends, or for ``STARTED`` when the server
    is no longer cold. ``DRAINING`` is written when the store has accepted the registration, and
    ``ENDED`` by the one who kills the server.
    """

    __slots__ = ("at", "fence", "key", "keys", "request", "server", "until", "what")

    def __init__(self, server: str, fields: dict[str, Any]) -> None:
        self.server = server
        self.what = str(fields["what"])
        self.at = float(fields["at"])
        self.request = str(fields.get("request", ""))
        self.key = int(fields.get("key", -1))
        self.keys = KeyRange(*fields["keys"]) if "keys" in fields else None
        self.fence = int(fields.get("fence", 0))
        self.until = float(fields.get("until", 0.0))


class RecordingGrantState(GrantState):
    """The keys and requests of a server, written to a file as they change."""

    __slots__ = ("file",)

    def __init__(self, clock: BaseClock, path: pathlib.Path) -> None:
        super().__init__(clock)
        self.file = path.open("a", buffering=1)

    def record_executed(self, request_id: str, key: int) -> None:
        super().record_executed(request_id, key)
        self._write(what=RAN, request=request_id, key=key)

    def record_rejected(self, request_id: str) -> None:
        self._write(what=REJECTED, request=request_id)

    def record_started(self, cold_until: float) -> None:
        """Records that the server serves, and until when it is cold."""
        self._write(what=STARTED, until=cold_until)

    def record_draining(self) -> None:
        """Records that the store has accepted the registration of the server as draining."""
        self._write(what=DRAINING)

    def grant(self, keys: KeyRange, fence: int, hold_seconds: float) -> bool:
        accepted = super().grant(keys, fence, hold_seconds)
        if accepted:
            until = self.clock.now() + hold_seconds
            self._write(what=GRANTED, keys=(keys.first, keys.last), fence=fence, until=until)
        return accepted

    def release(self, keys: KeyRange, fence: int) -> str:
        token = super().release(keys, fence)
        self._write(what=RELEASED, keys=(keys.first, keys.last), fence=fence)
        return token

    def _write(self, **fields: object) -> None:
        self.file.write(_line(self.clock, fields))


def record_end(clock: BaseClock, path: pathlib.Path) -> None:
    """Writes to the record of a server that its process is killed now."""
    with path.open("a") as file:
        # The server may have been killed within a line.
        file.write("\n" + _line(clock, {"what": ENDED}))


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
