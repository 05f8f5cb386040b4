"""The error of this package."""

from fireflylink_core import InvalidValueError


class DocumentError(InvalidValueError):
    """A document or one of its fields is not valid.

    ``field`` is the path of the field (for example ``servers.search-01.slots``) and ``problem``
    says what is allowed. The text is always one line.
    """
