"""Directory of registered backend servers, and which of them may get keys and requests."""

from fireflylink_core import BackendServer, ServerState
from fireflylink_decisions.servers._departures import DepartureLog

REGISTRATION_GRACE_SECONDS = 2.0
"""A server whose registration expired during an outage of the store registers again within this
time after the store has become reachable."""

STALE_REGISTRATION_SECONDS = 30.0
"""A registration of an older incarnation is ignored for this long. A late one of an ended server
has been overwritten or has expired by then, also if several heartbeats were held up; the one of a
server that was restarted with its clock set back remains, and is used from then on."""


class DirectoryEntry:
    """A registered server, and whether it is about to leave.

    ``registration_missing`` is set when the registration was deleted during an outage of the store
    or within the grace time after it: it may have expired although the server still runs, and may
    come back. ``draining_since`` is when the server was first seen to drain.
    """

    __slots__ = ("draining_since", "joined_at", "registration_missing", "server")

    def __init__(self, server: BackendServer, joined_at: float) -> None:
        self.server = server
        self.joined_at = joined_at
        self.registration_missing = False
        self.draining_since: float | None = None


class StaleRegistration:
    """A registration that is ignored until ``accept_at``: a newer incarnation was registered."""

    __slots__ = ("accept_at", "server")

    def __init__(self, server: BackendServer, accept_at: float) -> None:
        self.server = server
        self.accept_at = accept_at


