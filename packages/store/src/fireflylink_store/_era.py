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
    """Returns a revision of the store as the product uses it.

    The number 0 stands for no revision in every era.
    """
    return era * NUMBERS_PER_ERA + number if number else 0


def era_of(number: int) -> int:
    """Returns the era of a qualified revision."""
    return number // NUMBERS_PER_ERA


def number_of(number: int) -> int:
    """Returns a qualified revision as the store gave it out."""
    return number % NUMBERS_PER_ERA


LEASE_BITS = 64
"""Bits of a lease id within an era. Stores draw lease ids from all integers of 64 bits; they are
not sent to other daemons, so a qualified one may be longer."""

LEASES_PER_ERA = 1 << LEASE_BITS


def qualified_lease(era: int, lease_id: int) -> int:
    """Returns a lease id as the product uses it; 0 stands for no lease in every era."""
    return era * LEASES_PER_ERA + lease_id if lease_id else 0


def era_of_lease(lease_id: int) -> int:
    """Returns the era of a qualified lease id."""
    return lease_id // LEASES_PER_ERA


def lease_number_of(lease_id: int) -> int:
    """Returns a qualified lease id as the store gave it out."""
    return lease_id % LEASES_PER_ERA
