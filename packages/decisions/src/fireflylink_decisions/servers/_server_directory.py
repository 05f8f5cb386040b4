"""Directory of registered backend servers, and which of them may get keys and requests."""

from fireflylink_core import BackendServer, ServerIncarnation, ServerState

REGISTRATION_GRACE_SECONDS = 2.0
"""A server whose registration expired during an outage of the store registers again within this
time after the store has become reachable."""


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


class ServerDirectory:
    """The server registrations in the store, as far as this daemon has read them.

    ``evacuated`` maps each data centre whose evacuation is requested to the time at which this
    daemon learned of it.

    Example::

        directory.register(server, now)
        for entry in directory.eligible_servers("holds"):
            ...
    """

    __slots__ = ("entries", "evacuated", "grace_ends_at", "store_reachable")

    def __init__(self) -> None:
        self.entries: dict[str, DirectoryEntry] = {}
        self.evacuated: dict[str, float] = {}
        self.store_reachable = True
        self.grace_ends_at = float("-inf")

    def register(self, server: BackendServer, now: float) -> DirectoryEntry:
        """Records a registration. A new incarnation, address or service makes a new entry."""
        entry = self.entries.get(server.server_id)
        if (
            entry is None
            or entry.server.incarnation != server.incarnation
            or _endpoint_changed(entry.server, server)
        ):
            entry = DirectoryEntry(server, now)
            self.entries[server.server_id] = entry
        entry.server = server
        entry.registration_missing = False
        if server.state is not ServerState.DRAINING:
            entry.draining_since = None
        elif entry.draining_since is None:
            entry.draining_since = now
        return entry

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
        entry = self.entries.get(server_id)
        if entry is None:
            return False
        draining = entry.server.state is ServerState.DRAINING
        if draining or (self.store_reachable and now >= self.grace_ends_at):
            del self.entries[server_id]
            return True
        entry.registration_missing = True
        return False

    def record_listing(self, server_ids: frozenset[str], now: float) -> list[str]:
        """Records the ids of all registrations in the store; returns the servers that are removed.

        Servers with other ids are treated as in ``record_deletion``.
        """
        absent = [server_id for server_id in self.entries if server_id not in server_ids]
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
            del self.entries[server_id]
        return expired

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
