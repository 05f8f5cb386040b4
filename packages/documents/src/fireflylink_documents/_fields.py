"""Checked reading of the fields of JSON documents and settings files."""

import enum
import ipaddress
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from fireflylink_documents._errors import DocumentError
from fireflylink_documents._json import WHOLE_DOCUMENT, load_json, quoted

EnumT = TypeVar("EnumT", bound=enum.Enum)
T = TypeVar("T")

MAX_TEXT_LENGTH = 1024
LARGEST_INTEGER = (1 << 64) - 1

_REQUIRED: Any = object()


def read_fields(
    payload: bytes, parse: Callable[["FieldReader"], T], allow_unknown: bool = False
) -> Result[T, DocumentError]:
    """Decodes a JSON object with a function that reads its fields.

    A field that ``parse`` has not read is an error, at every level. ``allow_unknown`` is for
    replies of processes that may be of a later release.

    Example::

        def parse(fields: FieldReader) -> tuple[str, int]:
            return fields.text("host"), fields.integer("port", 1, 65535)

        read_fields(b'{"host": "127.0.0.1", "port": 80}', parse)
    """
    try:
        reader = FieldReader(load_json(payload))
        value = parse(reader)
        if not allow_unknown:
            reader.finish()
    except DocumentError as error:
        return Failure(error)
    return Success(value)


