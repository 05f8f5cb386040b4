"""Parts of a key range with a wanted load."""

from fireflylink_core import KeyRange
from fireflylink_decisions.ownership._key_load import RangeLoad

TRIMMED_RATE_FRACTION = 0.02
"""Keys at both ends of a piece that have together at most this fraction of its load stay with their
owner: keys that change hands are paid for, whether they are asked for or not."""


def cut_from_start(range_load: RangeLoad, keys: KeyRange, wanted_rate: float) -> KeyRange | None:
    """Returns keys from the start of a range with about the wanted rate.

    Returns None if that would be the whole range, or if the range has no load.
    """
    index, end = range_load.index_range(keys)
    sum_before = range_load.prefix_sums[index]
    last = None
    while index < end and range_load.prefix_sums[index + 1] - sum_before <= wanted_rate:
        last = range_load.keys[index]
        index += 1
    if last is None:
        last = range_load.keys[index] if index < end else None
    if last is None or last >= keys.last:
        return None
    return KeyRange(keys.first, last)


def cut_from_end(range_load: RangeLoad, keys: KeyRange, wanted_rate: float) -> KeyRange | None:
    """Returns keys from the end of a range with about the wanted rate.

    Returns None if that would be the whole range, or if the range has no load.
    """
    start, index = range_load.index_range(keys)
    sum_up_to_end = range_load.prefix_sums[index]
    first = None
    while index > start and sum_up_to_end - range_load.prefix_sums[index - 1] <= wanted_rate:
        first = range_load.keys[index - 1]
        index -= 1
    if first is None:
        first = range_load.keys[index - 1] if index > start else None
    if first is None or first <= keys.first:
        return None
    return KeyRange(first, keys.last)


def trim(range_load: RangeLoad, keys: KeyRange) -> KeyRange:
    """Returns the part of a range that has nearly all of its load."""
    start, end = range_load.index_range(keys)
    spare_rate = range_load.total_rate(keys) * TRIMMED_RATE_FRACTION
    while end - start > 1:
        first_rate, last_rate = range_load.rates[start], range_load.rates[end - 1]
        if min(first_rate, last_rate) > spare_rate:
            break
        spare_rate -= min(first_rate, last_rate)
        if first_rate <= last_rate:
            start += 1
        else:
            end -= 1
    if start >= end:
        return keys
    return KeyRange(range_load.keys[start], range_load.keys[end - 1])


def upper_half(keys: KeyRange) -> KeyRange | None:
    """Returns the upper half of a range, None if it has a single key."""
    if len(keys) < 2:
        return None
    return KeyRange(keys.first + len(keys) // 2, keys.last)
