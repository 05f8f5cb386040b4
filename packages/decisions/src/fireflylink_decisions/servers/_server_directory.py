"""Directory of registered backend servers, and which of them may get keys and requests."""

from fireflylink_core import BackendServer, ServerIncarnation, ServerState
from fireflylink_decisions.servers._departures import DepartureLog
from fireflylink_decisions.servers._registration_origin import RegistrationOrigin
from fireflylink_decisions.servers._stale_registrations import (
    REGISTRATION_LAPSE_SECONDS,
    STALE_REGISTRATION_SECONDS,
    StaleRegistrations,
)

REGISTRATION_GRACE_SECONDS = 2.0
"""A server whose registration expired during an outage of the store registers again within this
time after the store has become reachable."""


class DirectoryEntry:
    """A registered server, and whether it is about to leave.

    ``registration_missing`` is set when the registration was deleted during an outage of the store
    or within the grace time after it: it may have expired although the server still runs, and may
    come back. ``missing_in_copy`` is set when it is missing because the store came back from a copy
    that was made before. ``draining_since`` is when the server was first seen to drain.
    """

    __slots__ = (
        "draining_since",
        "joined_at",
        "missing_in_copy",
        "registration_missing",
        "server",
    )

    def __init__(self, server: BackendServer, joined_at: float) -> None:
        self.server = server
        self.joined_at = joined_at
        self.registration_missing = False
        self.missing_in_copy = False
        self.draining_since: float | None = None


class ServerDirectory:
    """The server registrations in the store, as far as this daemon has read them.

    ``evacuated`` maps each data centre whose evacuation is requested to the time at which this
    daemon learned of it. ``unconfirmed_evacuations`` are those of them that a
    restored store lacks: they hold until the grace time ends, in which operators write them again.
    ``stale`` are the registrations in the store that are ignored.

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
        "unconfirmed_evacuations",
    )

    def __init__(self) -> None:
        self.entries: dict[str, DirectoryEntry] = {}
        self.evacuated: dict[str, float] = {}
        self.unconfirmed_evacuations: set[str] = set()
        self.departure_log = DepartureLog()
        self.stale = StaleRegistrations()
        self.store_reachable = True
        self.grace_ends_at = float("-inf")

    def register(
        self,
        server: BackendServer,
        now: float,
        origin: RegistrationOrigin = RegistrationOrigin.WRITE,
    ) -> DirectoryEntry | None:
        """Records a registration; returns the server's entry, or None if the registration is stale.

        A new incarnation, address or service makes a new entry. A registration of an older
        incarnation than one that was registered before is stale: it was held up on its way, and
        keys that are granted to that incarnation would be taken by its successor. So is one of a
        server that has left, in a restored store, until the server writes it anew. An incarnation
        that was seen to drain stays draining, whatever it or a restored store says later.
        """
        if self._is_superseded(server):
            self.stale.record(server, origin, now + STALE_REGISTRATION_SECONDS)
            return None
        if self._is_restored_after_departure(server, origin):
            self.stale.record(server, origin, now + REGISTRATION_LAPSE_SECONDS)
            return None
        self.stale.discard(server.server_id)
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
        entry.missing_in_copy = False
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

    def _is_superseded(self, server: BackendServer) -> bool:
        return 0 < server.started_ms < self.newest_started_ms(server.server_id)

    def _is_restored_after_departure(
        self, server: BackendServer, origin: RegistrationOrigin
    ) -> bool:
        if origin is RegistrationOrigin.WRITE or server.server_id in self.entries:
            return False
        if origin is RegistrationOrigin.RESTORED_SNAPSHOT:
            return self.departure_log.find(server.incarnation) is not None
        return self.stale.has(server.incarnation)

    def mark_leaving(self, incarnation: ServerIncarnation, announced_at: float) -> None:
        """Records that an incarnation announced that it leaves, before its registration said so."""
        entry = self.entries.get(incarnation.server_id)
        if entry is None or entry.server.started_ms > incarnation.started_ms:
            return
        entry.server = entry.server.replace(state=ServerState.DRAINING)
        if entry.draining_since is None or announced_at < entry.draining_since:
            entry.draining_since = announced_at

    def record_deletion(self, server_id: str, now: float) -> bool:
        """Records that a registration was deleted; returns whether the server is removed as well.

        During an outage of the store, or within the grace time after it, a registration may have
        expired although its server still runs. The server then stays until
        ``REGISTRATION_GRACE_SECONDS`` after the store has become reachable again. A draining
        server is removed at once, because it is leaving anyway.
        """
        self.stale.discard(server_id)
        entry = self.entries.get(server_id)
        if entry is None:
            return False
        draining = entry.server.state is ServerState.DRAINING
        if draining or (self.store_reachable and now >= self.grace_ends_at):
            self._remove(server_id, now)
            return True
        entry.registration_missing = True
        return False

    def record_listing(
        self, server_ids: frozenset[str], now: float, is_restored: bool = False
    ) -> list[str]:
        """Records the ids of all registrations in the store; returns the servers that are removed.

        Servers with other ids are treated as in ``record_deletion``.
        """
        if is_restored:
            for server_id, entry in self.entries.items():
                was_registered = not entry.registration_missing
                entry.missing_in_copy |= was_registered and server_id not in server_ids
        known = self.entries.keys() | self.stale.registrations.keys()
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
            self.stale.mark_store_reachable(now)

    def mark_store_restored(self, now: float) -> None:
        """Marks the store as restored from a copy; this starts the grace time.

        What was written to the store after the copy was made is written again in this time.
        """
        self.grace_ends_at = max(self.grace_ends_at, now + REGISTRATION_GRACE_SECONDS)
        self.unconfirmed_evacuations = set(self.evacuated)

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
        """Returns the registrations that have lasted although they were taken for stale.

        They are to be registered again, and are then accepted. A newer incarnation, which would
        have overwritten the registration, is removed.
        """
        if not self.store_reachable or now < self.grace_ends_at:
            return []
        lasting = self.stale.lasting(now)
        for server in lasting:
            if self._is_superseded(server):
                self.entries.pop(server.server_id, None)
                self.departure_log.forget(server.server_id)
        return lasting

    def _remove(self, server_id: str, now: float) -> None:
        entry = self.entries.pop(server_id)
        self.departure_log.record(entry.server.incarnation, entry.draining_since, now)

    def set_evacuated(self, data_centre: str, requested: bool, now: float) -> bool:
        """Records that an evacuation is requested or has ended; returns whether that is new."""
        self.unconfirmed_evacuations.discard(data_centre)
        if requested == (data_centre in self.evacuated):
            return False
        if requested:
            self.evacuated[data_centre] = now
        else:
            del self.evacuated[data_centre]
        return True

    def ended_evacuations(self, listed: set[str]) -> list[str]:
        """Returns the evacuations that have ended, as a snapshot lists only those of ``listed``.

        Unconfirmed evacuations have not.
        """
        return [
            data_centre
            for data_centre in self.evacuated
            if data_centre not in listed and data_centre not in self.unconfirmed_evacuations
        ]

    def lapsed_evacuations(self, now: float) -> list[str]:
        """Returns the evacuations that are still unconfirmed after the grace time."""
        if not self.store_reachable or now < self.grace_ends_at:
            return []
        return list(self.unconfirmed_evacuations)

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
        whose registration is missing is presumed to have left, unless the store came back from a
        copy: then it has registered after the copy was made.
        """
        if not entry.registration_missing or entry.missing_in_copy:
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
