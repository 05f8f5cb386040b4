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
    """A caller's first attempt: when, in seconds from the start, its key and its kind.

    ``profile_index`` is the position of its profile among those of the scenario.
    """

    __slots__ = ("key", "profile_index", "seconds")

    def __init__(self, seconds: float, key: int, profile_index: int = 0) -> None:
        self.seconds = seconds
        self.key = key
        self.profile_index = profile_index


class ArrivalPattern(BaseValue):
    """The arrivals of one scenario, in the order of time.

    On disk it is one line ``milliseconds key``, or ``milliseconds key kind``, for each arrival.
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
        f"{round(arrival.seconds * MILLISECONDS_PER_SECOND)} {arrival.key}"
        + (f" {arrival.profile_index}\n" if arrival.profile_index else "\n")
        for arrival in pattern.arrivals
    )


def decode_pattern(name: str, text: str) -> Result[ArrivalPattern, PatternError]:
    """Reads a pattern from its text."""
    arrivals = []
    for number, line in enumerate(text.splitlines(), start=1):
        words = line.split()
        if len(words) not in (2, 3) or not all(word.isdecimal() for word in words):
            return Failure(PatternError(f"{name}, line {number}: not 'milliseconds key [kind]'"))
        moment, key, *kind = map(int, words)
        arrivals.append(Arrival(moment / MILLISECONDS_PER_SECOND, key, *kind))
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
