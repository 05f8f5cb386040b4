"""Requests that an emulated server received during the pauses that it had asked for."""

ARRIVALS_COUNT_AFTER_SECONDS = 0.5
"""Requests that arrive sooner after the answer may have been sent before it was received."""


class _Pause:
    __slots__ = ("arrivals", "counts_from", "ends_at")

    def __init__(self, counts_from: float, ends_at: float) -> None:
        self.counts_from = counts_from
        self.ends_at = ends_at
        self.arrivals = 0


class PauseRecord:
    """The pauses that one server has asked of each daemon, and the requests in them.

    ``arrivals`` counts the requests that arrived in any pause of their daemon, ``most_arrivals``
    those in the pause that had the most.
    """

    __slots__ = ("arrivals", "most_arrivals", "pauses")

    def __init__(self) -> None:
        self.pauses: dict[str, list[_Pause]] = {}
        self.arrivals = 0
        self.most_arrivals = 0

    def record_pause(self, daemon: str, now: float, seconds: float) -> None:
        """Records that the server has asked a daemon for a pause."""
        pause = _Pause(now + ARRIVALS_COUNT_AFTER_SECONDS, now + seconds)
        self.pauses.setdefault(daemon, []).append(pause)

    def record_arrival(self, daemon: str, now: float) -> None:
        """Records a request that a daemon has sent."""
        remaining = [pause for pause in self.pauses.get(daemon, ()) if now < pause.ends_at]
        current = [pause for pause in remaining if now > pause.counts_from]
        self.pauses[daemon] = remaining
        for pause in current:
            pause.arrivals += 1
            self.most_arrivals = max(self.most_arrivals, pause.arrivals)
        self.arrivals += bool(current)
