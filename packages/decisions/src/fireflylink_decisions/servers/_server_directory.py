"""Which backend servers exist, and which of them may get work."""

from fireflylink_core import BackendServer, ServerState

REGISTRATION_GRACE_SECONDS = 2.0
"""Registrations that expired while the store was away are back this long after its return."""


class DirectoryEntry:
    """A registered server and what is known of its leaving.

    ``registration_missing`` tells that its registration expired around an outage of the store, so
    that it may come back. ``draining_since`` is when it was first seen to drain.
    """

    __slots__ = ("draining_since", "joined_at", "registration_missing", "server")

    def __init__(self, server: BackendServer, joined_at: float) -> None:
        self.server = server
        self.joined_at = joined_at
        self.registration_missing = False
        self.draining_since: float | None = None


class ServerDirectory:
    """The registrations that the store holds, as far as this daemon has read them.

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
        """Records a registration; a new incarnation makes a new entry."""
        entry = self.entries.get(server.server_id)
        if (
            entry is None
            or entry.server.incarnation != server.incarnation
            or _moved(entry.server, server)
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

    def remove(self, server_id: str, now: float) -> bool:
        """Takes the end of a registration; returns whether the server is gone for good.

        Around an outage of the store a registration may have expired although its server lives:
        it stays until ``REGISTRATION_GRACE_SECONDS`` after the store's return.
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

    def keep_only(self, server_ids: frozenset[str], now: float) -> list[str]:
        """Takes a whole reading of the store; returns the servers that are gone for good."""
        absent = [server_id for server_id in self.entries if server_id not in server_ids]
        return [server_id for server_id in absent if self.remove(server_id, now)]

    def mark_store_unreachable(self) -> None:
        """Takes note that the store does not answer this daemon."""
        self.store_reachable = False

    def mark_store_reachable(self, now: float) -> None:
        """Takes note that the store answers; after an outage the grace time begins."""
        if not self.store_reachable:
            self.store_reachable = True
            self.grace_ends_at = now + REGISTRATION_GRACE_SECONDS

    def expire(self, now: float) -> list[str]:
        """Drops registrations that were still missing at the end of the grace time."""
        if not self.store_reachable or now < self.grace_ends_at:
            return []
        gone = [
            server_id for server_id, entry in self.entries.items() if entry.registration_missing
        ]
        for server_id in gone:
            del self.entries[server_id]
        return gone

    def set_evacuated(self, data_centre: str, requested: bool, now: float) -> bool:
        """Takes an evacuation or its end; returns whether that is news."""
        if requested == (data_centre in self.evacuated):
            return False
        if requested:
            self.evacuated[data_centre] = now
        else:
            del self.evacuated[data_centre]
        return True

    def find(self, server_id: str) -> DirectoryEntry | None:
        """Returns the entry of a server."""
        return self.entries.get(server_id)

    def is_eligible(self, entry: DirectoryEntry) -> bool:
        """Whether new work may be placed on a server."""
        return (
            entry.server.state is ServerState.READY
            and entry.server.data_centre not in self.evacuated
        )

    def is_presumed_alive(self, entry: DirectoryEntry) -> bool:
        """Whether a missing registration is presumed to have expired rather than ended.

        When most servers of a service are registered, the store was not away for them, and a
        missing one has left; when most are missing, their registrations expired.
        """
        if not entry.registration_missing:
            return True
        service = entry.server.service
        same = [found for found in self.entries.values() if found.server.service == service]
        return 2 * sum(found.registration_missing for found in same) > len(same)

    def eligible_servers(self, service: str) -> list[DirectoryEntry]:
        """Returns the servers of a service that may get new work."""
        return [
            entry
            for entry in self.entries.values()
            if entry.server.service == service and self.is_eligible(entry)
        ]


def _moved(old: BackendServer, new: BackendServer) -> bool:
    return (old.host, old.port, old.service) != (new.host, new.port, new.service)
