"""State for the handling of requests: configuration, servers, key owners and limits."""

from fireflylink_backend_client import BaseServerCodec, ServerConnectionPool
from fireflylink_core import (
    BackendServer,
    BaseClock,
    CallerLimits,
    Configuration,
    OwnershipTable,
    ReceiveLimits,
    ServerIncarnation,
    ServerState,
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
    LeavingServers,
    RegistrationOrigin,
    ServerDirectory,
    ServerTracker,
    ServiceLimits,
)
from fireflylink_protocol import GrantNotice, MemberRecord

KEYED_DRAIN_FRACTION = 0.6
"""Part of the drain time for which a draining or evacuated owner still gets requests for its keys,
while they move to another server. In the rest it gets no new ones; those in progress may complete.
"""

MAX_LOGGED_PROBLEMS = 20
"""Unreadable parts of one configuration that are logged; the metric counts all of them."""

MILLISECONDS_PER_SECOND = 1000.0


class RoutingState:
    """The state with which ``RequestHandler`` routes, dispatches and retries requests.

    ``ViewTask`` applies the updates from the store; ``DeciderTask`` adds the ownership tables that
    it has written. ``store_calls_failing`` is true after a failed call of ``MemberTask`` to the
    store; ``directory.store_reachable`` is false after a failed call of ``StoreReader``, which may
    notice an outage seconds later. ``fleet_position`` is this daemon's place among the members.
    """

    __slots__ = (
        "clock",
        "codec",
        "configuration",
        "connection_pools",
        "directory",
        "dispatcher",
        "fleet_position",
        "leaving_servers",
        "members",
        "ownership_tables",
        "poison",
        "receive_limits",
        "retry_budgets",
        "routes",
        "settings",
        "store_calls_failing",
        "trackers",
        "traffic_splitter",
    )

    def __init__(self, settings: Settings, clock: BaseClock, codec: BaseServerCodec) -> None:
        self.settings = settings
        self.clock = clock
        self.codec = codec
        self.configuration: Configuration | None = None
        self.routes: RouteTable | None = None
        self.traffic_splitter = TrafficSplitter()
        self.directory = ServerDirectory()
        self.leaving_servers = LeavingServers()
        self.dispatcher = Dispatcher()
        self.poison = PoisonRegistry()
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.members: dict[str, MemberRecord] = {}
        self.ownership_tables: dict[str, OwnershipTable] = {}
        self.fleet_position = FleetPosition(settings.instance, ())
        self.trackers: dict[ServerIncarnation, ServerTracker] = {}
        self.connection_pools: dict[ServerIncarnation, ServerConnectionPool] = {}
        self.receive_limits = ReceiveLimits()
        self.store_calls_failing = False

    def set_settings(self, settings: Settings) -> None:
        """Replaces the settings, also for the retry budgets in use."""
        self.settings = settings
        for budget in self.retry_budgets.values():
            budget.set_limits(self._retry_limits())

    def caller_limits(self) -> CallerLimits:
        """Returns the caller limits of the current configuration; defaults without one."""
        return CallerLimits() if self.configuration is None else self.configuration.limits

    def set_configuration(self, configuration: Configuration) -> bool:
        """Applies a configuration if it is newer than the current one; returns whether it was."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.routes = RouteTable(configuration)
        self.traffic_splitter.keep_only(configuration.routes)
        self.refresh()
        log_event(
            "configuration-applied",
            version=configuration.version,
            routes=len(configuration.routes),
            services=len(configuration.services),
            problems=len(configuration.problems),
        )
        for problem in configuration.problems[:MAX_LOGGED_PROBLEMS]:
            log_problem(
                "configuration-part-unreadable", version=configuration.version, problem=problem
            )
        return True

    def set_members(self, members: dict[str, MemberRecord]) -> None:
        """Replaces the members: the daemons that the store lists.

        A daemon whose own record has expired gets no share of a cold server's requests until it is
        listed again, because the other members divide the limit without it.
        """
        self.members = members
        self.fleet_position = FleetPosition(self.settings.instance, tuple(members))
        log_event("members-changed", members=len(members), rank=self.fleet_position.rank)
        self.refresh()

    def keyed_service_names(self) -> list[str]:
        """Returns the names of the services whose requests only the owner of their key may run."""
        if self.routes is None:
            return []
        return [service.name for service in self.routes.services.values() if service.keyed]

    def set_table(self, table: OwnershipTable) -> None:
        """Replaces the ownership table of a service, unless the new one has a lower fence."""
        current = self.ownership_tables.get(table.service)
        if current is not None and current.fence > table.fence:
            log_problem("ownership-went-back", service=table.service, fence=table.fence)
            return
        self.ownership_tables[table.service] = table
        pool = self.dispatcher.pools.get(table.service)
        if pool is not None:
            pool.set_table(table, self.clock.now())

    def record_grant(self, notice: GrantNotice) -> None:
        """Records that the new owner of moved keys has confirmed their grant to the decider."""
        pool = self.dispatcher.pools.get(notice.service)
        if pool is not None:
            pool.confirmed_grants.add((notice.keys, notice.fence))

    def register_server(
        self, server: BackendServer, origin: RegistrationOrigin = RegistrationOrigin.WRITE
    ) -> None:
        """Records a new or changed registration."""
        now = self.clock.now()
        server = self.leaving_servers.as_announced(server)
        known = self.directory.find(server.server_id)
        joined = known is None or known.server.incarnation != server.incarnation
        state = known.server.state if known is not None else None
        entry = self.directory.register(server, now, origin)
        if entry is None:
            log_event(
                "server-registration-stale",
                server=server.incarnation,
                newest_started_ms=self.directory.newest_started_ms(server.server_id),
                origin=origin.value,
            )
            return
        if entry.draining_since is not None and server.state is ServerState.READY:
            log_event(
                "server-drain-kept",
                server=server.incarnation,
                draining_seconds=round(now - entry.draining_since, 3),
            )
            server = entry.server
        tracker = self.trackers.get(server.incarnation)
        # The copy may be from the time before a server that is known had warmed up.
        is_current = tracker is None or origin is not RegistrationOrigin.RESTORED_SNAPSHOT
        if tracker is None:
            tracker = ServerTracker(server)
            self.trackers[server.incarnation] = tracker
        tracker.server = server
        self._close_if_leaving(server.incarnation)
        cold_seconds = server.cold_ms / MILLISECONDS_PER_SECOND
        if cold_seconds > 0 and is_current:
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

    def mark_leaving(self, incarnation: ServerIncarnation, announced_at: float) -> None:
        """Records that a server announced, in an answer to this daemon, that it leaves.

        This daemon is bound by it, whatever the store says of this incarnation afterwards.
        """
        if self.leaving_servers.record(incarnation, announced_at):
            self._close_if_leaving(incarnation)
            self.refresh()

    def record_pause(self, tracker: ServerTracker, until: float) -> bool:
        """Records that a server wants no requests until a time; returns whether it was earlier."""
        is_later = tracker.record_pause(until, self.clock.now(), self.fleet_position)
        pool = self.dispatcher.pools.get(tracker.server.service)
        if pool is not None:
            pool.record_pause(tracker)
        return is_later

    def _close_if_leaving(self, incarnation: ServerIncarnation) -> None:
        announced_at = self.leaving_servers.announced_at(incarnation)
        if announced_at is None:
            return
        self.directory.mark_leaving(incarnation, announced_at)
        tracker = self.trackers.get(incarnation)
        if tracker is not None:
            tracker.send_window.close_at(announced_at + self.drain_seconds(tracker.server.service))

    def drain_seconds(self, service: str) -> float:
        """Returns for how long a server of a service gets requests after it began to leave."""
        pool = self.dispatcher.pools.get(service)
        if pool is None or not pool.keyed:
            return 0.0
        return self.settings.bounds.drain_seconds * KEYED_DRAIN_FRACTION

    def unregister_server(self, server_id: str) -> None:
        """Records that a registration was deleted.

        During an outage of the store and for a grace time after it, the server stays in the
        directory.
        """
        gone = self.directory.record_deletion(server_id, self.clock.now())
        log_event("server-unregistered", server=server_id, gone=gone)

    def set_evacuated(self, data_centre: str, requested: bool) -> None:
        """Records the start or end of an evacuation; after its end, the servers count as cold."""
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

    def mark_store_restored(self) -> None:
        """Records that the store came back from a copy: it may lack what this daemon has read."""
        self.directory.mark_store_restored(self.clock.now())
        log_event(
            "restored-store-read",
            servers=len(self.directory.entries),
            evacuations=len(self.directory.evacuated),
        )

    def refresh(self) -> None:
        """Updates the service pools after a change of configuration, registrations or time."""
        now = self.clock.now()
        for server_id in self.directory.expire(now):
            log_event(
                "server-gone",
                server=server_id,
                reason="registration still missing at the end of the grace time",
            )
        for data_centre in self.directory.lapsed_evacuations(now):
            self.set_evacuated(data_centre, False)
        for server in self.directory.take_lasting_registrations(now):
            self.register_server(server)
        if self.routes is None:
            return
        for service in self.routes.services.values():
            self._refresh_service(service, now)
        self._remove_absent_servers(now)

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns this daemon's retry budget for a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = self.retry_budgets[service] = RetryBudget(self._retry_limits())
        return budget

    def _retry_limits(self) -> RetryBudgetLimits:
        bounds = self.settings.bounds
        return RetryBudgetLimits(
            bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_seconds
        )

    def connection_pool(self, tracker: ServerTracker) -> ServerConnectionPool:
        """Returns the connection pool of a server, and creates it at the first call."""
        incarnation = tracker.server.incarnation
        pool = self.connection_pools.get(incarnation)
        if pool is None:
            pool = self.connection_pools[incarnation] = ServerConnectionPool(
                tracker.server, self.clock, self.codec, tracker.send_window, self.receive_limits
            )
        return pool

    def drop_idle_connections(self) -> None:
        """Closes connections to servers that have been idle for longer than their time-out."""
        for pool in self.connection_pools.values():
            pool.evict_idle()

    def _refresh_service(self, service: Service, now: float) -> None:
        pool = self.dispatcher.pools.get(service.name)
        limits = self._service_limits(service, self.fleet_position)
        if pool is None:
            pool = ServicePool(service.keyed, limits)
            self.dispatcher.pools[service.name] = pool
            table = self.ownership_tables.get(service.name)
            if table is not None:
                pool.set_table(table, now)
        pool.keyed = service.keyed
        pool.limits = limits
        entries = [
            entry
            for entry in self.directory.entries.values()
            if entry.server.service == service.name and self._accepts_requests(entry, service, now)
        ]
        trackers = {
            entry.server.incarnation: self.trackers[entry.server.incarnation] for entry in entries
        }
        if trackers != pool.trackers:
            pool.trackers = trackers

    def _accepts_requests(self, entry: DirectoryEntry, service: Service, now: float) -> bool:
        if not self.directory.is_presumed_alive(entry):
            return False
        if self.directory.is_eligible(entry):
            return True
        if not service.keyed:
            return False
        evacuated_at = self.directory.evacuated.get(entry.server.data_centre)
        drain_starts = [at for at in (entry.draining_since, evacuated_at) if at is not None]
        return bool(drain_starts) and now < min(drain_starts) + self.drain_seconds(service.name)

    def _service_limits(self, service: Service, position: FleetPosition) -> ServiceLimits:
        bounds = self.settings.bounds
        cold = ColdLimit(
            service.max_cold_requests_per_second, bounds.cold_factor, bounds.cold_extra
        )
        # A restarted server is cold, and without the store this daemon does not learn of restarts.
        # A keyed service is exempt: its restarted server runs no requests before it is granted
        # keys, and a table with the server's new incarnation reaches this daemon by the store.
        assume_cold = not service.keyed and (
            self.store_calls_failing or not self.directory.store_reachable
        )
        return ServiceLimits(
            cold, service.connection_limit, position, self.settings.data_centre, assume_cold
        )

    def _remove_absent_servers(self, now: float) -> None:
        present = {entry.server.incarnation for entry in self.directory.entries.values()}
        for incarnation in list(self.connection_pools):
            if incarnation not in present:
                self.connection_pools.pop(incarnation).close()
        for incarnation in list(self.trackers):
            tracker = self.trackers[incarnation]
            # A pause still counts if the registration only lapsed and comes back.
            is_paused = now < tracker.send_window.opens_at
            if incarnation not in present and not tracker.in_flight and not is_paused:
                del self.trackers[incarnation]
