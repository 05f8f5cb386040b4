"""Telling a crashed server from one that merely ended a connection."""

import gevent

from fireflylink_core import BackendServer, BaseClock, CallerRequest
from fireflylink_daemon._log import log_problem
from fireflylink_daemon._peers import PeerSocket
from fireflylink_decisions.poison import fingerprint_of
from fireflylink_http_client import HttpConnection, NotSentError
from fireflylink_protocol import CrashNotice

LOOK_AFTER_SECONDS = 0.1
CONNECT_SECONDS = 0.3


class CrashWatch:
    """Looks whether a server still listens after connections to it ended without an answer.

    Servers that are full also end connections, so a reset alone blames nobody. One look serves all
    requests whose connections ended at about the same time.
    """

    __slots__ = ("clock", "peers", "waiting")

    def __init__(self, peers: PeerSocket, clock: BaseClock) -> None:
        self.peers = peers
        self.clock = clock
        self.waiting: dict[BackendServer, list[bytes]] = {}

    def note_ended(self, server: BackendServer, request: CallerRequest) -> None:
        """Takes a request whose connection ended without an answer."""
        fingerprint = fingerprint_of(request)
        known = self.waiting.get(server)
        if known is not None:
            known.append(fingerprint)
            return
        self.waiting[server] = [fingerprint]
        gevent.spawn_later(LOOK_AFTER_SECONDS, self._look, server)

    def _look(self, server: BackendServer) -> None:
        fingerprints = self.waiting.pop(server)
        connection = HttpConnection(self.clock)
        try:
            connection.connect(server.host, server.port, self.clock.now() + CONNECT_SECONDS)
        except NotSentError as error:
            log_problem(
                "server-crashed",
                server=server.incarnation,
                requests=len(fingerprints),
                problem=error,
            )
            for fingerprint in fingerprints:
                self.peers.notify(CrashNotice(fingerprint, server.incarnation))
        finally:
            connection.close()
