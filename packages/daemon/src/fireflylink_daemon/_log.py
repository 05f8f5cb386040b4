"""Structured log: one line of key=value pairs for each event, written without blocking."""

import collections
import logging as standard_logging
import os
import time

import gevent
from absl import logging
from gevent.os import make_nonblocking

NEEDS_QUOTES = frozenset(' "=\n\r\t')
STANDARD_OUTPUT = 1
MAX_WAITING_LINES = 2000
RETRY_SECONDS = 0.05


class _LineWriter:
    """Writes lines to standard output; when the reader stops, lines are dropped and counted."""

    __slots__ = ("dropped", "lines", "rest", "writing")

    def __init__(self) -> None:
        self.lines: collections.deque[bytes] = collections.deque()
        self.rest = b""
        self.dropped = 0
        self.writing = False

    def put(self, line: str) -> None:
        """Writes a line now, or later when the pipe is full."""
        if len(self.lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        self.lines.append(line.encode("utf-8", "replace") + b"\n")
        if not self.writing and not self.flush():
            self.writing = True
            gevent.spawn(self._drain)

    def flush(self) -> bool:
        """Writes what the pipe takes; returns whether nothing is left."""
        while self.rest or self.lines:
            data = self.rest or self.lines.popleft()
            try:
                written = os.write(STANDARD_OUTPUT, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads the output any more: the lines are lost, and counted as such.
                self.dropped += len(self.lines) + 1
                self.lines.clear()
                self.rest = b""
                return True
            self.rest = data[written:]
            if self.rest:
                return False
        return True

    def _drain(self) -> None:
        while not self.flush():
            gevent.sleep(RETRY_SECONDS)
        self.writing = False
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            log_problem("log-lines-dropped", count=dropped)


_WRITER = _LineWriter()


class _Handler(standard_logging.Handler):
    def emit(self, record: standard_logging.LogRecord) -> None:
        _WRITER.put(self.format(record))


class _Formatter(standard_logging.Formatter):
    def format(self, record: standard_logging.LogRecord) -> str:
        seconds = int(record.created)
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
        millis = int((record.created - seconds) * 1000)
        return f"time={stamp}.{millis:03d}Z level={record.levelname.lower()} {record.getMessage()}"


def start_logging() -> None:
    """Writes events to standard output, each as one line."""
    make_nonblocking(STANDARD_OUTPUT)
    handler = _Handler()
    handler.setFormatter(_Formatter())
    logger = logging.get_absl_logger()
    logger.handlers = [handler]
    logger.propagate = False
    logging.set_verbosity(logging.INFO)


def log_event(event: str, **fields: object) -> None:
    """Logs an event of normal operation under its stable name.

    Example::

        log_event("configuration-applied", version=7)
    """
    logging.get_absl_logger().info(_line(event, fields))


def log_problem(event: str, **fields: object) -> None:
    """Logs an event that an operator may have to act on."""
    logging.get_absl_logger().warning(_line(event, fields))


def flush_log() -> None:
    """Writes the lines that wait, as far as the reader takes them."""
    _WRITER.flush()


def _line(event: str, fields: dict[str, object]) -> str:
    pairs = [f"event={event}"]
    pairs.extend(f"{name}={_value(value)}" for name, value in fields.items())
    return " ".join(pairs)


def _value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    if text and not any(character in NEEDS_QUOTES for character in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
