"""Typed reading of decoded JSON objects."""

from typing import Any, ClassVar, Self

from fireflylink_core._errors import BaseFireflylinkError

MISSING = object()


class BaseJsonFields:
    """Reads the fields of one JSON object.

    Each method raises ``error``, which the layer that reads sets to its own; the text names the
    path of the field and what is allowed. A field that is null counts as missing.

    Example::

        class SettingsFields(BaseJsonFields):
            error = SettingsError

        slots = SettingsFields(json.loads(text), "servers.s1").integer("slots")
    """

    __slots__ = ("name", "value")

    error: ClassVar[type[BaseFireflylinkError]] = BaseFireflylinkError

    def __init__(self, value: object, name: str) -> None:
        if not isinstance(value, dict):
            raise self.error(f"{name or 'the file'}: must be an object")
        self.value: dict[str, Any] = value
        self.name = name

    def string(self, field: str, default: object = MISSING) -> str:
        """Returns a string."""
        found = self.find(field, default)
        if not isinstance(found, str):
            raise self.error(f"{self.path(field)}: must be a string")
        return found

    def integer(self, field: str, default: object = MISSING) -> int:
        """Returns a whole number that is not negative."""
        found = self.find(field, default)
        if isinstance(found, bool) or not isinstance(found, int) or found < 0:
            raise self.error(f"{self.path(field)}: must be a whole number from 0")
        return found

    def number(self, field: str, default: object = MISSING) -> float:
        """Returns a number that is not negative."""
        found = self.find(field, default)
        if isinstance(found, bool) or not isinstance(found, int | float) or not found >= 0:
            raise self.error(f"{self.path(field)}: must be a number from 0")
        return float(found)

    def boolean(self, field: str, default: object = MISSING) -> bool:
        """Returns a truth value."""
        found = self.find(field, default)
        if not isinstance(found, bool):
            raise self.error(f"{self.path(field)}: must be true or false")
        return found

    def json_object(self, field: str) -> Self:
        """Returns the object in a field."""
        return type(self)(self.find(field, MISSING), self.path(field))

    def json_objects(self, field: str, default: object = MISSING) -> tuple[Self, ...]:
        """Returns the objects of a list."""
        found = self.find(field, default)
        if not isinstance(found, list):
            raise self.error(f"{self.path(field)}: must be a list")
        path = self.path(field)
        return tuple(type(self)(entry, f"{path}.{index}") for index, entry in enumerate(found))

    def has(self, field: str) -> bool:
        """Whether the field is present and not null."""
        return self.value.get(field) is not None

    def find(self, field: str, default: object) -> object:
        """Returns the value of a field, or the default for one that is missing."""
        found = self.value.get(field)
        if found is None:
            if default is MISSING:
                raise self.error(f"{self.path(field)}: is missing")
            return default
        return found

    def path(self, field: str) -> str:
        """Returns how errors name a field."""
        return f"{self.name}.{field}" if self.name else field
