"""Detection of crashed backend servers."""

import gevent

from fireflylink_core import BackendServer, BaseClock, CallerRequest
from fireflylink_daemon._log import log_problem
from fireflylink_daemon._peers import PeerSocket
from fireflylink_decisions.poison import fingerprint_of
from fireflylink_http_client import HttpConnection, NotSentError
from fireflylink_protocol import CrashNotice

CHECK_DELAY_SECONDS = 0.1
"""The time from the first connection that a server closed until the check, which then covers all
connections that the server closed meanwhile."""

CONNECT_TIMEOUT_SECONDS = 0.3
"""A server that accepts no connection within this time counts as crashed."""


class CrashDetector:
    """Checks whether a server still accepts connections after it closed one without an answer.

    Overloaded servers also close connections, so a closed connection alone does not show that a
    request crashed the server. If the check cannot connect to the server, the server counts as
    crashed, and all daemons are notified of the requests that it left unanswered. One check covers
    all connections of a server that were closed within ``CHECK_DELAY_SECONDS``.
    """

    __slots__ = ("clock", "peers", "pending_fingerprints")

    def __init__(self, peers: PeerSocket, clock: BaseClock) -> None:
        self.peers = peers
        self.clock = clock
        self.pending_fingerprints: dict[BackendServer, list[bytes]] = {}

    def record_lost_connection(self, server: BackendServer, request: CallerRequest) -> None:
        """Records a request whose connection the server closed without an answer."""
        fingerprint = fingerprint_of(request)
        pending = self.pending_fingerprints.get(server)
        if pending is not None:
            pending.append(fingerprint)
            return
        self.pending_fingerprints[server] = [fingerprint]
        gevent.spawn_later(CHECK_DELAY_SECONDS, self._check, server)

    def _check(self, server: BackendServer) -> None:
        fingerprints = self.pending_fingerprints.pop(server)
        connection = HttpConnection(self.clock)
        try:
            connection.connect(server.host, server.port, self.clock.now() + CONNECT_TIMEOUT_SECONDS)
        except NotSentError as error:
            log_problem(
                "server-crashed",
                server=server.incarnation,
                requests=len(fingerprints),
                problem=error,
            )
            for fingerprint in fingerprints:
                self.peers.broadcast(CrashNotice(fingerprint, server.incarnation))
        finally:
            connection.close()
