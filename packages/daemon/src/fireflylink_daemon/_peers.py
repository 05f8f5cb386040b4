"""Datagrams between daemons: load reports to the decider, notices of granted keys."""

import random

import gevent
from gevent import socket
from returns.result import Success

from fireflylink_daemon._log import log_problem
from fireflylink_daemon._messages import ReportReceived
from fireflylink_daemon._task import BaseTask
from fireflylink_daemon._view_task import ViewTask
from fireflylink_protocol import (
    MAX_REPORTED_KEYS,
    GrantNotice,
    LoadReport,
    MemberRecord,
    decode_datagram,
    encode_datagram,
)

REPORT_SECONDS = 0.25
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


class PeerSocket:
    """Owns the datagram socket between daemons.

    It sends this daemon's load reports to the decider and the decider's notices to all members, and
    receives those of others. A datagram may be lost: reports come again, and a daemon without a
    notice tries the new owner after a time.
    """

    __slots__ = (
        "counter",
        "greenlets",
        "instance",
        "ownership",
        "sequence",
        "serving",
        "sock",
        "view",
    )

    def __init__(
        self, instance: str, host: str, port: int, counter: KeyCounter, view: ViewTask
    ) -> None:
        self.instance = instance
        self.counter = counter
        self.view = view
        self.serving = view.serving
        self.ownership: BaseTask | None = None
        self.sequence = 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, port))
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Starts to send and to receive."""
        self.greenlets = [gevent.spawn(self._receive), gevent.spawn(self._report)]

    def stop(self) -> None:
        """Ends both."""
        for greenlet in self.greenlets:
            greenlet.kill(block=False)

    def notify(self, notice: GrantNotice) -> None:
        """Tells every member that moved keys have arrived at their new owner."""
        datagram = encode_datagram(notice)
        for member in self.serving.members.values():
            self._send(datagram, member)

    def _receive(self) -> None:
        while True:
            datagram, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            decoded = decode_datagram(datagram)
            if not isinstance(decoded, Success):
                log_problem("datagram-unreadable", sender=sender[0], problem=decoded.failure())
                continue
            message = decoded.unwrap()
            if isinstance(message, GrantNotice):
                self.view.post(message)
            elif self.ownership is not None:
                self.ownership.post(ReportReceived(message))

    def _report(self) -> None:
        while True:
            gevent.sleep(REPORT_SECONDS)
            decider = self.view.decider
            for service, requests, keys in self.counter.take():
                if decider is not None:
                    self.sequence += 1
                    report = LoadReport(self.instance, service, self.sequence, requests, keys)
                    self._send(encode_datagram(report), decider)

    def _send(self, datagram: bytes, member: MemberRecord) -> None:
        try:
            self.sock.sendto(datagram, (member.host, member.port))
        except OSError as error:
            log_problem("datagram-not-sent", to=member.instance, problem=error)
