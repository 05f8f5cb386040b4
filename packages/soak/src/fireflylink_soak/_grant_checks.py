"""Checks of the grants that servers accept: no other one is at work, and fences rise."""

import collections
from collections.abc import Iterator

from fireflylink_core import KeyRange
from fireflylink_soak._record import ENDED, FINISHED, GRANTED, RAN, RESUMED, ServerEvent
from fireflylink_soak._violation import Violation

LATE_SECONDS = 0.6
"""The time-out of a grant: one that is accepted this long after its arrival was taken late."""

RESUMED_SECONDS = 1.0
"""A grant this soon after its sender or its server was continued may have been held up: the
time-out, and as much again for a proxy that delays what passes."""


class _ServerHistory:
    """What one server process has accepted and has at work; ``grants`` has the latest last."""

    __slots__ = ("grants", "runs")

    def __init__(self) -> None:
        self.grants: list[ServerEvent] = []
        self.runs: dict[int, ServerEvent] = {}

    def expires_at(self, key: int) -> float:
        """Returns when the hold of a key runs out, whether it is released before or not."""
        for event in reversed(self.grants):
            if event.keys is not None and event.keys.first <= key <= event.keys.last:
                return event.until
        return 0.0


def check_work_has_ended(events: list[ServerEvent]) -> Iterator[Violation]:
    """A server is given no key on which another one is at work under a hold that goes on.

    A grant that renews the hold of a key does not give it.
    """
    held_up = _held_up_grants(events)
    servers: dict[str, _ServerHistory] = collections.defaultdict(_ServerHistory)
    for event in events:
        server = servers[event.server]
        if event.what == RAN and event.key >= 0:
            server.runs[event.run] = event
        elif event.what == FINISHED:
            server.runs.pop(event.run, None)
        elif event.what == ENDED:
            server.runs.clear()
        elif event.what == GRANTED and event.keys is not None:
            if event not in held_up:
                yield from _work_elsewhere(event, event.keys, servers)
            server.grants.append(event)


def _work_elsewhere(
    event: ServerEvent, keys: KeyRange, servers: dict[str, _ServerHistory]
) -> Iterator[Violation]:
    for name, other in servers.items():
        for run in other.runs.values():
            if (
                name != event.server
                and keys.first <= run.key <= keys.last
                and event.at < other.expires_at(run.key)
                and servers[event.server].expires_at(run.key) <= event.at
            ):
                yield Violation(
                    "given while at work",
                    f"{event.server} got key {run.key} (fence {event.fence}) at {event.at:.2f}; "
                    f"{name} is at work on request {run.request} since {run.at:.2f}, its hold "
                    f"until {other.expires_at(run.key):.2f}",
                )


def check_rising_fences(events: list[ServerEvent]) -> Iterator[Violation]:
    """A server takes a key under a higher fence than all with which other servers had it."""
    held_up = _held_up_grants(events)
    reported: set[tuple[str, str]] = set()
    for event, formers in _grants_after_others(events):
        for former in formers:
            servers = (event.server, former.server)
            if former.fence < event.fence or event in held_up or servers in reported:
                continue
            reported.add(servers)
            yield Violation(
                "rising fences",
                f"{event.server} took {event.keys} under fence {event.fence} at {event.at:.2f}; "
                f"{former.server} had {former.keys} under fence {former.fence}",
            )


def count_moves(events: list[ServerEvent]) -> int:
    """Returns the number of grants that gave keys to a server after another one had them."""
    moves = _grants_after_others(events)
    return len(
        {(event.server, str(event.keys), event.fence) for event, formers in moves if formers}
    )


def _grants_after_others(
    events: list[ServerEvent],
) -> Iterator[tuple[ServerEvent, list[ServerEvent]]]:
    """Returns each grant with those that other servers had of its keys before."""
    taken: dict[tuple[str, str, int], ServerEvent] = {}
    for event in events:
        if event.what != GRANTED or event.keys is None:
            continue
        formers = [
            former
            for former in taken.values()
            if former.keys is not None and former.keys.overlaps(event.keys)
        ]
        yield event, [former for former in formers if former.server_id != event.server_id]
        taken[event.server_id, str(event.keys), event.fence] = event


def _held_up_grants(events: list[ServerEvent]) -> set[ServerEvent]:
    """Returns the grants that were taken late, or may have been held up by a paused process.

    A pause of a daemon counts for the grants to all servers: a grant does not name its sender.
    """
    servers = {"store", *(event.server for event in events if event.what != RESUMED)}
    resumed_at: dict[str, float] = {}
    found = set()
    for event in events:
        if event.what == RESUMED:
            resumed_at[event.server if event.server in servers else ""] = event.at
        elif event.what == GRANTED and (
            event.at - event.arrived_at > LATE_SECONDS
            or any(event.at - resumed_at.get(x, -1e9) < RESUMED_SECONDS for x in ("", event.server))
        ):
            found.add(event)
    return found
