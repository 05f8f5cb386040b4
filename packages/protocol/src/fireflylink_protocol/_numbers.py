"""Checks of the numbers in records and datagrams."""

from fireflylink_core import MAX_INTEGER


def checked_integer(value: object, minimum: int = 0, maximum: int = MAX_INTEGER) -> int:
    """Returns a whole number from ``minimum`` to ``maximum``; raises ``ValueError`` for others.

    Without the bounds, a later conversion to a float or to MessagePack could fail.
    """
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        raise ValueError(f"a whole number from {minimum} to {maximum} is needed")
    return value
