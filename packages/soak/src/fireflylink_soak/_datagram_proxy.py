"""A loopback proxy for the datagrams that daemons send to each other."""

import random

import gevent
from gevent import socket

MAX_DATAGRAM_BYTES = 65536


class DatagramFault:
    """What a proxy does to datagrams; the default passes them on unchanged.

    ``lost_fraction`` of them are swallowed and ``repeated_fraction`` passed on twice. Each is
    delayed by up to ``max_delay_seconds``, so that they may overtake each other.
    """

    __slots__ = ("lost_fraction", "max_delay_seconds", "repeated_fraction")

    def __init__(
        self,
        lost_fraction: float = 0.0,
        repeated_fraction: float = 0.0,
        max_delay_seconds: float = 0.0,
    ) -> None:
        self.lost_fraction = lost_fraction
        self.repeated_fraction = repeated_fraction
        self.max_delay_seconds = max_delay_seconds


class DatagramProxy:
    """Receives datagrams on one port and passes them on to another one, subject to ``fault``."""

    __slots__ = ("fault", "generator", "greenlet", "port", "sock", "target_port")

    def __init__(self, port: int, target_port: int, seed: int) -> None:
        self.port = port
        self.target_port = target_port
        self.fault = DatagramFault()
        self.generator = random.Random(seed)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", port))
        self.greenlet = gevent.spawn(self._pass_on)

    def close(self) -> None:
        """Stops the proxy."""
        self.greenlet.kill(block=False)
        self.sock.close()

    def _pass_on(self) -> None:
        while True:
            data, _ = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            fault = self.fault
            if self.generator.random() < fault.lost_fraction:
                continue
            self._send(data, fault)
            if self.generator.random() < fault.repeated_fraction:
                self._send(data, fault)

    def _send(self, data: bytes, fault: DatagramFault) -> None:
        target = ("127.0.0.1", self.target_port)
        if fault.max_delay_seconds:
            delay = self.generator.uniform(0.0, fault.max_delay_seconds)
            gevent.spawn_later(delay, self.sock.sendto, data, target)
        else:
            self.sock.sendto(data, target)
