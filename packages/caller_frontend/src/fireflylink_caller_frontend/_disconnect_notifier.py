"""Detection of a caller's disconnect while its request is in progress."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from fireflylink_caller_frontend._handler import BaseDisconnectNotifier

READ_EVENT = 1


class SocketDisconnectNotifier(BaseDisconnectNotifier):
    """Watches the socket of a request until the caller closes it.

    Watching ends early if bytes of a pipelined request arrive. A later disconnect is then detected
    only when the pipelined request is read.
    """

    __slots__ = ("actions", "disconnected", "sock", "watcher")

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.actions: list[Callable[[], None]] = []
        self.disconnected = False
        self.watcher = gevent.get_hub().loop.io(sock.fileno(), READ_EVENT)
        self.watcher.start(self._on_readable)

    def on_disconnect(self, action: Callable[[], None]) -> None:
        if self.disconnected:
            action()
        else:
            self.actions.append(action)

    def stop(self) -> None:
        """Stops watching the socket."""
        self.watcher.stop()
        self.watcher.close()

    def _on_readable(self) -> None:
        self.watcher.stop()
        if not self._is_closed_by_caller():
            return
        self.disconnected = True
        for action in self.actions:
            action()

    def _is_closed_by_caller(self) -> bool:
        try:
            # MSG_DONTWAIT is needed because a blocking call here would stop the event loop.
            return not self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
