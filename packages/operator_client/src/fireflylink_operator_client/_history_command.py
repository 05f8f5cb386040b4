"""The command that prints the history of a key from the logs of all daemons."""

from collections.abc import Iterable, Iterator

from fireflylink_core import FIRST_KEY, LAST_KEY
from fireflylink_operator_client._errors import OperatorError, OverlapError
from fireflylink_operator_client._key_history import HISTORY_EVENTS, KEY_EVENTS, key_history
from fireflylink_operator_client._log_lines import parse_logs
from fireflylink_operator_client._overlaps import Overlap, OverlapFinder


def history_lines(service: str, key: int, logs: Iterable[tuple[str, str]]) -> Iterator[str]:
    """Yields the history of a key by time, with each sign of two owners after its line.

    ``logs`` are the names of the daemons' log files and their contents. Raises ``OperatorError`` if
    no line is about the key, and ``OverlapError`` after the last line if there were such signs.
    """
    if not FIRST_KEY <= key <= LAST_KEY:
        raise OperatorError(f"the key must be from {FIRST_KEY} to {LAST_KEY}")
    history = key_history(parse_logs(logs, HISTORY_EVENTS), service, key)
    if not any(line.event in KEY_EVENTS for line in history):
        raise OperatorError(f"no line is about key {key} of service {service!r}")
    finder = OverlapFinder()
    count = 0
    for line in history:
        yield f"{line.log}: {line.text}"
        for overlap in finder.read(line):
            count += 1
            yield _overlap_line(overlap)
    if count:
        raise OverlapError(f"key {key} of service {service!r} shows {count} signs of two owners")
    yield f"key {key} of service {service!r}: no sign of two owners"


def _overlap_line(overlap: Overlap) -> str:
    earlier = overlap.earlier
    return f"  OVERLAP, {overlap.kind.value}: contradicts {earlier.log}: {earlier.text}"
