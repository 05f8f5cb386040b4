"""Errors of calls to the platform."""

from fireflylink_core import BaseFireflylinkError


class PlatformError(BaseFireflylinkError):
    """A call to the platform that did not return what was asked for."""


class PlatformUnavailable(PlatformError):  # noqa: N818
    """The call was not sent or the platform refused it: it certainly had no effect."""


class OutcomeUnknownError(PlatformError):
    """The call was sent and no usable reply came: a write may have taken effect.

    The caller reads the entry back and compares it with what it wrote.
    """


class RevisionConflict(PlatformError):  # noqa: N818
    """The entry does not have the expected revision; ``current`` is 0 when it does not exist."""

    def __init__(self, key: str, expected: int, current: int) -> None:
        super().__init__(f"{key}: expected revision {expected}, current revision {current}")
        self.key = key
        self.expected = expected
        self.current = current


class LeaseExpired(PlatformError):  # noqa: N818
    """The lease does not exist any more, so entries written under it are gone."""
