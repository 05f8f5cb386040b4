"""Recorded arrivals: when each caller asks, and for which key."""

import itertools
import pathlib

from returns.result import Failure, Result, Success

from fireflylink_core import BaseValue

MILLISECONDS_PER_SECOND = 1000.0
PATTERN_DIRECTORY = pathlib.Path(__file__).parent / "patterns"


class PatternError(BaseValue):
    """A file that holds no pattern."""

    __slots__ = ("detail",)

    def __init__(self, detail: str) -> None:
        self.detail = detail


class Arrival(BaseValue):
    """A caller's first attempt: when, in seconds from the start, and its key."""

    __slots__ = ("key", "seconds")

    def __init__(self, seconds: float, key: int) -> None:
        self.seconds = seconds
        self.key = key


class ArrivalPattern(BaseValue):
    """The arrivals of one situation, in the order of time.

    On disk it is one line ``milliseconds key`` for each arrival.
    """

    __slots__ = ("arrivals", "name")

    def __init__(self, name: str, arrivals: tuple[Arrival, ...]) -> None:
        self.name = name
        self.arrivals = arrivals

    @property
    def seconds(self) -> float:
        """How long the pattern lasts."""
        return self.arrivals[-1].seconds if self.arrivals else 0.0


def encode_pattern(pattern: ArrivalPattern) -> str:
    """Returns the text of a pattern."""
    return "".join(
        f"{round(arrival.seconds * MILLISECONDS_PER_SECOND)} {arrival.key}\n"
        for arrival in pattern.arrivals
    )


def decode_pattern(name: str, text: str) -> Result[ArrivalPattern, PatternError]:
    """Reads a pattern from its text."""
    arrivals = []
    for number, line in enumerate(text.splitlines(), start=1):
        words = line.split()
        if len(words) != 2 or not all(word.isdecimal() for word in words):
            return Failure(PatternError(f"{name}, line {number}: not 'milliseconds key'"))
        arrivals.append(Arrival(int(words[0]) / MILLISECONDS_PER_SECOND, int(words[1])))
    pairs = itertools.pairwise(arrivals)
    if any(after.seconds < before.seconds for before, after in pairs):
        return Failure(PatternError(f"{name}: arrivals are not in the order of time"))
    return Success(ArrivalPattern(name, tuple(arrivals)))


def read_pattern(name: str) -> Result[ArrivalPattern, PatternError]:
    """Reads a recorded pattern of this package."""
    path = PATTERN_DIRECTORY / f"{name}.txt"
    try:
        text = path.read_text()
    except OSError as error:
        return Failure(PatternError(str(error)))
    return decode_pattern(name, text)
