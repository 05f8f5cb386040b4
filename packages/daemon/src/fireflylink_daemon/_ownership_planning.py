"""The servers that may own keys of a service, and the log line of a planned table."""

from fireflylink_core import BackendServer, OwnershipTable
from fireflylink_daemon._log import log_event
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_decisions.ownership import Candidate, KeyedService, changes_between


def planning_candidates(
    service: KeyedService, routing_state: RoutingState, now: float
) -> list[Candidate]:
    """Returns the servers of a service that may own keys, with their estimated capacity."""
    candidates = []
    for entry in routing_state.directory.eligible_servers(service.name):
        server = entry.server
        if service.is_reachable(server.incarnation):
            capacity = _capacity(service, server, routing_state, now)
            candidates.append(Candidate(server.incarnation, capacity, server.data_centre))
    return candidates


def log_plan(service: KeyedService, planned: OwnershipTable, candidates: list[Candidate]) -> None:
    """Logs how many keys change owners, and how many of them because their owner was lost."""
    incarnations = frozenset(candidate.incarnation for candidate in candidates)
    current = service.table if service.table is not None else planned
    changes = changes_between(current, planned, incarnations)
    log_event(
        "ownership-planned",
        service=service.name,
        fence=planned.fence,
        ranges=len(planned.assignments),
        candidates=len(candidates),
        requests_per_second=service.requests_per_second,
        lost_keys=changes.lost_keys,
        moved_keys=changes.moved_keys,
        joined=changes.joined,
    )


def _capacity(
    service: KeyedService, server: BackendServer, routing_state: RoutingState, now: float
) -> float:
    """Returns a server's estimated capacity in requests per second."""
    tracker = routing_state.trackers.get(server.incarnation)
    cold = tracker is not None and tracker.cold_limiter.is_cold(now)
    return service.service_times.capacity(server.server_id, server.slots, cold)
