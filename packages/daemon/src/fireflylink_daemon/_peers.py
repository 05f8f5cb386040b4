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
    CrashNotice,
    GrantNotice,
    LoadReport,
    MemberRecord,
    ServerServiceTime,
    decode_datagram,
    encode_datagram,
)

REPORT_SECONDS = 0.25
TIMES_EACH_REPORTS = 8
MILLISECONDS_PER_SECOND = 1000.0
MAX_DATAGRAM_BYTES = 2048


class KeyCounter:
    """Keys that were asked for, and times of servers, since the last report, by service."""

    __slots__ = ("keys", "reports", "requests", "times")

    def __init__(self) -> None:
        self.keys: dict[str, list[int]] = {}
        self.requests: dict[str, int] = {}
        self.times: dict[str, dict[str, list[float]]] = {}
        self.reports = 0

    def add_time(self, service: str, server_id: str, seconds: float) -> None:
        """Counts an answer of a server and its service time."""
        self.times.setdefault(service, {}).setdefault(server_id, []).append(seconds)

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

    def take(self, instance: str) -> list[LoadReport]:
        """Returns the reports of what came since the last call."""
        self.reports += 1
        with_times = self.reports % TIMES_EACH_REPORTS == 0
        taken = [
            LoadReport(
                instance,
                service,
                self.reports,
                self.requests[service],
                tuple(keys),
                self._take_times(service) if with_times else (),
            )
            for service, keys in self.keys.items()
        ]
        self.keys = {}
        self.requests = {}
        return taken

    def _take_times(self, service: str) -> tuple[ServerServiceTime, ...]:
        times = self.times.pop(service, {})
        return tuple(
            ServerServiceTime(server_id, len(seconds), int(sum(seconds) * MILLISECONDS_PER_SECOND))
            for server_id, seconds in times.items()
        )


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

    def notify(self, notice: GrantNotice | CrashNotice) -> None:
        """Tells every member, this daemon included."""
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
            if isinstance(message, GrantNotice | CrashNotice):
                self.view.post(message)
            elif self.ownership is not None:
                self.ownership.post(ReportReceived(message))

    def _report(self) -> None:
        while True:
            gevent.sleep(REPORT_SECONDS)
            decider = self.view.decider
            for report in self.counter.take(self.instance):
                if decider is not None:
                    self._send(encode_datagram(report), decider)

    def _send(self, datagram: bytes, member: MemberRecord) -> None:
        try:
            self.sock.sendto(datagram, (member.host, member.port))
        except OSError as error:
            log_problem("datagram-not-sent", to=member.instance, problem=error)
