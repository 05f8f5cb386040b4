"""Seeds that have failed once, each with its cause; they are played again before a release."""


class Regression:
    """A seed, the time with faults in seconds, why it failed, and whether it moves many keys."""

    __slots__ = ("cause", "moves", "seconds", "seed")

    def __init__(self, seed: int, seconds: float, cause: str, moves: bool = False) -> None:
        self.moves = moves
        self.seed = seed
        self.seconds = seconds
        self.cause = cause


REGRESSIONS = (
    Regression(1, 15.0, "harness: the proxy repeated parts of answers instead of whole ones"),
    Regression(2, 15.0, "harness: the check counted the holds of servers that had been killed"),
    Regression(6, 15.0, "harness: the proxy repeated parts of answers instead of whole ones"),
    Regression(901, 15.0, "a decider used fences of tables that a restored store had lost"),
    Regression(3871, 20.0, "harness: SIGHUP ended a daemon that had just started"),
    Regression(3811, 30.0, "harness: a drain ended servers that had just started", moves=True),
    Regression(3820, 30.0, "harness: work stayed slow after the faults had ended", moves=True),
)