class FieldReader:
    """Reads the fields of a JSON object and checks each of them.

    Every method raises ``DocumentError`` with the path of the field and what is allowed. A field
    without a ``default`` is required. ``finish`` reports the fields that were not read, here and in
    every object that was read from here.
    """

    __slots__ = ("children", "fields", "path", "seen")

    def __init__(self, value: object, path: str = "") -> None:
        if not isinstance(value, dict):
            raise DocumentError(path or WHOLE_DOCUMENT, f"must be an object, not {quoted(value)}")
        self.fields: Mapping[str, Any] = value
        self.path = path
        self.seen: set[str] = set()
        self.children: list[FieldReader] = []

    def path_of(self, name: str) -> str:
        """Returns the path of a field of this object."""
        shown = name if name.isprintable() and name else quoted(name)
        return f"{self.path}.{shown}" if self.path else shown

    def has(self, name: str) -> bool:
        """Tells whether the object has a field with a value other than null."""
        return self.fields.get(name) is not None

    def know(self, names: Iterable[str]) -> None:
        """Declares fields that are known, whether or not they are read."""
        self.seen.update(names)

    def kind(self, expected: str) -> None:
        """Checks the field ``document``, which tells the kind of a stored document.

        One key signs documents of all kinds, so the kind is a part of the signed payload.
        """
        if self.text("document") != expected:
            raise self.error("document", f"must be {expected}")

    def error(self, name: str, problem: str) -> DocumentError:
        """Returns an error about a field of this object, for checks of the caller's own."""
        return DocumentError(self.path_of(name), problem)

    def raw(self, name: str) -> Any:
        """Returns the value of a required field as it was decoded."""
        self.seen.add(name)
        if not self.has(name):
            raise self.error(name, "is required")
        return self.fields[name]

    def text(self, name: str, default: str = _REQUIRED, max_length: int = MAX_TEXT_LENGTH) -> str:
        """Returns a string of 1 to ``max_length`` characters."""
        if self._takes_default(name, default):
            return default
        return self._checked_text(self.raw(name), self.path_of(name), max_length)

    def optional_text(self, name: str, max_length: int = MAX_TEXT_LENGTH) -> str | None:
        """Returns a string, or ``None`` when the field is missing or null."""
        self.seen.add(name)
        return self.text(name, max_length=max_length) if self.has(name) else None

    def address(self, name: str) -> str:
        """Returns the text of an IP address."""
        text = self.text(name)
        try:
            ipaddress.ip_address(text)
        except ValueError as error:
            raise self._refused(name, "must be an IP address") from error
        return text

    def integer(
        self, name: str, minimum: int, maximum: int = LARGEST_INTEGER, default: int = _REQUIRED
    ) -> int:
        """Returns an integer between two bounds, both allowed."""
        if self._takes_default(name, default):
            return default
        return checked_integer(self.raw(name), self.path_of(name), minimum, maximum)

    def number(
        self, name: str, minimum: float, maximum: float, default: float = _REQUIRED
    ) -> float:
        """Returns a number between two bounds, both allowed."""
        if self._takes_default(name, default):
            return default
        value = self.raw(name)
        if isinstance(value, bool) or not isinstance(value, int | float):
            value = math.nan
        if not minimum <= value <= maximum:
            raise self._refused(name, f"must be a number from {minimum:g} to {maximum:g}")
        return float(value)

    def boolean(self, name: str, default: bool = _REQUIRED) -> bool:
        """Returns a boolean."""
        if self._takes_default(name, default):
            return default
        value = self.raw(name)
        if not isinstance(value, bool):
            raise self._refused(name, "must be true or false")
        return value

    def choice(self, name: str, kind: type[EnumT], default: EnumT = _REQUIRED) -> EnumT:
        """Returns the member of an enumeration whose value the field holds."""
        if self._takes_default(name, default):
            return default
        value = self.raw(name)
        for member in kind:
            if isinstance(value, str) and member.value == value:
                return member
        allowed = ", ".join(str(member.value) for member in kind)
        raise self._refused(name, f"must be one of {allowed}")

    def items(self, name: str, default: tuple[Any, ...] = _REQUIRED) -> tuple[Any, ...]:
        """Returns the elements of a list as they were decoded."""
        if self._takes_default(name, default):
            return default
        value = self.raw(name)
        if not isinstance(value, list):
            raise self._refused(name, "must be a list")
        return tuple(value)

    def texts(self, name: str, default: tuple[str, ...] = _REQUIRED) -> tuple[str, ...]:
        """Returns the strings of a list, which must differ from each other."""
        values = self.items(name, default)
        path = self.path_of(name)
        for index, value in enumerate(values):
            self._checked_text(value, f"{path}[{index}]", MAX_TEXT_LENGTH)
        if len(set(values)) != len(values):
            raise self.error(name, "must not name anything twice")
        return values

    def child(self, name: str, default: Mapping[str, Any] = _REQUIRED) -> "FieldReader":
        """Returns a reader of an object."""
        value = default if self._takes_default(name, default) else self.raw(name)
        return self._reader_of(value, self.path_of(name))

    def children_by_name(
        self, name: str, default: Mapping[str, Any] = _REQUIRED
    ) -> dict[str, "FieldReader"]:
        """Returns readers of the objects that an object holds by name."""
        holder = self.child(name, default)
        return {entry: holder.child(entry) for entry in holder.checked_names()}

    def child_list(self, name: str, default: tuple[Any, ...] = _REQUIRED) -> list["FieldReader"]:
        """Returns readers of the objects of a list."""
        path = self.path_of(name)
        values = self.items(name, default)
        return [self._reader_of(value, f"{path}[{index}]") for index, value in enumerate(values)]

    def checked_names(self) -> list[str]:
        """Returns the names of all fields, each of which must be a valid string."""
        for name in self.fields:
            self._checked_text(name, self.path_of(name), MAX_TEXT_LENGTH)
        return list(self.fields)

    def finish(self) -> None:
        """Raises ``DocumentError`` for a field that was not read."""
        for name in self.fields:
            if name not in self.seen:
                allowed = ", ".join(sorted(self.seen)) or "none"
                raise self.error(name, f"is not a known field; known fields: {allowed}")
        for child in self.children:
            child.finish()

    def _takes_default(self, name: str, default: object) -> bool:
        self.seen.add(name)
        return default is not _REQUIRED and not self.has(name)

    def _reader_of(self, value: object, path: str) -> "FieldReader":
        reader = FieldReader(value, path)
        self.children.append(reader)
        return reader

    def _refused(self, name: str, rule: str) -> DocumentError:
        return self.error(name, f"{rule}, not {quoted(self.fields[name])}")

    def _checked_text(self, value: object, path: str, max_length: int) -> str:
        if isinstance(value, str) and 0 < len(value) <= max_length and value.isprintable():
            return value
        rule = f"must be a string of 1 to {max_length} printable characters"
        raise DocumentError(path, f"{rule}, not {quoted(value)}")


def checked_integer(value: object, path: str, minimum: int, maximum: int) -> int:
    """Returns a value that is an integer between two bounds, or raises ``DocumentError``."""
    if isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum:
        return value
    rule = f"must be an integer from {minimum} to {maximum}"
    raise DocumentError(path, f"{rule}, not {quoted(value)}")
