"""Recent service time of a server or a group of servers."""

MEAN_WEIGHT = 1.0 / 16.0
DEVIATION_WEIGHT = 1.0 / 8.0


class ServiceTime:
    """Exponentially weighted mean and mean deviation of recent service times, in seconds."""

    __slots__ = ("deviation", "mean", "samples")

    def __init__(self) -> None:
        self.mean = 0.0
        self.deviation = 0.0
        self.samples = 0

    def add(self, seconds: float) -> None:
        """Takes one service time into account."""
        self.samples += 1
        if self.samples == 1:
            self.mean = seconds
            self.deviation = seconds / 2.0
            return
        error = seconds - self.mean
        self.mean += error * MEAN_WEIGHT
        self.deviation += (abs(error) - self.deviation) * DEVIATION_WEIGHT
