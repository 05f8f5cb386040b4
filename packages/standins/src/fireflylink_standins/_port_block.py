"""Ports for processes that bind them later, such as daemons that are restarted at one address."""

import socket

FIRST_PORT = 10_240
LAST_PORT = 32_000
"""Below the range from which the kernel takes ports for outgoing connections and for port 0, so
that no other socket gets a port of a block by chance."""

BLOCK_SIZE = 256


class PortBlock:
    """A range of ports that no other ``PortBlock`` on this machine hands out.

    The block is reserved by its first port, which stays bound until ``close``. The others are free
    until the process that was given one binds it, also after that process has been restarted.

    Example::

        block = PortBlock()
        port = block.take()
        ...
        block.close()
    """

    __slots__ = ("next_port", "reservation")

    def __init__(self) -> None:
        """Reserves a block; raises ``OSError`` if all are taken."""
        self.reservation, first = _reserve()
        self.next_port = first + 1

    def take(self) -> int:
        """Returns a port that was not handed out before; raises ``OSError`` at the end."""
        port = self.next_port
        if port % BLOCK_SIZE == 0:
            raise OSError("the block has no more ports")
        self.next_port += 1
        return port

    def close(self) -> None:
        """Lets others reserve the block."""
        self.reservation.close()


def _reserve() -> tuple[socket.socket, int]:
    for first in range(FIRST_PORT, LAST_PORT, BLOCK_SIZE):
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", first))
        except OSError:
            reservation.close()
            continue
        # A socket that only is bound could share its port with one that reuses addresses.
        reservation.listen(1)
        return reservation, first
    raise OSError(f"no free block of ports from {FIRST_PORT} to {LAST_PORT}")