class ServerDirectory:
    """The server registrations in the store, as far as this daemon has read them.

    ``evacuated`` maps each data centre whose evacuation is requested to the time at which this
    daemon learned of it. ``stale`` maps the ids of servers to the registrations in the store that
    are ignored.

    Example::

        directory.register(server, now)
        for entry in directory.eligible_servers("holds"):
            ...
    """

    __slots__ = (
        "departure_log",
        "entries",
        "evacuated",
        "grace_ends_at",
        "stale",
        "store_reachable",
    )

    def __init__(self) -> None:
        self.entries: dict[str, DirectoryEntry] = {}
        self.evacuated: dict[str, float] = {}
        self.departure_log = DepartureLog()
        self.stale: dict[str, StaleRegistration] = {}
        self.store_reachable = True
        self.grace_ends_at = float("-inf")

    def register(self, server: BackendServer, now: float) -> DirectoryEntry | None:
        """Records a registration; returns the server's entry, or None if the registration is stale.

        A new incarnation, address or service makes a new entry. A registration of an older
        incarnation than one that was registered before is stale: it was held up on its way, and
        keys that are granted to that incarnation would be taken by its successor. An incarnation
        that was seen to drain stays draining, whatever it or a restored store says later.
        """
        if self._is_stale(server):
            self._record_stale(server, now)
            return None
        self.stale.pop(server.server_id, None)
        entry = self.entries.get(server.server_id)
        draining_since = self._first_seen_draining(server, entry, now)
        if draining_since is not None:
            server = server.replace(state=ServerState.DRAINING)
        if (
            entry is None
            or entry.server.incarnation != server.incarnation
            or _endpoint_changed(entry.server, server)
        ):
            entry = DirectoryEntry(server, now)
            self.entries[server.server_id] = entry
        entry.server = server
        entry.registration_missing = False
        entry.draining_since = draining_since
        return entry

    def _first_seen_draining(
        self, server: BackendServer, entry: DirectoryEntry | None, now: float
    ) -> float | None:
        """Returns when the incarnation of a registration was first seen to drain, None if never."""
        # With an unknown start time, a ready registration may be that of a restarted server.
        drains = server.state is ServerState.DRAINING
        is_known = entry is not None and entry.server.incarnation == server.incarnation
        if entry is not None and is_known and (drains or server.started_ms):
            first_seen_at = entry.draining_since
        else:
            departure = self.departure_log.find(server.incarnation)
            first_seen_at = None if departure is None else departure.draining_since
        return now if first_seen_at is None and drains else first_seen_at

    def newest_started_ms(self, server_id: str) -> int:
        """Returns the start time of the newest incarnation that was registered, 0 without one."""
        entry = self.entries.get(server_id)
        registered_ms = 0 if entry is None else entry.server.started_ms
        return max(registered_ms, self.departure_log.newest_started_ms(server_id))

    def _is_stale(self, server: BackendServer) -> bool:
        return 0 < server.started_ms < self.newest_started_ms(server.server_id)

    def _record_stale(self, server: BackendServer, now: float) -> None:
        known = self.stale.get(server.server_id)
        if known is None or known.server.incarnation != server.incarnation:
            known = StaleRegistration(server, now + STALE_REGISTRATION_SECONDS)
            self.stale[server.server_id] = known
        known.server = server

    def record_deletion(self, server_id: str, now: float) -> bool:
        """Records that a registration was deleted; returns whether the server is removed as well.

        During an outage of the store, or within the grace time after it, a registration may have
        expired although its server still runs. The server then stays until
        ``REGISTRATION_GRACE_SECONDS`` after the store has become reachable again. A draining
        server is removed at once, because it is leaving anyway.
        """
        self.stale.pop(server_id, None)
        entry = self.entries.get(server_id)
        if entry is None:
            return False
        draining = entry.server.state is ServerState.DRAINING
        if draining or (self.store_reachable and now >= self.grace_ends_at):
            self._remove(server_id, now)
            return True
        entry.registration_missing = True
        return False

    def record_listing(self, server_ids: frozenset[str], now: float) -> list[str]:
        """Records the ids of all registrations in the store; returns the servers that are removed.

        Servers with other ids are treated as in ``record_deletion``.
        """
        known = (*self.entries, *self.stale.keys() - self.entries.keys())
        absent = [server_id for server_id in known if server_id not in server_ids]
        return [server_id for server_id in absent if self.record_deletion(server_id, now)]

    def mark_store_unreachable(self) -> None:
        """Marks the store as unreachable from this daemon."""
        self.store_reachable = False

    def mark_store_reachable(self, now: float) -> None:
        """Marks the store as reachable; after an outage this starts the grace time."""
        if not self.store_reachable:
            self.store_reachable = True
            self.grace_ends_at = now + REGISTRATION_GRACE_SECONDS

    def expire(self, now: float) -> list[str]:
        """Removes and returns servers whose registration is missing after the grace time."""
        if not self.store_reachable or now < self.grace_ends_at:
            return []
        expired = [
            server_id for server_id, entry in self.entries.items() if entry.registration_missing
        ]
        for server_id in expired:
            self._remove(server_id, now)
        self.departure_log.expire(now)
        return expired

    def take_lasting_registrations(self, now: float) -> list[BackendServer]:
        """Returns registrations that have been stale for ``STALE_REGISTRATION_SECONDS``.

        They are to be registered again, and are then accepted: the newer incarnations, which would
        have overwritten them, are removed.
        """
        if not self.store_reachable or now < self.grace_ends_at:
            return []
        lasting = [stale.server for stale in self.stale.values() if now >= stale.accept_at]
        for server in lasting:
            self.entries.pop(server.server_id, None)
            self.departure_log.forget(server.server_id)
        return lasting

    def _remove(self, server_id: str, now: float) -> None:
        entry = self.entries.pop(server_id)
        self.departure_log.record(entry.server.incarnation, entry.draining_since, now)

    def set_evacuated(self, data_centre: str, requested: bool, now: float) -> bool:
        """Records that an evacuation is requested or has ended; returns whether that is new."""
        if requested == (data_centre in self.evacuated):
            return False
        if requested:
            self.evacuated[data_centre] = now
        else:
            del self.evacuated[data_centre]
        return True

    def find(self, server_id: str) -> DirectoryEntry | None:
        """Returns the entry of a server, None for an unknown one."""
        return self.entries.get(server_id)

    def is_eligible(self, entry: DirectoryEntry) -> bool:
        """Whether a server may be given keys, or requests without a key.

        It may not while it drains or its data centre is evacuated.
        """
        return (
            entry.server.state is ServerState.READY
            and entry.server.data_centre not in self.evacuated
        )

    def is_presumed_alive(self, entry: DirectoryEntry) -> bool:
        """Whether a server is presumed to run, although its registration may be missing.

        If most registrations of its service are missing, they are presumed to have expired during
        the outage of the store. If most are present, the servers could reach the store, and one
        whose registration is missing is presumed to have left.
        """
        if not entry.registration_missing:
            return True
        service = entry.server.service
        peers = [other for other in self.entries.values() if other.server.service == service]
        return 2 * sum(other.registration_missing for other in peers) > len(peers)

    def eligible_servers(self, service: str) -> list[DirectoryEntry]:
        """Returns the entries of a service's servers that are eligible."""
        return [
            entry
            for entry in self.entries.values()
            if entry.server.service == service and self.is_eligible(entry)
        ]


def _endpoint_changed(old: BackendServer, new: BackendServer) -> bool:
    return (old.host, old.port, old.service) != (new.host, new.port, new.service)
