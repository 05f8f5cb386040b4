"""Servers that may hold keys beside those to which this daemon has granted them."""

from collections.abc import Mapping

from fireflylink_core import FIRST_KEY, LAST_KEY, KeyRange, ServerIncarnation
from fireflylink_daemon._log import log_event
from fireflylink_decisions.ownership import GrantTracker, KeyedService
from fireflylink_decisions.servers import ServerDirectory

ALL_KEYS = KeyRange(FIRST_KEY, LAST_KEY)


def record_restarts(
    service: KeyedService, registered: Mapping[str, ServerIncarnation], now: float
) -> None:
    """Records which holders of keys have restarted under their ids.

    ``registered`` has the present incarnation of each server id.
    """
    tracker = service.grant_tracker
    if tracker is None:
        return
    swept = tracker.sweep.servers if tracker.sweep is not None else frozenset()
    named = {tracker.holds.holder(server) for server in _named_servers(service)}
    for incarnation in {*named, *swept}:
        successor = registered.get(incarnation.server_id, incarnation)
        if successor.started_ms > incarnation.started_ms > 0:
            _record_restart(service, tracker, incarnation, successor, now)


def begin_sweep(service: KeyedService, directory: ServerDirectory, era: int) -> None:
    """Adds the servers that are asked to release keys before the first table is in use."""
    tracker = service.grant_tracker
    if tracker is None or tracker.sweep is None or tracker.sweep.table is not None:
        return
    add_servers_to_sweep(service, directory)
    log_event(
        "ownership-sweep-started",
        service=service.name,
        era=era,
        servers=len(tracker.sweep.servers),
    )


def add_servers_to_sweep(service: KeyedService, directory: ServerDirectory) -> None:
    """Adds the registered servers of a service and those that its table names."""
    tracker = service.grant_tracker
    if tracker is None or tracker.sweep is None:
        return
    for entry in directory.entries.values():
        if entry.server.service == service.name:
            tracker.sweep.add_server(entry.server.incarnation)
    for incarnation in _named_servers(service):
        tracker.sweep.add_server(tracker.holds.holder(incarnation))


def _named_servers(service: KeyedService) -> set[ServerIncarnation]:
    """Returns the owners and the previous holders in the table of a service."""
    assignments = () if service.table is None else service.table.assignments
    return {
        incarnation
        for assignment in assignments
        for incarnation in (assignment.owner, *assignment.previous_holders)
    }


def _record_restart(
    service: KeyedService,
    tracker: GrantTracker,
    former: ServerIncarnation,
    successor: ServerIncarnation,
    now: float,
) -> None:
    if tracker.holds.holder(former) != former:
        return
    held_until = tracker.holds.counted_expiry(former, ALL_KEYS)
    log_event(
        "server-restarted",
        service=service.name,
        server=former,
        successor=successor,
        held_seconds=max(0.0, held_until - now),
    )
    tracker.record_incarnation_ended(former, successor)
