"""Base of the errors of every layer."""


class BaseFireflylinkError(Exception):
    """An error whose text tells the reader what is wrong and what is allowed.

    Each layer defines its own subclasses and turns errors of the layer below into them.
    """


class InvalidValueError(BaseFireflylinkError):
    """A field of a document or a settings file has a value that is not allowed."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem
