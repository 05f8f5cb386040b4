"""Datagrams between daemons, as MessagePack: load reports, notices, fragments, claims of deciders.

A datagram is a list: the number of its message type, then the fields of the message.
"""

import msgpack
from returns.result import Failure, Result, Success

from fireflylink_core import (
    FIRST_KEY,
    LAST_KEY,
    BaseValue,
    ChangeFragment,
    KeyRange,
    ServerIncarnation,
)
from fireflylink_protocol._errors import RecordError
from fireflylink_protocol._numbers import checked_integer

LOAD_REPORT_TYPE = 1
GRANT_NOTICE_TYPE = 2
CRASH_NOTICE_TYPE = 3
CHANGE_FRAGMENT_TYPE = 4
DECIDER_CLAIM_TYPE = 5
DECIDER_RETIRED_TYPE = 6
MAX_REPORTED_KEYS = 400
"""Limit that keeps a load report without service times below 1,500 bytes, so that no link fragments
the datagram. Each key takes up to 3 bytes.
"""

MAX_COUNT = 1_000_000_000
"""Limit on requests in a report, which the decider adds up and multiplies."""

MAX_TOTAL_MS = 1_000_000_000_000
"""Limit on the sum of service times in a report."""


class ServerServiceTime(BaseValue):
    """How long a server took for a number of requests that one daemon sent to it.

    ``total_ms`` is the sum of the service times of ``request_count`` requests, in milliseconds. The
    time in the daemon's queue is not included. Requests that probably waited in the server's queue
    are left out, and the expected effect of that queue on requests that timed out is removed.
    """

    __slots__ = ("request_count", "server_id", "total_ms")

    def __init__(self, server_id: str, request_count: int, total_ms: int) -> None:
        self.server_id = server_id
        self.request_count = request_count
        self.total_ms = total_ms


