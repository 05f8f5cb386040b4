"""Asking many daemons at the same time."""

from collections.abc import Callable
from typing import TypeVar

from gevent.pool import Pool
from returns.result import Result

from fireflylink_operator_client._daemon_reader import BaseDaemonReader, DaemonError
from fireflylink_operator_client._daemon_status import DaemonStatus, decode_status
from fireflylink_operator_client._directory import DaemonAddress

MAX_CONCURRENT_CALLS = 16

T = TypeVar("T")


def ask_all(
    addresses: tuple[DaemonAddress, ...], call: Callable[[DaemonAddress], T]
) -> tuple[tuple[DaemonAddress, T], ...]:
    """Returns the answer of each daemon, in the order of the addresses."""
    answers: list[T] = Pool(MAX_CONCURRENT_CALLS).map(call, addresses)
    return tuple(zip(addresses, answers, strict=True))


def read_status(
    reader: BaseDaemonReader, address: DaemonAddress
) -> Result[DaemonStatus, DaemonError]:
    """Returns the status of a daemon."""
    return reader.status(address).bind(
        lambda payload: decode_status(payload).alt(lambda error: DaemonError(str(error)))
    )
