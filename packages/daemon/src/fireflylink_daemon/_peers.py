"""Datagrams between daemons: load reports, notices of grants and crashes, claims of deciders."""

import abc
import itertools
import random

import gevent
from gevent import socket
from returns.result import Success

from fireflylink_core import ChangeFragment, yield_to_event_loop
from fireflylink_daemon._log import log_problem
from fireflylink_daemon._messages import (
    DeciderClaimReceived,
    DeciderRetiredReceived,
    LoadReportReceived,
)
from fireflylink_daemon._task import BaseTask, spawn_supervised
from fireflylink_daemon._view_task import ViewTask
from fireflylink_protocol import (
    MAX_REPORTED_KEYS,
    CrashNotice,
    Datagram,
    DeciderClaim,
    DeciderRetired,
    GrantNotice,
    LoadReport,
    ServerServiceTime,
    decode_datagram,
    encode_datagram,
)

REPORT_INTERVAL_SECONDS = 0.25
SERVICE_TIMES_INTERVAL_IN_ROUNDS = 8
"""Only each eighth round of reports includes service times, which keeps the other reports short."""

MILLISECONDS_PER_SECOND = 1000.0
DATAGRAMS_PER_TURN = 16
"""After so many datagrams other greenlets run: a read that need not wait does not let them."""

MAX_DATAGRAM_BYTES = 2048
"""Longest datagram that is received whole; what exceeds it is cut off."""


class KeyCounter:
    """Collects what this daemon's load reports contain, by service.

    ``keys`` are keys of requests (a random sample, if there are many) and ``requests`` is the
    number of requests since the last report. ``service_times`` are the service times at each
    server, in seconds, since the last report that included them. ``sequence`` is the number of
    calls of ``take_reports``; the reports carry it.
    """

    __slots__ = ("keys", "requests", "sequence", "service_times")

    def __init__(self) -> None:
        self.keys: dict[str, list[int]] = {}
        self.requests: dict[str, int] = {}
        self.service_times: dict[str, dict[str, list[float]]] = {}
        self.sequence = 0

    def record_service_time(self, service: str, server_id: str, seconds: float) -> None:
        """Records the service time of one request at a server."""
        self.service_times.setdefault(service, {}).setdefault(server_id, []).append(seconds)

    def record_request(self, service: str, key: int) -> None:
        """Records a request and its key.

        With more than ``MAX_REPORTED_KEYS`` requests, the keys are a uniform random sample.
        """
        keys = self.keys.setdefault(service, [])
        count = self.requests.get(service, 0) + 1
        self.requests[service] = count
        if len(keys) < MAX_REPORTED_KEYS:
            keys.append(key)
            return
        position = random.randrange(count)
        if position < MAX_REPORTED_KEYS:
            keys[position] = key

    def take_reports(self, instance: str) -> list[LoadReport]:
        """Returns a report for each service that had requests since the last call."""
        self.sequence += 1
        with_service_times = self.sequence % SERVICE_TIMES_INTERVAL_IN_ROUNDS == 0
        reports = [
            LoadReport(
                instance,
                service,
                self.sequence,
                self.requests[service],
                tuple(keys),
                self._take_service_times(service) if with_service_times else (),
            )
            for service, keys in self.keys.items()
        ]
        self.keys = {}
        self.requests = {}
        return reports

    def _take_service_times(self, service: str) -> tuple[ServerServiceTime, ...]:
        service_times = self.service_times.pop(service, {})
        return tuple(
            ServerServiceTime(server_id, len(seconds), int(sum(seconds) * MILLISECONDS_PER_SECOND))
            for server_id, seconds in service_times.items()
        )


class BaseFragmentReceiver(abc.ABC):
    """Receives the fragments of the store's changes that relays send to this daemon."""

    __slots__ = ()

    @abc.abstractmethod
    def post_fragment(self, fragment: ChangeFragment) -> None:
        """Takes a fragment without waiting."""


