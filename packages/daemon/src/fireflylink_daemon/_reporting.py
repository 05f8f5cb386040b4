"""Load reports: the keys that this daemon was asked for, sent to the decider."""

import random

import gevent
from gevent import socket

from fireflylink_core import BaseClock
from fireflylink_daemon._log import log_problem
from fireflylink_daemon._messages import ReportReceived
from fireflylink_daemon._task import BaseTask
from fireflylink_daemon._view_task import ViewTask
from fireflylink_protocol import MAX_REPORTED_KEYS, LoadReport, encode_report

REPORT_SECONDS = 0.4
MAX_DATAGRAM_BYTES = 2048


class KeyCounter:
    """Keys that were asked for since the last report, by service."""

    __slots__ = ("keys", "requests")

    def __init__(self) -> None:
        self.keys: dict[str, list[int]] = {}
        self.requests: dict[str, int] = {}

    def add(self, service: str, key: int) -> None:
        """Counts a request; beyond the size of a report, keys are sampled at random."""
        keys = self.keys.setdefault(service, [])
        count = self.requests.get(service, 0) + 1
        self.requests[service] = count
        if len(keys) < MAX_REPORTED_KEYS:
            keys.append(key)
            return
        position = random.randrange(count)
        if position < MAX_REPORTED_KEYS:
            keys[position] = key

    def take(self) -> list[tuple[str, int, tuple[int, ...]]]:
        """Returns service, requests and keys since the last call."""
        taken = [
            (service, self.requests[service], tuple(keys)) for service, keys in self.keys.items()
        ]
        self.keys = {}
        self.requests = {}
        return taken


class ReportSocket:
    """Owns the datagram socket: sends this daemon's reports and receives those of others."""

    __slots__ = (
        "clock",
        "counter",
        "greenlets",
        "instance",
        "ownership",
        "sequence",
        "sock",
        "view",
    )

    def __init__(
        self,
        instance: str,
        host: str,
        port: int,
        counter: KeyCounter,
        view: ViewTask,
        ownership: BaseTask,
        clock: BaseClock,
    ) -> None:
        self.instance = instance
        self.counter = counter
        self.view = view
        self.ownership = ownership
        self.clock = clock
        self.sequence = 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, port))
        self.greenlets: list[gevent.Greenlet] = []

    @property
    def port(self) -> int:
        """The port that reports are taken on."""
        return int(self.sock.getsockname()[1])

    def start(self) -> None:
        """Starts to send and to receive."""
        self.greenlets = [gevent.spawn(self._receive), gevent.spawn(self._send)]

    def stop(self) -> None:
        """Ends both."""
        for greenlet in self.greenlets:
            greenlet.kill(block=False)

    def _receive(self) -> None:
        while True:
            datagram, _ = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            self.ownership.post(ReportReceived(datagram))

    def _send(self) -> None:
        while True:
            gevent.sleep(REPORT_SECONDS)
            decider = self.view.decider
            for service, requests, keys in self.counter.take():
                if decider is not None:
                    self._send_report(decider.host, decider.port, service, requests, keys)

    def _send_report(
        self, host: str, port: int, service: str, requests: int, keys: tuple[int, ...]
    ) -> None:
        self.sequence += 1
        report = LoadReport(self.instance, service, self.sequence, requests, keys)
        try:
            self.sock.sendto(encode_report(report), (host, port))
        except OSError as error:
            log_problem("report-not-sent", decider=f"{host}:{port}", problem=error)
