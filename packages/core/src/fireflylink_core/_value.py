"""Base class of immutable values."""

from typing import Any, Self


class BaseValue:
    """An immutable value: a class with slots whose instances compare by their fields.

    A subclass lists its fields in ``__slots__`` and assigns each of them in ``__init__``. Instances
    are not modified after construction; ``replace`` returns a modified copy.

    Example::

        drained = server.replace(state=ServerState.DRAINING)
    """

    __slots__: tuple[str, ...] = ()

    def __eq__(self, other: object) -> bool:
        if type(self) is not type(other):
            return NotImplemented
        return all(getattr(self, name) == getattr(other, name) for name in self.__slots__)

    def __hash__(self) -> int:
        return hash(tuple(getattr(self, name) for name in self.__slots__))

    def __repr__(self) -> str:
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({fields})"

    def replace(self, **changes: Any) -> Self:
        """Returns a copy with the given fields replaced."""
        # Slots with a leading underscore are computed by ``__init__`` from the other fields.
        names = (name for name in self.__slots__ if not name.startswith("_"))
        fields = {name: getattr(self, name) for name in names}
        fields.update(changes)
        return type(self)(**fields)
