"""Typed access to decoded JSON objects."""

from typing import Any, ClassVar, Self, TypeGuard

from fireflylink_core._errors import BaseFireflylinkError

MISSING = object()
MAX_INTEGER = 2**63 - 1
"""Largest integer that MessagePack and other systems take for a signed number of 64 bits."""

MAX_NUMBER = 2.0**53
"""Sums and products of a few numbers up to this one stay finite."""


class BaseJsonFields:
    """Gives typed access to the fields of one JSON object.

    A required field that is missing and a value that is not allowed raise ``error``, which each
    subclass sets to the error class of its layer. The message names the path of the field and what
    is allowed. ``object_path`` is the path of the JSON object, empty for a whole file. A field that
    is null counts as missing; a field whose default is ``MISSING`` is required.

    Example::

        class SettingsFields(BaseJsonFields):
            error = SettingsError

        slots = SettingsFields(json.loads(text), "servers.s1").integer("slots")
    """

    __slots__ = ("object_path", "value")

    error: ClassVar[type[BaseFireflylinkError]] = BaseFireflylinkError

    def __init__(self, value: object, object_path: str) -> None:
        if not isinstance(value, dict):
            raise self.error(f"{object_path or 'the file'}: must be an object")
        self.value: dict[str, Any] = value
        self.object_path = object_path

    def string(self, field: str, default: object = MISSING) -> str:
        """Returns the string in a field."""
        value = self.find(field, default)
        if not isinstance(value, str):
            raise self.error(f"{self.path(field)}: must be a string")
        return value

    def integer(self, field: str, default: object = MISSING, maximum: int = MAX_INTEGER) -> int:
        """Returns the integer in a field, which must be from 0 to ``maximum``."""
        value = self.find(field, default)
        if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= maximum:
            raise self.error(f"{self.path(field)}: must be a whole number from 0 to {maximum}")
        return value

    def number(self, field: str, default: object = MISSING, maximum: float = MAX_NUMBER) -> float:
        """Returns the number in a field, which must be from 0 to ``maximum``."""
        value = self.find(field, default)
        if not _is_number(value) or not 0 <= value <= maximum:
            raise self.error(f"{self.path(field)}: must be a number from 0 to {maximum:g}")
        return float(value)

    def boolean(self, field: str, default: object = MISSING) -> bool:
        """Returns the boolean in a field."""
        value = self.find(field, default)
        if not isinstance(value, bool):
            raise self.error(f"{self.path(field)}: must be true or false")
        return value

    def json_object(self, field: str) -> Self:
        """Returns the JSON object in a field."""
        return type(self)(self.find(field, MISSING), self.path(field))

    def json_objects(self, field: str, default: object = MISSING) -> tuple[Self, ...]:
        """Returns the JSON objects of the list in a field."""
        value = self.find(field, default)
        if not isinstance(value, list):
            raise self.error(f"{self.path(field)}: must be a list")
        path = self.path(field)
        return tuple(type(self)(entry, f"{path}.{index}") for index, entry in enumerate(value))

    def has(self, field: str) -> bool:
        """Whether the field is present and not null."""
        return self.value.get(field) is not None

    def find(self, field: str, default: object) -> object:
        """Returns the value of a field, or ``default`` if the field is missing.

        Raises ``error`` if a field with the default ``MISSING`` is missing.
        """
        value = self.value.get(field)
        if value is None:
            if default is MISSING:
                raise self.error(f"{self.path(field)}: is missing")
            return default
        return value

    def path(self, field: str) -> str:
        """Returns the path by which error messages name a field."""
        return f"{self.object_path}.{field}" if self.object_path else field


def _is_number(value: object) -> TypeGuard[int | float]:
    return isinstance(value, int | float) and not isinstance(value, bool)
