"""Straight lines through measured points."""

import math
from collections.abc import Sequence

from fireflylink_core import BaseValue


class Line(BaseValue):
    """A least-squares line; ``residual`` is the root of the mean squared distance from it."""

    __slots__ = ("intercept", "residual", "slope")

    def __init__(self, intercept: float, slope: float, residual: float) -> None:
        self.intercept = intercept
        self.slope = slope
        self.residual = residual

    def at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Returns the least-squares line through (size, value) points of at least two sizes."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_value = sum(value for _, value in points) / count
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    product = sum((size - mean_size) * (value - mean_value) for size, value in points)
    slope = product / spread
    intercept = mean_value - slope * mean_size
    squares = sum((value - intercept - slope * size) ** 2 for size, value in points)
    return Line(intercept, slope, math.sqrt(squares / count))
