"""Datagrams between daemons: load reports, grant notices and crash notices, as MessagePack."""

import msgpack
from returns.result import Failure, Result, Success

from fireflylink_core import BaseValue, KeyRange, ServerIncarnation
from fireflylink_protocol._errors import RecordError

LOAD_REPORT_FORMAT = 1
GRANT_NOTICE_FORMAT = 2
CRASH_NOTICE_FORMAT = 3
MAX_REPORTED_KEYS = 400
"""Keeps a load report below 1,500 bytes, so that no link fragments the datagram."""

MAX_KEY = 65535


class ServerServiceTime(BaseValue):
    """How long a server took for a number of requests that one daemon sent to it.

    ``answers`` is the number of requests, ``total_ms`` the sum of their service times in
    milliseconds, without the time in queues.
    """

    __slots__ = ("answers", "server_id", "total_ms")

    def __init__(self, server_id: str, answers: int, total_ms: int) -> None:
        self.server_id = server_id
        self.answers = answers
        self.total_ms = total_ms


class LoadReport(BaseValue):
    """The requests for a service with keys that a daemon received since its last report.

    ``requests`` is their number and ``keys`` holds their keys: a random sample if there were more
    than ``MAX_REPORTED_KEYS``, otherwise all of them in arrival order. ``service_times`` covers the
    answers since service times were last reported. ``sequence`` increases with each round of
    reports and restarts with the daemon.
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
    """States that the owner of ``keys`` has confirmed to hold them under ``fence``."""

    __slots__ = ("fence", "keys", "service")

    def __init__(self, service: str, keys: KeyRange, fence: int) -> None:
        self.service = service
        self.keys = keys
        self.fence = fence


class CrashNotice(BaseValue):
    """States that a server incarnation crashed while it ran the request with ``fingerprint``."""

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
            LOAD_REPORT_FORMAT,
            message.instance,
            message.service,
            message.sequence,
            message.requests,
            list(message.keys),
            [
                [service_time.server_id, service_time.answers, service_time.total_ms]
                for service_time in message.service_times
            ],
        ]
    elif isinstance(message, CrashNotice):
        incarnation = message.incarnation
        fields = [
            CRASH_NOTICE_FORMAT,
            message.fingerprint,
            incarnation.server_id,
            incarnation.started_ms,
        ]
    else:
        keys = message.keys
        fields = [GRANT_NOTICE_FORMAT, message.service, keys.first, keys.last, message.fence]
    packed: bytes = msgpack.packb(fields)
    return packed


def decode_datagram(datagram: bytes) -> Result[Datagram, RecordError]:
    """Returns the message of a datagram, or an error for bytes that no daemon sends."""
    try:
        message_format, *fields = msgpack.unpackb(datagram)
        if message_format == LOAD_REPORT_FORMAT:
            return Success(_decode_load_report(*fields))
        if message_format == GRANT_NOTICE_FORMAT:
            return Success(_decode_grant_notice(*fields))
        if message_format == CRASH_NOTICE_FORMAT:
            return Success(_decode_crash_notice(*fields))
        return Failure(RecordError(f"datagram format {message_format!r} is not known"))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return Failure(RecordError(f"the datagram cannot be decoded: {error!r}"))


def _decode_load_report(
    instance: str,
    service: str,
    sequence: int,
    requests: int,
    keys: list[int],
    service_times: list[list[object]],
) -> LoadReport:
    if not all(0 <= key <= MAX_KEY for key in keys):
        raise ValueError("a reported key is outside of 0 to 65535")
    return LoadReport(
        str(instance),
        str(service),
        int(sequence),
        int(requests),
        tuple(keys),
        tuple(_decode_service_time(*entry) for entry in service_times),
    )


def _decode_service_time(server_id: object, answers: object, total_ms: object) -> ServerServiceTime:
    if not isinstance(answers, int) or not isinstance(total_ms, int) or answers < 1:
        raise ValueError("service times must be integers, of at least one answer")
    return ServerServiceTime(str(server_id), answers, total_ms)


def _decode_crash_notice(fingerprint: bytes, server_id: str, started_ms: int) -> CrashNotice:
    return CrashNotice(bytes(fingerprint), ServerIncarnation(str(server_id), int(started_ms)))


def _decode_grant_notice(service: str, first: int, last: int, fence: int) -> GrantNotice:
    return GrantNotice(str(service), KeyRange(int(first), int(last)), int(fence))
