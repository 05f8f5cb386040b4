"""What the request path of a daemon works with: routes, servers, owners, limits."""

from fireflylink_backend_client import BaseServerCodec, ServerConnectionPool
from fireflylink_core import (
    BackendServer,
    BaseClock,
    CallerLimits,
    Configuration,
    OwnershipTable,
    ServerIncarnation,
    Service,
)
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._settings import Settings
from fireflylink_decisions.dispatch import Dispatcher, ServicePool
from fireflylink_decisions.limits import (
    ColdLimit,
    FleetPosition,
    RetryBudget,
    RetryBudgetLimits,
)
from fireflylink_decisions.poison import PoisonRegistry
from fireflylink_decisions.routing import RouteTable, TrafficSplitter
from fireflylink_decisions.servers import (
    DirectoryEntry,
    ServerDirectory,
    ServerTracker,
    ServiceLimits,
)
from fireflylink_protocol import GrantNotice, MemberRecord

KEYED_DRAIN_PART = 0.6
"""A leaving owner gets requests of its keys for this part of the bound, while they move."""

MILLISECONDS_PER_SECOND = 1000.0


class Serving:
    """The state of the request path. It changes by messages of the store, in one task."""

    __slots__ = (
        "budgets",
        "clock",
        "codec",
        "configuration",
        "directory",
        "dispatcher",
        "members",
        "owner_tables",
        "poison",
        "pools",
        "position",
        "routes",
        "settings",
        "splits",
        "store_doubted",
        "trackers",
    )

    def __init__(self, settings: Settings, clock: BaseClock, codec: BaseServerCodec) -> None:
        self.settings = settings
        self.clock = clock
        self.codec = codec
        self.configuration: Configuration | None = None
        self.routes: RouteTable | None = None
        self.splits = TrafficSplitter()
        self.directory = ServerDirectory()
        self.dispatcher = Dispatcher()
        self.poison = PoisonRegistry()
        self.budgets: dict[str, RetryBudget] = {}
        self.members: dict[str, MemberRecord] = {}
        self.owner_tables: dict[str, OwnershipTable] = {}
        self.position = FleetPosition(settings.instance, ())
        self.trackers: dict[ServerIncarnation, ServerTracker] = {}
        self.pools: dict[ServerIncarnation, ServerConnectionPool] = {}
        self.store_doubted = False

    def limits(self) -> CallerLimits:
        """Returns the limits for callers in force."""
        return CallerLimits() if self.configuration is None else self.configuration.limits

    def set_configuration(self, configuration: Configuration) -> bool:
        """Takes a configuration unless it is older than the one in force."""
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            return False
        self.configuration = configuration
        self.routes = RouteTable(configuration)
        self.splits.keep_only(configuration.routes)
        self.refresh()
        log_event(
            "configuration-applied",
            version=configuration.version,
            routes=len(configuration.routes),
            services=len(configuration.services),
        )
        return True

    def set_members(self, members: dict[str, MemberRecord]) -> None:
        """Takes the daemons that the store lists.

        A daemon whose own record lapsed has no share of a cold server until it is listed again: the
        others divide without it.
        """
        self.members = members
        self.position = FleetPosition(self.settings.instance, tuple(members))
        log_event("members-changed", members=len(members), rank=self.position.rank)
        self.refresh()

    def set_table(self, table: OwnershipTable) -> None:
        """Takes the owners of a service's keys."""
        present = self.owner_tables.get(table.service)
        if present is not None and present.fence > table.fence:
            log_problem("ownership-went-back", service=table.service, fence=table.fence)
            return
        self.owner_tables[table.service] = table
        pool = self.dispatcher.pools.get(table.service)
        if pool is not None:
            pool.set_table(table, self.clock.now())

    def note_granted(self, notice: GrantNotice) -> None:
        """Takes the decider's word that moved keys have arrived at their new owner."""
        pool = self.dispatcher.pools.get(notice.service)
        if pool is not None:
            pool.confirmed_grants.add((notice.keys, notice.fence))

    def put_server(self, server: BackendServer) -> None:
        """Takes a registration."""
        now = self.clock.now()
        known = self.directory.find(server.server_id)
        joined = known is None or known.server.incarnation != server.incarnation
        state = known.server.state if known is not None else None
        self.directory.register(server, now)
        tracker = self.trackers.get(server.incarnation)
        if tracker is None:
            tracker = ServerTracker(server)
            self.trackers[server.incarnation] = tracker
        tracker.server = server
        cold_seconds = server.cold_ms / MILLISECONDS_PER_SECOND
        if cold_seconds > 0:
            tracker.cold_limiter.mark_cold(now + cold_seconds)
        if joined or state != server.state:
            log_event(
                "server-registered",
                server=server.incarnation,
                service=server.service,
                state=server.state.value,
                data_centre=server.data_centre,
                cold_ms=server.cold_ms,
            )

    def remove_server(self, server_id: str) -> None:
        """Takes the end of a registration."""
        gone = self.directory.remove(server_id, self.clock.now())
        log_event("server-unregistered", server=server_id, gone=gone)

    def set_evacuated(self, data_centre: str, requested: bool) -> None:
        """Takes an evacuation or its end; servers that come back are taken for cold."""
        now = self.clock.now()
        if not self.directory.set_evacuated(data_centre, requested, now):
            return
        log_event("evacuation", data_centre=data_centre, requested=requested)
        if requested or self.routes is None:
            return
        for entry in self.directory.entries.values():
            service = self.routes.services.get(entry.server.service)
            if entry.server.data_centre == data_centre and service is not None:
                tracker = self.trackers[entry.server.incarnation]
                tracker.cold_limiter.mark_cold(now + service.cold_seconds)

    def refresh(self) -> None:
        """Brings the pools of servers in line with configuration, registrations and time."""
        now = self.clock.now()
        for server_id in self.directory.expire(now):
            log_event("server-gone", server=server_id, reason="missing after the store's return")
        if self.routes is None:
            return
        for service in self.routes.services.values():
            self._refresh_service(service, now)
        self._forget_absent()

    def budget(self, service: str) -> RetryBudget:
        """Returns this daemon's retry budget for a service."""
        found = self.budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            limits = RetryBudgetLimits(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_seconds
            )
            found = self.budgets[service] = RetryBudget(limits)
        return found

    def pool_of(self, tracker: ServerTracker) -> ServerConnectionPool:
        """Returns the connections to a server."""
        incarnation = tracker.server.incarnation
        pool = self.pools.get(incarnation)
        if pool is None:
            pool = self.pools[incarnation] = ServerConnectionPool(
                tracker.server, self.clock, self.codec
            )
        return pool

    def drop_idle_connections(self) -> None:
        """Closes connections to servers that were idle for too long."""
        for pool in self.pools.values():
            pool.evict_idle()

    def _refresh_service(self, service: Service, now: float) -> None:
        pool = self.dispatcher.pools.get(service.name)
        limits = self._service_limits(service, self.position)
        if pool is None:
            pool = ServicePool(service.keyed, limits)
            self.dispatcher.pools[service.name] = pool
            table = self.owner_tables.get(service.name)
            if table is not None:
                pool.set_table(table, now)
        pool.keyed = service.keyed
        pool.limits = limits
        entries = [
            entry
            for entry in self.directory.entries.values()
            if entry.server.service == service.name and self._serves(entry, service, now)
        ]
        pool.trackers = {
            entry.server.incarnation: self.trackers[entry.server.incarnation] for entry in entries
        }

    def _serves(self, entry: DirectoryEntry, service: Service, now: float) -> bool:
        if not self.directory.is_presumed_alive(entry):
            return False
        if self.directory.is_eligible(entry):
            return True
        if not service.keyed:
            return False
        evacuated_at = self.directory.evacuated.get(entry.server.data_centre)
        since = [at for at in (entry.draining_since, evacuated_at) if at is not None]
        drain_seconds = self.settings.bounds.drain_seconds * KEYED_DRAIN_PART
        return bool(since) and now < min(since) + drain_seconds

    def _service_limits(self, service: Service, position: FleetPosition) -> ServiceLimits:
        bounds = self.settings.bounds
        cold = ColdLimit(service.cold_requests_per_second, bounds.cold_factor, bounds.cold_extra)
        # A keyed server that started again runs nothing before it is granted keys.
        assume_cold = not service.keyed and (
            self.store_doubted or not self.directory.store_reachable
        )
        return ServiceLimits(
            cold, service.connection_limit, position, self.settings.data_centre, assume_cold
        )

    def _forget_absent(self) -> None:
        present = {entry.server.incarnation for entry in self.directory.entries.values()}
        for incarnation in list(self.pools):
            if incarnation not in present:
                self.pools.pop(incarnation).close()
        for incarnation in list(self.trackers):
            if incarnation not in present and not self.trackers[incarnation].in_flight:
                del self.trackers[incarnation]
