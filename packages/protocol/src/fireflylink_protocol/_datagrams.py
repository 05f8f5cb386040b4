"""Datagrams between daemons: load reports, notices of granted keys, notices of crashes."""

import msgpack
from returns.result import Failure, Result, Success

from fireflylink_core import BaseValue, KeyRange, ServerIncarnation
from fireflylink_protocol._errors import RecordError

REPORT_FORMAT = 1
NOTICE_FORMAT = 2
CRASH_FORMAT = 3
MAX_REPORTED_KEYS = 400
"""A datagram stays below 1,500 bytes, which no link splits."""

MAX_KEY = 65535


class ServerServiceTime(BaseValue):
    """How long a server took for some requests of one daemon.

    ``total_ms`` is the sum of the service times without the time in queues.
    """

    __slots__ = ("answers", "server_id", "total_ms")

    def __init__(self, server_id: str, answers: int, total_ms: int) -> None:
        self.server_id = server_id
        self.answers = answers
        self.total_ms = total_ms


class LoadReport(BaseValue):
    """Keys that a daemon was asked for since its last report, in arrival order.

    ``requests`` is how many there were; ``keys`` is a sample of them when there were more than
    ``MAX_REPORTED_KEYS``. ``service_times`` are those of servers that answered since they were last
    sent. ``sequence`` grows with each report of one incarnation of a daemon.
    """

    __slots__ = ("instance", "keys", "requests", "sequence", "service", "service_times")

    def __init__(
        self,
        instance: str,
        service: str,
        sequence: int,
        requests: int,
        keys: tuple[int, ...],
        service_times: tuple[ServerServiceTime, ...] = (),
    ) -> None:
        self.instance = instance
        self.service = service
        self.sequence = sequence
        self.requests = requests
        self.keys = keys
        self.service_times = service_times


class GrantNotice(BaseValue):
    """Keys whose new owner has confirmed to hold them under a fence."""

    __slots__ = ("fence", "keys", "service")

    def __init__(self, service: str, keys: KeyRange, fence: int) -> None:
        self.service = service
        self.keys = keys
        self.fence = fence


class CrashNotice(BaseValue):
    """A request, by its fingerprint, that was running on a server incarnation when it crashed."""

    __slots__ = ("fingerprint", "incarnation")

    def __init__(self, fingerprint: bytes, incarnation: ServerIncarnation) -> None:
        self.fingerprint = fingerprint
        self.incarnation = incarnation


Datagram = LoadReport | GrantNotice | CrashNotice


def encode_datagram(message: Datagram) -> bytes:
    """Returns the bytes of a datagram."""
    fields: list[object]
    if isinstance(message, LoadReport):
        fields = [
            REPORT_FORMAT,
            message.instance,
            message.service,
            message.sequence,
            message.requests,
            list(message.keys),
            [
                [service_times.server_id, service_times.answers, service_times.total_ms]
                for service_times in message.service_times
            ],
        ]
    elif isinstance(message, CrashNotice):
        incarnation = message.incarnation
        fields = [CRASH_FORMAT, message.fingerprint, incarnation.server_id, incarnation.started_ms]
    else:
        keys = message.keys
        fields = [NOTICE_FORMAT, message.service, keys.first, keys.last, message.fence]
    packed: bytes = msgpack.packb(fields)
    return packed


def decode_datagram(datagram: bytes) -> Result[Datagram, RecordError]:
    """Returns the message of a datagram; anything else that arrives on the port is an error."""
    try:
        form, *fields = msgpack.unpackb(datagram)
        if form == REPORT_FORMAT:
            return Success(_report(*fields))
        if form == NOTICE_FORMAT:
            return Success(_notice(*fields))
        if form == CRASH_FORMAT:
            return Success(_crash(*fields))
        return Failure(RecordError(f"format {form!r} is not known"))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return Failure(RecordError(f"the datagram cannot be read: {error!r}"))


def _report(
    instance: str,
    service: str,
    sequence: int,
    requests: int,
    keys: list[int],
    times: list[list[object]],
) -> LoadReport:
    if not all(0 <= key <= MAX_KEY for key in keys):
        raise ValueError("a key is out of range")
    return LoadReport(
        str(instance),
        str(service),
        int(sequence),
        int(requests),
        tuple(keys),
        tuple(_times(*entry) for entry in times),
    )


def _times(server_id: object, answers: object, milliseconds: object) -> ServerServiceTime:
    if not isinstance(answers, int) or not isinstance(milliseconds, int) or answers < 1:
        raise ValueError("service times must be whole numbers")
    return ServerServiceTime(str(server_id), answers, milliseconds)


def _crash(fingerprint: bytes, server_id: str, started_ms: int) -> CrashNotice:
    return CrashNotice(bytes(fingerprint), ServerIncarnation(str(server_id), int(started_ms)))


def _notice(service: str, first: int, last: int, fence: int) -> GrantNotice:
    return GrantNotice(str(service), KeyRange(int(first), int(last)), int(fence))
