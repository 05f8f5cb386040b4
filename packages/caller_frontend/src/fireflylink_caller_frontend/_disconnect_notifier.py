"""Noticing that a caller has left while its request is in progress."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from fireflylink_caller_frontend._handler import BaseDisconnectNotifier

READABLE = 1


class SocketDisconnectNotifier(BaseDisconnectNotifier):
    """Watches the connection of a request for its end.

    Bytes of a next request that arrive early end the watch: whether the caller has disconnected
    shows when they are read.
    """

    __slots__ = ("actions", "left", "sock", "watcher")

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.actions: list[Callable[[], None]] = []
        self.left = False
        self.watcher = gevent.get_hub().loop.io(sock.fileno(), READABLE)
        self.watcher.start(self._readable)

    def on_disconnect(self, action: Callable[[], None]) -> None:
        if self.left:
            action()
        else:
            self.actions.append(action)

    def stop(self) -> None:
        """Ends the watch."""
        self.watcher.stop()
        self.watcher.close()

    def _readable(self) -> None:
        self.watcher.stop()
        if not self._ended():
            return
        self.left = True
        for action in self.actions:
            action()

    def _ended(self) -> bool:
        try:
            # The flag keeps the look from waiting: this runs in the event loop.
            return not self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