class LoadReport(BaseValue):
    """The requests for a service with keys that a daemon received since its last report.

    ``requests`` is their number and ``keys`` holds their keys: a random sample if there were more
    than ``MAX_REPORTED_KEYS``, otherwise all of them in arrival order. ``service_times`` covers the
    requests since service times were last reported. A daemon sends one report for each service at
    the same time, all with the same ``sequence``, which increases by 1 each time and restarts with
    the daemon.
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
    """States that a server incarnation crashed while it ran a request.

    ``fingerprint`` is a digest of the request, the same for each attempt of a caller. The receivers
    refuse requests that have crashed several incarnations.
    """

    __slots__ = ("fingerprint", "incarnation")

    def __init__(self, fingerprint: bytes, incarnation: ServerIncarnation) -> None:
        self.fingerprint = fingerprint
        self.incarnation = incarnation


class DeciderClaim(BaseValue):
    """States that a daemon is the decider, and asks the receiver not to be one any more.

    ``revision`` is that of the sender's decider record. A receiver that decides by an older record
    steps down, as it may do without the store.
    """

    __slots__ = ("instance", "revision")

    def __init__(self, instance: str, revision: int) -> None:
        self.instance = instance
        self.revision = revision


class DeciderRetired(BaseValue):
    """States that a daemon sends no commands by a decider record older than ``revision``.

    It answers a ``DeciderClaim``, and stays true: no command is on its way any more.
    """

    __slots__ = ("instance", "revision")

    def __init__(self, instance: str, revision: int) -> None:
        self.instance = instance
        self.revision = revision


Datagram = LoadReport | GrantNotice | CrashNotice | ChangeFragment | DeciderClaim | DeciderRetired
"""A decoded message; its encoded form is the content of one UDP datagram."""


def encode_datagram(message: Datagram) -> bytes:
    """Returns the bytes of a datagram."""
    fields: list[object]
    if isinstance(message, LoadReport):
        fields = [
            LOAD_REPORT_TYPE,
            message.instance,
            message.service,
            message.sequence,
            message.requests,
            list(message.keys),
            [
                [service_time.server_id, service_time.request_count, service_time.total_ms]
                for service_time in message.service_times
            ],
        ]
    elif isinstance(message, CrashNotice):
        incarnation = message.incarnation
        fields = [
            CRASH_NOTICE_TYPE,
            message.fingerprint,
            incarnation.server_id,
            incarnation.started_ms,
        ]
    elif isinstance(message, DeciderClaim):
        fields = [DECIDER_CLAIM_TYPE, message.instance, message.revision]
    elif isinstance(message, DeciderRetired):
        fields = [DECIDER_RETIRED_TYPE, message.instance, message.revision]
    elif isinstance(message, ChangeFragment):
        fields = [
            CHANGE_FRAGMENT_TYPE,
            message.instance,
            message.after,
            message.revision,
            message.index,
            message.count,
            message.payload,
            message.outages,
            message.contact_age_ms,
        ]
    else:
        keys = message.keys
        fields = [GRANT_NOTICE_TYPE, message.service, keys.first, keys.last, message.fence]
    packed: bytes = msgpack.packb(fields)
    return packed


def decode_datagram(datagram: bytes) -> Result[Datagram, RecordError]:
    """Returns the message of a datagram, or an error for bytes that no daemon sends."""
    try:
        message_type, *fields = msgpack.unpackb(datagram)
        if message_type == LOAD_REPORT_TYPE:
            return Success(_decode_load_report(*fields))
        if message_type == GRANT_NOTICE_TYPE:
            return Success(_decode_grant_notice(*fields))
        if message_type == CRASH_NOTICE_TYPE:
            return Success(_decode_crash_notice(*fields))
        if message_type == CHANGE_FRAGMENT_TYPE:
            return Success(_decode_change_fragment(*fields))
        if message_type == DECIDER_CLAIM_TYPE:
            return Success(_decode_decider_claim(*fields))
        if message_type == DECIDER_RETIRED_TYPE:
            return Success(_decode_decider_retired(*fields))
        return Failure(RecordError(f"datagram type {message_type!r} is not known"))
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
    return LoadReport(
        str(instance),
        str(service),
        checked_integer(sequence),
        checked_integer(requests, maximum=MAX_COUNT),
        tuple(checked_integer(key, FIRST_KEY, LAST_KEY) for key in keys),
        tuple(_decode_service_time(*entry) for entry in service_times),
    )


def _decode_service_time(
    server_id: object, request_count: object, total_ms: object
) -> ServerServiceTime:
    return ServerServiceTime(
        str(server_id),
        checked_integer(request_count, 1, MAX_COUNT),
        checked_integer(total_ms, maximum=MAX_TOTAL_MS),
    )


def _decode_crash_notice(fingerprint: bytes, server_id: str, started_ms: int) -> CrashNotice:
    # ``bytes`` of a number would be that many zeros.
    if not isinstance(fingerprint, bytes):
        raise ValueError("the fingerprint of a request must be bytes")
    incarnation = ServerIncarnation(str(server_id), checked_integer(started_ms))
    return CrashNotice(fingerprint, incarnation)


def _decode_change_fragment(
    instance: str,
    after: int,
    revision: int,
    index: int,
    count: int,
    payload: bytes,
    outages: int,
    contact_age_ms: int,
) -> ChangeFragment:
    if not isinstance(payload, bytes):
        raise ValueError("the payload of a fragment must be bytes")
    return ChangeFragment(
        str(instance),
        checked_integer(after),
        checked_integer(revision),
        checked_integer(index),
        checked_integer(count),
        payload,
        checked_integer(outages),
        checked_integer(contact_age_ms),
    )


def _decode_decider_claim(instance: str, revision: int) -> DeciderClaim:
    return DeciderClaim(str(instance), checked_integer(revision, 1))


def _decode_decider_retired(instance: str, revision: int) -> DeciderRetired:
    return DeciderRetired(str(instance), checked_integer(revision, 1))


def _decode_grant_notice(service: str, first: int, last: int, fence: int) -> GrantNotice:
    first = checked_integer(first, FIRST_KEY, LAST_KEY)
    last = checked_integer(last, first, LAST_KEY)
    return GrantNotice(str(service), KeyRange(first, last), checked_integer(fence))
