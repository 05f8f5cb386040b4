"""The order in which one daemon uses the servers of a service that has no keys.

A daemon that spreads its requests over all servers of a large fleet meets each of them a few times
a minute: no connection stays open, and no load report is fresh. So each daemon prefers a few
servers, in an order of its own, as in the subsetting of "Site Reliability Engineering" (chapter
20); the order is that of rendezvous hashing, so that a server that joins or leaves changes it in
one place.
"""

import hashlib
import math
from collections.abc import Mapping

from fireflylink_core import ServerIncarnation
from fireflylink_decisions.servers._server_choice import (
    MAX_REQUESTS_PER_SLOT,
    MAX_USED_FAILURE_RATE,
    NO_OBJECTIVE,
    ServiceLimits,
    choose_server,
    cost_seconds,
    is_near_enough,
)
from fireflylink_decisions.servers._server_tracker import ServerTracker

MIN_GROUP_SIZE = 6
MAX_GROUP_SIZE = 16
"""Servers that are compared at a time; a service with no more of them is compared as a whole."""

REUSE_SECONDS = 3.0
"""A group has as many servers as the daemon sends requests in this time: each of them then gets one
before an idle connection to it is closed."""

MAX_GROUPS = 4
"""Groups that are compared for one request, which bounds its cost at any size of the fleet."""


class ServerRanking:
    """The servers of a service in the order in which this daemon uses them.

    Those of its own data centre come first. The servers are compared in groups, as in
    ``choose_server``: the next group counts only if no server of the groups before it has a free
    slot and answers well, or is near and expected to meet the objective.

    Example::

        ranking = ServerRanking("front-1", "kingston", trackers)
        tracker = ranking.choose(limits, now, frozenset(), requests_per_second=2.0)
    """

    __slots__ = ("data_centre", "instance", "ranked")

    def __init__(
        self, instance: str, data_centre: str, trackers: Mapping[ServerIncarnation, ServerTracker]
    ) -> None:
        self.instance = instance
        self.data_centre = data_centre
        self.ranked = sorted(trackers.values(), key=self._rank)

    def choose(
        self,
        limits: ServiceLimits,
        now: float,
        tried_servers: frozenset[str],
        requests_per_second: float,
        max_requests_per_slot: float = MAX_REQUESTS_PER_SLOT,
        objective_at: float = NO_OBJECTIVE,
        skip_paused: bool = False,
    ) -> ServerTracker | None:
        """Returns the server for a request, None if none of those compared is available.

        An answer after ``objective_at`` misses the objective of the request. With ``skip_paused``,
        servers that asked for a pause take no place in the groups.
        """
        ranked = self.ranked
        if skip_paused:
            ranked = [tracker for tracker in ranked if tracker.pause_limiter.next_send_at <= now]
        size = group_size(requests_per_second, len(ranked))
        best: ServerTracker | None = None
        for start in range(0, min(len(ranked), size * MAX_GROUPS), size):
            group = ranked[start : start + size]
            candidate = choose_server(
                group, limits, now, tried_servers, max_requests_per_slot, objective_at
            )
            best = _better_of(best, candidate, limits, now, tried_servers)
            is_tried = best is not None and best.server.server_id in tried_servers
            if best is None or is_tried:
                continue
            if _answers_well(best, now) or is_near_enough(best, limits, now, objective_at):
                return best
        return best

    def preferred(self, requests_per_second: float) -> list[ServerTracker]:
        """Returns the servers of the first group."""
        return self.ranked[: group_size(requests_per_second, len(self.ranked))]

    def _rank(self, tracker: ServerTracker) -> tuple[bool, bytes]:
        text = f"{self.instance} {tracker.server.server_id}"
        digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        return tracker.server.data_centre != self.data_centre, digest


def group_size(requests_per_second: float, server_count: int) -> int:
    """Returns how many servers a daemon with this rate of requests compares at a time."""
    if server_count <= MAX_GROUP_SIZE:
        return MAX_GROUP_SIZE
    wanted = math.ceil(requests_per_second * REUSE_SECONDS)
    return min(MAX_GROUP_SIZE, max(MIN_GROUP_SIZE, wanted))


def _better_of(
    first: ServerTracker | None,
    second: ServerTracker | None,
    limits: ServiceLimits,
    now: float,
    tried_servers: frozenset[str],
) -> ServerTracker | None:
    """Returns the server with the lower cost; one that has been tried comes after any other."""
    if first is None or second is None:
        return first or second
    return min(
        (first, second),
        key=lambda tracker: (
            tracker.server.server_id in tried_servers,
            cost_seconds(tracker, limits, now),
        ),
    )


def _answers_well(tracker: ServerTracker, now: float) -> bool:
    """Whether a server has a free slot and fails few requests."""
    has_free_slot = tracker.expected_load(now) < tracker.server.slots
    return has_free_slot and tracker.decayed_failure_rate(now) <= MAX_USED_FAILURE_RATE
