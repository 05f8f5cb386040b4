"""A broken promise."""


class Violation:
    """A broken promise: its name, and what shows it."""

    __slots__ = ("detail", "promise")

    def __init__(self, promise: str, detail: str) -> None:
        self.promise = promise
        self.detail = detail

    def __str__(self) -> str:
        return f"{self.promise}: {self.detail}"
