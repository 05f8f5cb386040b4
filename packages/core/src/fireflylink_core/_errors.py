"""Base class of all errors."""


class BaseFireflylinkError(Exception):
    """An error whose message states what is wrong and, for invalid input, what is allowed.

    Each layer defines its own subclasses and converts errors of the layer below to them.
    """


class InvalidValueError(BaseFireflylinkError):
    """A field of a file or a stored value has a value that is not allowed."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem
