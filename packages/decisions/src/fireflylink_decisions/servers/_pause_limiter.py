"""Pauses that a server asks for, and the pace at which this daemon's requests return after one."""

import hashlib

from fireflylink_core import SendWindow

RELEASE_SECONDS = 0.3
"""Time after a pause in which requests return at a limited pace. All daemons were told to stay away
at about the same time, and what waited would arrive at once. A longer time leaves servers idle."""

CAUTION_SECONDS = 10.0
"""Time after a pause in which the server gets requests only for slots that are presumably free. It
has shown that it queues fewer than are sent to other servers, and each pause costs its capacity."""

MAX_RETURN_SPREAD_SECONDS = 2.0
"""Longest time over which the callers that were refused during a pause are asked to return."""

HASH_RANGE = 2**64


class PauseLimiter:
    """Keeps this daemon's new requests away from one server while it wants none.

    Each answer that asks for a pause counts by itself, so a pause may be lengthened. It is never
    shortened: no request is sent during a pause, so an answer that states an earlier end is that to
    a request sent before it, and may have been given before the answer that states the later end.

    ``next_send_at`` is when the next request may be dispatched to the server. Until
    ``caution_ends_at`` it gets no requests that it would have to queue. ``turned_away`` is
    how many callers were refused because of the pause, and will return after it.

    Example::

        limiter.start(now + 2.0, now, 0.1, offset_fraction("front-1", "i-7f3a91c2"))
    """

    __slots__ = (
        "caution_ends_at",
        "interval_seconds",
        "next_send_at",
        "release_ends_at",
        "send_window",
        "turned_away",
    )

    def __init__(self, send_window: SendWindow) -> None:
        self.send_window = send_window
        self.next_send_at = float("-inf")
        self.release_ends_at = float("-inf")
        self.caution_ends_at = float("-inf")
        self.interval_seconds = 0.0
        self.turned_away = 0

    def start(self, until: float, now: float, interval_seconds: float, offset: float) -> bool:
        """Starts or lengthens a pause; returns whether it ends later than was known.

        After it, requests are sent ``interval_seconds`` apart. ``offset``, from 0 to 1, spreads
        the first ones of the daemons over that interval.
        """
        if until <= max(now, self.send_window.opens_at):
            return False
        if now >= self.send_window.opens_at:
            self.turned_away = 0
        self.send_window.opens_at = until
        self.interval_seconds = interval_seconds
        self.next_send_at = until + offset * min(interval_seconds, RELEASE_SECONDS)
        self.release_ends_at = until + RELEASE_SECONDS
        self.caution_ends_at = until + CAUTION_SECONDS
        window = self.send_window
        window.restricted_until = max(window.restricted_until, self.caution_ends_at)
        return True

    def record_sent(self, now: float) -> None:
        """Counts a request that is sent to the server after a pause."""
        if now < self.release_ends_at:
            self.next_send_at = min(now + self.interval_seconds, self.release_ends_at)

    def retry_after_seconds(self, now: float, queued: int, seconds_each: float) -> float:
        """Returns when a caller should return that is refused because of the pause.

        The server needs ``seconds_each`` for each request of this daemon: the ``queued`` ones and
        those of the callers that were refused before.
        """
        backlog_seconds = (queued + self.turned_away) * seconds_each
        remaining_seconds = max(0.0, self.next_send_at - now)
        return remaining_seconds + min(backlog_seconds, MAX_RETURN_SPREAD_SECONDS)


def offset_fraction(instance: str, server_id: str) -> float:
    """Returns a number from 0 to 1 that differs between daemons, by hash of both names."""
    digest = hashlib.blake2b(f"{instance} {server_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE
