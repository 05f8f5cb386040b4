"""What a command prints."""

import json
from collections.abc import Sequence
from typing import Any

from fireflylink_core import BaseValue
from fireflylink_operator_client._errors import ExitStatus

COLUMN_GAP = "  "


class Outcome(BaseValue):
    """The result of a command: a document for programs and the same as lines for people.

    ``warnings`` are lines that go to standard error.
    """

    __slots__ = ("document", "exit_status", "lines", "warnings")

    def __init__(
        self,
        document: dict[str, Any],
        lines: Sequence[str],
        exit_status: ExitStatus = ExitStatus.DONE,
        warnings: tuple[str, ...] = (),
    ) -> None:
        self.document = document
        self.lines = tuple(lines)
        self.exit_status = exit_status
        self.warnings = warnings


def table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Returns the lines of a table with aligned columns; without rows there is no table."""
    if not rows:
        return []
    texts = [[heading.upper() for heading in headings]]
    texts.extend([str(cell) for cell in row] for row in rows)
    widths = [max(len(row[column]) for row in texts) for column in range(len(headings))]
    return [
        COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in texts
    ]


def percent(part: float) -> str:
    """Returns a part in [0, 1] as a percentage."""
    return f"{part * 100:.1f}%"


def plain(value: Any) -> Any:
    """Returns a value in the types of JSON; fields of values keep their names."""
    if isinstance(value, BaseValue):
        return {name: plain(getattr(value, name)) for name in value.__slots__}
    if isinstance(value, dict):
        return {str(name): plain(entry) for name, entry in value.items()}
    if isinstance(value, list | tuple):
        return [plain(entry) for entry in value]
    return getattr(value, "value", value)


def json_text(document: Any) -> str:
    """Returns a document as one line of JSON."""
    return json.dumps(document, sort_keys=True)
