"""What plans are made of: reported load, servers that may own keys; the log line of a plan."""

from fireflylink_core import BackendServer, OwnershipTable
from fireflylink_daemon._log import log_event
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_decisions.ownership import Candidate, KeyedService, changes_between
from fireflylink_protocol import LoadReport

MILLISECONDS_PER_SECOND = 1000.0


def record_load(service: KeyedService, report: LoadReport) -> None:
    """Records the requests for keys, and the service times, that a daemon reported."""
    for service_times in report.service_times:
        seconds = service_times.total_ms / MILLISECONDS_PER_SECOND
        service.service_times.add(service_times.server_id, service_times.request_count, seconds)
    requests_per_key = report.requests / len(report.keys)
    for key in report.keys:
        service.load.add(key, requests_per_key)


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
