"""Structured log: one line of key=value pairs for each event, written without blocking."""

import collections
import logging as standard_logging
import os
import time

import gevent
from absl import logging
from gevent.os import make_nonblocking

CHARACTERS_TO_QUOTE = frozenset(' "=\n\r\t')
STANDARD_OUTPUT = 1
MAX_BUFFERED_LINES = 2000
"""Bounds the memory for lines that the pipe does not accept; further lines are dropped."""

WRITE_RETRY_SECONDS = 0.05


class _LineWriter:
    """Writes lines to standard output without blocking.

    While the pipe is full, lines are buffered; when the buffer is full too, lines are dropped and
    counted.
    """

    __slots__ = ("drain_running", "dropped", "lines", "unwritten")

    def __init__(self) -> None:
        self.lines: collections.deque[bytes] = collections.deque()
        self.unwritten = b""
        self.dropped = 0
        self.drain_running = False

    def write(self, line: str) -> None:
        """Writes a line, or buffers it while the pipe is full."""
        if len(self.lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self.lines.append(line.encode("utf-8", "replace") + b"\n")
        if not self.drain_running and not self.flush():
            self.drain_running = True
            gevent.spawn(self._drain)

    def flush(self) -> bool:
        """Writes buffered lines until the pipe is full; returns whether the buffer is empty."""
        while self.unwritten or self.lines:
            data = self.unwritten or self.lines.popleft()
            try:
                written = os.write(STANDARD_OUTPUT, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nothing reads the output any more: the buffered lines are counted as dropped.
                self.dropped += len(self.lines) + 1
                self.lines.clear()
                self.unwritten = b""
                return True
            self.unwritten = data[written:]
            if self.unwritten:
                return False
        return True

    def _drain(self) -> None:
        while not self.flush():
            gevent.sleep(WRITE_RETRY_SECONDS)
        self.drain_running = False
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            log_problem("log-lines-dropped", count=dropped)


_WRITER = _LineWriter()


class _Handler(standard_logging.Handler):
    def emit(self, record: standard_logging.LogRecord) -> None:
        _WRITER.write(self.format(record))


class _Formatter(standard_logging.Formatter):
    def format(self, record: standard_logging.LogRecord) -> str:
        seconds = int(record.created)
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
        millis = int((record.created - seconds) * 1000)
        return (
            f"time={timestamp}.{millis:03d}Z level={record.levelname.lower()} {record.getMessage()}"
        )


def start_logging() -> None:
    """Configures the log: each event becomes one line on standard output."""
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
    logging.get_absl_logger().info(_format_line(event, fields))


def log_problem(event: str, **fields: object) -> None:
    """Logs, at level warning, an event that may need action by an operator."""
    logging.get_absl_logger().warning(_format_line(event, fields))


def flush_log() -> None:
    """Writes buffered lines until the pipe is full."""
    _WRITER.flush()


def _format_line(event: str, fields: dict[str, object]) -> str:
    pairs = [f"event={event}"]
    pairs.extend(f"{name}={_format_value(value)}" for name, value in fields.items())
    return " ".join(pairs)


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    if text and not any(character in CHARACTERS_TO_QUOTE for character in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
