"""Detection of a caller's disconnect while its request is in progress."""

from collections.abc import Callable
from typing import Any

import gevent

from fireflylink_caller_frontend._handler import BaseDisconnectNotifier
from fireflylink_caller_frontend._read_ahead import ReadAheadStream

READ_EVENT = 1


class SocketDisconnectNotifier(BaseDisconnectNotifier):
    """Watches the socket of a request until the caller closes it.

    Bytes of requests that were sent behind this one are kept in ``stream``. Watching ends early
    only when it keeps as many as it may.
    """

    __slots__ = ("actions", "disconnected", "stream", "watcher")

    def __init__(self, sock: Any, stream: ReadAheadStream) -> None:
        self.stream = stream
        self.actions: list[Callable[[], None]] = []
        # The caller may have left before its request was read, if this process is slow.
        stream.read_ahead()
        self.disconnected = stream.ended
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
        if self.stream.read_ahead():
            return
        self.watcher.stop()
        if not self.stream.ended:
            return
        self.disconnected = True
        for action in self.actions:
            action()
