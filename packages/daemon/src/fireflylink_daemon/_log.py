"""Structured log: one line of key=value pairs for each event."""

import logging as standard_logging

from absl import logging

TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"
NEEDS_QUOTES = frozenset(' "=\n\r\t')


def log_event(event: str, **fields: object) -> None:
    """Logs an event of normal operation under its stable name.

    Example::

        log_event("table-written", table="kingston.keep", version=7)
    """
    logging.info("%s", _line(event, fields))


def log_problem(event: str, **fields: object) -> None:
    """Logs an event that an operator may have to act on."""
    logging.warning("%s", _line(event, fields))


def start_logging() -> None:
    """Writes events to the standard error, each as one line of key=value pairs."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.setFormatter(
        standard_logging.Formatter("time=%(asctime)s level=%(levelname)s %(message)s", TIME_FORMAT)
    )


def _line(event: str, fields: dict[str, object]) -> str:
    pairs = [f"event={event}"]
    pairs.extend(f"{name}={_value(value)}" for name, value in fields.items())
    return " ".join(pairs)


def _value(value: object) -> str:
    text = str(value)
    if text and not any(character in NEEDS_QUOTES for character in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
