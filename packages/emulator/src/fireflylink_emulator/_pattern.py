"""Stored arrivals of requests, which ``record`` generates: the time and the key of each."""

import itertools
import pathlib

from returns.result import Failure, Result, Success

from fireflylink_core import BaseValue

MILLISECONDS_PER_SECOND = 1000.0
PATTERN_DIRECTORY = pathlib.Path(__file__).parent / "patterns"


class UnreadablePattern(BaseValue):
    """The reason why a pattern could not be read."""

    __slots__ = ("detail",)

    def __init__(self, detail: str) -> None:
        self.detail = detail


class Arrival(BaseValue):
    """Arrival of a request, ``offset_seconds`` after the start of the pattern.

    ``profile_index`` is the index of its profile in the scenario's profiles.
    """

    __slots__ = ("key", "offset_seconds", "profile_index")

    def __init__(self, offset_seconds: float, key: int, profile_index: int = 0) -> None:
        self.offset_seconds = offset_seconds
        self.key = key
        self.profile_index = profile_index


class ArrivalPattern(BaseValue):
    """The arrivals of one scenario in chronological order.

    A file has one line for each arrival: ``milliseconds key``, with the profile index as a third
    number if it is not 0.
    """

    __slots__ = ("arrivals", "name")

    def __init__(self, name: str, arrivals: tuple[Arrival, ...]) -> None:
        self.name = name
        self.arrivals = arrivals

    @property
    def duration_seconds(self) -> float:
        """Time from the start to the last arrival."""
        return self.arrivals[-1].offset_seconds if self.arrivals else 0.0


def encode_pattern(pattern: ArrivalPattern) -> str:
    """Encodes a pattern as the text of its file."""
    return "".join(
        f"{round(arrival.offset_seconds * MILLISECONDS_PER_SECOND)} {arrival.key}"
        + (f" {arrival.profile_index}\n" if arrival.profile_index else "\n")
        for arrival in pattern.arrivals
    )


def decode_pattern(name: str, text: str) -> Result[ArrivalPattern, UnreadablePattern]:
    """Decodes a pattern from the text of its file."""
    arrivals = []
    for line_number, line in enumerate(text.splitlines(), start=1):
        fields = line.split()
        if len(fields) not in (2, 3) or not all(field.isdecimal() for field in fields):
            return Failure(
                UnreadablePattern(f"{name}, line {line_number}: not 'milliseconds key [kind]'")
            )
        milliseconds, key, *profile_index = map(int, fields)
        arrivals.append(Arrival(milliseconds / MILLISECONDS_PER_SECOND, key, *profile_index))
    pairs = itertools.pairwise(arrivals)
    if any(after.offset_seconds < before.offset_seconds for before, after in pairs):
        return Failure(UnreadablePattern(f"{name}: arrivals are not in the order of time"))
    return Success(ArrivalPattern(name, tuple(arrivals)))


def read_pattern(name: str) -> Result[ArrivalPattern, UnreadablePattern]:
    """Reads one of the patterns that are stored in this package."""
    path = PATTERN_DIRECTORY / f"{name}.txt"
    try:
        text = path.read_text()
    except OSError as error:
        return Failure(UnreadablePattern(str(error)))
    return decode_pattern(name, text)
