"""Strict JSON: no duplicate names, no constants outside the standard, one-line errors."""

import json
from typing import Any

from fireflylink_documents._errors import DocumentError

WHOLE_DOCUMENT = "document"
MAX_QUOTED_LENGTH = 60


def dump_json(value: Any) -> bytes:
    """Returns the compact JSON text of a value; equal values give equal bytes."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True).encode()


def load_json(payload: bytes) -> Any:
    """Returns the value of a JSON text.

    Raises ``DocumentError`` for text that is not JSON and for an object with a repeated name: of
    two entries with one name, a lenient parser silently drops the first.
    """
    try:
        return json.loads(
            payload, object_pairs_hook=_object_of_pairs, parse_constant=_refuse_constant
        )
    except RecursionError as error:
        raise DocumentError(WHOLE_DOCUMENT, "is nested too deeply") from error
    except json.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        raise DocumentError(WHOLE_DOCUMENT, f"must be JSON: {error.msg} at {place}") from error
    except ValueError as error:
        raise DocumentError(WHOLE_DOCUMENT, "must be JSON in UTF-8") from error


def _object_of_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) == len(pairs):
        return found
    seen: set[str] = set()
    for name, _ in pairs:
        if name in seen:
            raise DocumentError(quoted(name), "must not appear twice in one object")
        seen.add(name)
    return found


def _refuse_constant(constant: str) -> Any:
    raise DocumentError(WHOLE_DOCUMENT, f"must not contain {constant}")


def quoted(value: object) -> str:
    """Returns a value as one short line of JSON, for error messages."""
    text = json.dumps(value, default=repr)
    if len(text) <= MAX_QUOTED_LENGTH:
        return text
    return f"{text[:MAX_QUOTED_LENGTH]}..."
