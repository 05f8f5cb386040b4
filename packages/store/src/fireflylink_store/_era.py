"""Revisions and lease ids qualified by the era of the store that gave them out.

When the platform restores the store from an older copy, the store gives out the revisions and lease
ids of what was lost once more, and raises its era by one. A qualified number begins with the era.
So what comes after a restore is larger than all that came before it, and two numbers that are equal
are the same revision or the same lease.
"""

NUMBER_BITS = 44
"""Bits of the number within an era. That leaves 19 bits for the era in a signed integer of 64 bits,
and 44 bits last for five centuries at a thousand revisions a second."""

NUMBERS_PER_ERA = 1 << NUMBER_BITS
MAX_ERA = (1 << (63 - NUMBER_BITS)) - 1


def qualified(era: int, number: int) -> int:
    """Returns a revision or lease id of the store as the product uses it.

    The number 0 stands for no revision or no lease in every era.
    """
    return era * NUMBERS_PER_ERA + number if number else 0


def era_of(number: int) -> int:
    """Returns the era of a qualified revision or lease id."""
    return number // NUMBERS_PER_ERA


def number_of(number: int) -> int:
    """Returns a qualified revision or lease id as the store gave it out."""
    return number % NUMBERS_PER_ERA