class PeerSocket:
    """Owns the socket for datagrams between daemons.

    It sends this daemon's load reports to the decider and its notices to all members, and posts
    received ones to ``ownership_task``, ``view_task`` and ``store_reader``. Datagrams may be lost:
    reports are sent periodically, and a daemon that did not receive the notice of a grant sends
    requests to the new owner after a time-out.
    """

    __slots__ = (
        "counter",
        "greenlets",
        "instance",
        "ownership_task",
        "routing_state",
        "sock",
        "store_reader",
        "view_task",
    )

    def __init__(
        self, instance: str, host: str, port: int, counter: KeyCounter, view_task: ViewTask
    ) -> None:
        self.instance = instance
        self.counter = counter
        self.view_task = view_task
        self.routing_state = view_task.routing_state
        self.ownership_task: BaseTask | None = None
        self.store_reader: BaseFragmentReceiver | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, port))
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Starts the greenlets that receive datagrams and send load reports."""
        self.greenlets = [
            spawn_supervised("peer-receiver", self._receive_datagrams),
            spawn_supervised("peer-sender", self._send_reports),
        ]

    def stop(self) -> None:
        """Kills the greenlets without waiting until they have ended."""
        for greenlet in self.greenlets:
            greenlet.kill(block=False)

    def broadcast(self, notice: GrantNotice | CrashNotice) -> None:
        """Sends a notice to every member, including this daemon."""
        datagram = encode_datagram(notice)
        for member in self.routing_state.members.values():
            self._send_datagram(datagram, member.host, member.port)

    def send(self, message: Datagram, host: str, port: int) -> None:
        """Sends a datagram to one daemon, whether it is a member or not."""
        self._send_datagram(encode_datagram(message), host, port)

    def send_fragments(
        self, fragments: tuple[ChangeFragment, ...], receivers: tuple[str, ...]
    ) -> None:
        """Sends fragments of the store's changes to the members with the given names."""
        datagrams = [encode_datagram(fragment) for fragment in fragments]
        for name in receivers:
            member = self.routing_state.members.get(name)
            if member is not None:
                for datagram in datagrams:
                    self._send_datagram(datagram, member.host, member.port)

    def _receive_datagrams(self) -> None:
        for count in itertools.count(1):
            if count % DATAGRAMS_PER_TURN == 0:
                yield_to_event_loop()
            datagram, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            decoded = decode_datagram(datagram)
            if not isinstance(decoded, Success):
                log_problem("datagram-unreadable", sender=sender[0], problem=decoded.failure())
                continue
            message = decoded.unwrap()
            if isinstance(message, GrantNotice | CrashNotice):
                self.view_task.post(message)
            elif isinstance(message, ChangeFragment):
                if self.store_reader is not None:
                    self.store_reader.post_fragment(message)
            elif self.ownership_task is not None:
                self.ownership_task.post(_message_to_ownership(message, sender))

    def _send_reports(self) -> None:
        while True:
            gevent.sleep(REPORT_INTERVAL_SECONDS)
            decider = self.view_task.decider_record
            for report in self.counter.take_reports(self.instance):
                if decider is not None:
                    self._send_datagram(encode_datagram(report), decider.host, decider.port)

    def _send_datagram(self, datagram: bytes, host: str, port: int) -> None:
        try:
            self.sock.sendto(datagram, (host, port))
        except OSError as error:
            log_problem("datagram-not-sent", to=host, problem=error)


def _message_to_ownership(
    message: LoadReport | DeciderClaim | DeciderRetired, sender: tuple[str, int]
) -> LoadReportReceived | DeciderClaimReceived | DeciderRetiredReceived:
    if isinstance(message, DeciderClaim):
        return DeciderClaimReceived(message, sender)
    if isinstance(message, DeciderRetired):
        return DeciderRetiredReceived(message, sender)
    return LoadReportReceived(message)
