"""Seeds that have failed once, each with its cause; they are played again before a release."""


class Regression:
    """A seed, the time with faults in seconds, and why it failed."""

    __slots__ = ("cause", "seconds", "seed")

    def __init__(self, seed: int, seconds: float, cause: str) -> None:
        self.seed = seed
        self.seconds = seconds
        self.cause = cause


REGRESSIONS = (
    Regression(1, 15.0, "harness: the proxy repeated parts of answers instead of whole ones"),
    Regression(2, 15.0, "harness: the check counted the holds of servers that had been killed"),
    Regression(6, 15.0, "harness: the proxy repeated parts of answers instead of whole ones"),
    Regression(901, 15.0, "a decider used fences of tables that a restored store had lost"),
)
