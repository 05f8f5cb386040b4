"""Servers that may hold keys beside those to which this daemon has granted them."""

from collections.abc import Mapping

from fireflylink_core import FIRST_KEY, LAST_KEY, KeyRange, ServerIncarnation
from fireflylink_daemon._log import log_event
from fireflylink_decisions.ownership import KeyedService
from fireflylink_decisions.servers import ServerDirectory

ALL_KEYS = KeyRange(FIRST_KEY, LAST_KEY)


def record_restarts(
    service: KeyedService, registered: Mapping[str, ServerIncarnation], now: float
) -> None:
    """Records which holders of keys have restarted under their ids.

    ``registered`` has the present incarnation of each server id.
    """
    if service.grant_tracker is None or service.table is None:
        return
    for assignment in service.table.assignments:
        for incarnation in (assignment.owner, *assignment.previous_holders):
            successor = registered.get(incarnation.server_id, incarnation)
            if successor.started_ms > incarnation.started_ms > 0:
                _record_restart(service, incarnation, successor, now)


def add_servers_to_sweep(service: KeyedService, directory: ServerDirectory) -> None:
    """Adds the registered servers of a service and those that its table names."""
    tracker = service.grant_tracker
    if tracker is None or tracker.sweep is None:
        return
    for entry in directory.entries.values():
        if entry.server.service == service.name:
            tracker.sweep.add_server(entry.server.incarnation)
    for assignment in service.table.assignments if service.table is not None else ():
        for incarnation in (assignment.owner, *assignment.previous_holders):
            tracker.sweep.add_server(tracker.holds.holder(incarnation))


def _record_restart(
    service: KeyedService, former: ServerIncarnation, successor: ServerIncarnation, now: float
) -> None:
    tracker = service.grant_tracker
    if tracker is None or tracker.holds.has_ended(former):
        return
    held_until = tracker.hold_expires_at(former, ALL_KEYS)
    log_event(
        "server-restarted",
        service=service.name,
        server=former,
        successor=successor,
        held_seconds=max(0.0, held_until - now),
    )
    tracker.record_incarnation_ended(former, successor)
