"""Servers that have announced, in answers to this daemon, that they leave."""

from fireflylink_core import BackendServer, ServerIncarnation, ServerState

MAX_LEAVING_SERVERS = 4096
"""Servers that are remembered; beyond it, those that announced it first are forgotten."""


class LeavingServers:
    """Since when each incarnation of a server has announced that it leaves.

    An announcement is final: nothing that the store says of this incarnation or of an earlier one
    takes it back, because a registration may be old, and a restored store may return it. Only a
    later incarnation of the server may get requests again.

    Example::

        leaving.record(incarnation, now)
        server = leaving.as_announced(server)  # draining, whatever its registration says
    """

    __slots__ = ("_announcements",)

    def __init__(self) -> None:
        self._announcements: dict[str, tuple[int, float]] = {}

    def record(self, incarnation: ServerIncarnation, announced_at: float) -> bool:
        """Records an announcement; returns whether it is the first one of the incarnation."""
        if self._is_known(incarnation.server_id, incarnation.started_ms):
            return False
        self._announcements.pop(incarnation.server_id, None)
        self._announcements[incarnation.server_id] = (incarnation.started_ms, announced_at)
        if len(self._announcements) > MAX_LEAVING_SERVERS:
            del self._announcements[next(iter(self._announcements))]
        return True

    def announced_at(self, incarnation: ServerIncarnation) -> float | None:
        """Returns since when an incarnation, or a later one, has announced that it leaves."""
        if not self._is_known(incarnation.server_id, incarnation.started_ms):
            return None
        return self._announcements[incarnation.server_id][1]

    def as_announced(self, server: BackendServer) -> BackendServer:
        """Returns a registration as draining if its server has announced that it leaves."""
        if not self._is_known(server.server_id, server.started_ms):
            return server
        return server.replace(state=ServerState.DRAINING)

    def _is_known(self, server_id: str, started_ms: int) -> bool:
        announcement = self._announcements.get(server_id)
        return announcement is not None and started_ms <= announcement[0]
