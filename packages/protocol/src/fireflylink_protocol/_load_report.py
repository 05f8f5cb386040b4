"""Load reports that daemons send to the decider, a datagram each."""

import msgpack
from returns.result import Failure, Result, Success

from fireflylink_core import BaseValue
from fireflylink_protocol._errors import RecordError

REPORT_FORMAT = 1
MAX_REPORTED_KEYS = 400
"""A datagram stays below 1,500 bytes, which no link splits."""

MAX_KEY = 65535


class LoadReport(BaseValue):
    """Keys that a daemon was asked for since its last report, in arrival order.

    ``requests`` is how many there were; ``keys`` is a sample of them when there were more than
    ``MAX_REPORTED_KEYS``. ``sequence`` grows with each report of one life of a daemon.
    """

    __slots__ = ("instance", "keys", "requests", "sequence", "service")

    def __init__(
        self, instance: str, service: str, sequence: int, requests: int, keys: tuple[int, ...]
    ) -> None:
        self.instance = instance
        self.service = service
        self.sequence = sequence
        self.requests = requests
        self.keys = keys


def encode_report(report: LoadReport) -> bytes:
    """Returns the datagram of a report."""
    packed: bytes = msgpack.packb(
        [
            REPORT_FORMAT,
            report.instance,
            report.service,
            report.sequence,
            report.requests,
            list(report.keys),
        ]
    )
    return packed


def decode_report(datagram: bytes) -> Result[LoadReport, RecordError]:
    """Returns the report of a datagram; anything else that arrives on the port is an error."""
    try:
        form, instance, service, sequence, requests, keys = msgpack.unpackb(datagram)
        if form != REPORT_FORMAT or not all(0 <= key <= MAX_KEY for key in keys):
            return Failure(RecordError("the datagram has another format"))
        return Success(
            LoadReport(str(instance), str(service), int(sequence), int(requests), tuple(keys))
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return Failure(RecordError(f"the datagram cannot be read: {error!r}"))
