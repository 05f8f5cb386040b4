"""Registrations in the store that are ignored, because they are probably of ended servers."""

from fireflylink_core import BackendServer, ServerIncarnation
from fireflylink_decisions.servers._registration_origin import RegistrationOrigin

STALE_REGISTRATION_SECONDS = 30.0
"""A registration of an older incarnation is ignored for this long. A late one of an ended server
has been overwritten or has expired by then, also if several heartbeats were held up; the one of a
server that was restarted with its clock set back remains, and is used from then on."""

REGISTRATION_LAPSE_SECONDS = 6.0
"""A registration that a restored store has, of a server that had left, is ignored for this long.
That of an ended server expires meanwhile: the store removes it after three heartbeat intervals."""


class StaleRegistration:
    """A registration that is ignored until ``accept_at``."""

    __slots__ = ("accept_at", "server")

    def __init__(self, server: BackendServer, accept_at: float) -> None:
        self.server = server
        self.accept_at = accept_at


class StaleRegistrations:
    """The registrations that are ignored at present, at most one for each server id."""

    __slots__ = ("registrations",)

    def __init__(self) -> None:
        self.registrations: dict[str, StaleRegistration] = {}

    def record(self, server: BackendServer, origin: RegistrationOrigin, accept_at: float) -> None:
        """Records a registration that is ignored until ``accept_at``, or until an earlier time if
        that of the same incarnation is ignored already."""
        # A store that is restored once more may have the registration with a new lifetime.
        if origin is not RegistrationOrigin.RESTORED_SNAPSHOT and self.has(server.incarnation):
            accept_at = self.registrations[server.server_id].accept_at
        self.registrations[server.server_id] = StaleRegistration(server, accept_at)

    def has(self, incarnation: ServerIncarnation) -> bool:
        """Whether the registration of an incarnation is ignored."""
        stale = self.registrations.get(incarnation.server_id)
        return stale is not None and stale.server.incarnation == incarnation

    def discard(self, server_id: str) -> None:
        """Forgets the registration of a server that was overwritten or deleted."""
        self.registrations.pop(server_id, None)

    def mark_store_reachable(self, now: float) -> None:
        """Starts the time in which a registration expires anew: it may stop during an outage."""
        for stale in self.registrations.values():
            stale.accept_at = max(stale.accept_at, now + REGISTRATION_LAPSE_SECONDS)

    def lasting(self, now: float) -> list[BackendServer]:
        """Returns the registrations that have been ignored for long enough."""
        return [stale.server for stale in self.registrations.values() if now >= stale.accept_at]
