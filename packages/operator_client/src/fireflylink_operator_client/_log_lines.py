"""Parsing of the lines that daemons log."""

import re
from collections.abc import Iterable

from fireflylink_core import BaseValue, KeyRange, ServerIncarnation

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
ESCAPED = re.compile(r"\\(.)")


class LogLine(BaseValue):
    """One line of a daemon's log.

    ``log`` names the file, ``time`` is the text of its field, which sorts by time, and ``fields``
    are the names and values after the level, without quotes.
    """

    __slots__ = ("event", "fields", "log", "text", "time")

    def __init__(
        self, log: str, text: str, time: str, event: str, fields: tuple[tuple[str, str], ...]
    ) -> None:
        self.log = log
        self.text = text
        self.time = time
        self.event = event
        self.fields = fields

    def field(self, name: str) -> str:
        """Returns the value of a field, empty if the line has none of that name."""
        return next((value for field, value in self.fields if field == name), "")

    @property
    def keys(self) -> KeyRange | None:
        """The field ``keys``, None if it is missing or is no range."""
        first, _, last = self.field("keys").partition("-")
        return KeyRange(int(first), int(last)) if first.isdecimal() and last.isdecimal() else None

    @property
    def fence(self) -> int | None:
        """The field ``fence``, None if it is missing or is no number."""
        text = self.field("fence")
        return int(text) if text.isdecimal() else None

    @property
    def server(self) -> ServerIncarnation | None:
        """The field ``server``, None if it is missing or names no incarnation."""
        server_id, _, started_ms = self.field("server").rpartition("@")
        if not server_id or not started_ms.isdecimal():
            return None
        return ServerIncarnation(server_id, int(started_ms))


def parse_line(log: str, text: str) -> LogLine | None:
    """Returns a parsed line, None if it is not one that a daemon logs for an event.

    Example::

        parse_line("front-0.log", "time=2026-12-05T22:45:01.250Z level=info event=exit status=0")
    """
    if not text.startswith("time="):
        return None
    fields = tuple((name, _value(value)) for name, value in FIELD.findall(text))
    names = [name for name, _ in fields[:3]]
    if names != ["time", "level", "event"]:
        return None
    return LogLine(log, text, fields[0][1], fields[2][1], fields[3:])


def parse_logs(logs: Iterable[tuple[str, str]], events: frozenset[str]) -> list[LogLine]:
    """Returns the lines of some events in several logs, by time.

    ``logs`` are names of files and their contents. Lines with the same time keep the order of
    their log.
    """
    # Most lines of a log are about requests: they are skipped before their fields are parsed.
    wanted = tuple(f" event={event}" for event in sorted(events))
    lines = []
    for log, contents in logs:
        for text in contents.splitlines():
            line = parse_line(log, text) if any(map(text.__contains__, wanted)) else None
            if line is not None and line.event in events:
                lines.append(line)
    return sorted(lines, key=lambda line: line.time)


def _value(text: str) -> str:
    if not text.startswith('"'):
        return text
    return ESCAPED.sub(lambda escape: "\n" if escape[1] == "n" else escape[1], text[1:-1])
