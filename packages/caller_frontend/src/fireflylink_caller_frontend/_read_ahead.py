"""Reading of a caller's connection ahead of the request that is in progress."""

import io
from typing import Any

from gevent import socket

from fireflylink_core import yield_to_event_loop

MAX_READ_AHEAD_BYTES = 64 * 1024
"""Limit on the bytes of later requests that are kept while one is in progress."""


class ReadAheadStream(io.RawIOBase):
    """The bytes that a caller sends on its connection, some of which may be read early.

    While a request is in progress, ``read_ahead`` takes the bytes of requests that were sent behind
    it. Without that, the end of the connection behind these bytes would not be noticed. They are
    returned by later reads in their order. After ``stop_reading_ahead``, none are taken any more.

    The readers of heads, bodies and trailers go on as long as bytes are there. So a read lets other
    greenlets run if the one before it did not have to wait: ``had_to_wait`` is whether it did.
    """

    def __init__(self, sock: Any) -> None:
        super().__init__()
        self.sock = sock
        self.kept = bytearray()
        self.ended = False
        self.had_to_wait = True
        self.reads_ahead = True
        self.may_read = True

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Reads bytes into a buffer; waits for some with the time-out of the socket."""
        if not self.may_read:
            return None
        if not self.had_to_wait:
            yield_to_event_loop()
        self.had_to_wait = False
        if self.kept:
            count = min(len(buffer), len(self.kept))
            buffer[:count] = self.kept[:count]
            del self.kept[:count]
            return count
        if self.ended:
            return 0
        try:
            return int(self.sock._sock.recv_into(buffer, 0, socket.MSG_DONTWAIT))
        except BlockingIOError:
            self.had_to_wait = True
            return int(self.sock.recv_into(buffer))

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes have arrived that no read has returned."""
        if self.kept:
            return True
        try:
            # The flags are needed because a blocking call here would stop the event loop.
            return bool(self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def read_behind(self, reader: io.BufferedReader) -> bytes:
        """Returns what this stream or its ``reader`` holds behind the bytes that were used."""
        self.may_read = False
        try:
            # Without bytes of its own, the reader would wait for some of this stream.
            buffered = reader.peek()
        finally:
            self.may_read = True
        return buffered + bytes(self.kept)

    def stop_reading_ahead(self) -> None:
        """Leaves the bytes of later requests unread from now on."""
        self.reads_ahead = False

    def read_ahead(self) -> bool:
        """Keeps the bytes that have arrived; returns whether more of them can be kept.

        Afterwards ``ended`` is true if the caller has closed or reset the connection, unless bytes
        that are left unread come before its end.
        """
        if not self.reads_ahead:
            return self._peek_end()
        while len(self.kept) < MAX_READ_AHEAD_BYTES:
            try:
                data = self.sock._sock.recv(
                    MAX_READ_AHEAD_BYTES - len(self.kept), socket.MSG_DONTWAIT
                )
            except BlockingIOError:
                return True
            except OSError:
                data = b""
            if not data:
                self.ended = True
                return False
            self.kept += data
        return False

    def _peek_end(self) -> bool:
        """Notices the end of the connection; returns whether it can still be noticed later."""
        try:
            self.ended = not self.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            self.ended = True
        return False
