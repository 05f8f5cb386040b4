"""Encoding of the store's changes that relays pass on, and their division into datagrams."""

import zlib

import msgpack
from returns.result import Failure, Result, Success

from fireflylink_core import BaseValue, ChangeFragment
from fireflylink_protocol._errors import RecordError
from fireflylink_protocol._numbers import checked_integer

MAX_FRAGMENT_BYTES = 1200
"""Limit that keeps a datagram below 1,500 bytes, so that no link fragments it."""

MAX_FRAGMENTS = 64
"""A batch with more fragments is not sent; the followers read it from the store."""

MAX_PAYLOAD_BYTES = 4 * 1024 * 1024
"""Limit on what a payload may decompress to."""


class RelayedChange(BaseValue):
    """A change of one key of the store; ``value`` is None if the key was deleted."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


def encode_changes(
    instance: str,
    after: int,
    revision: int,
    changes: tuple[RelayedChange, ...],
    outages: int,
    contact_age_ms: int,
) -> tuple[ChangeFragment, ...]:
    """Returns the fragments of a batch.

    If the batch is too large, they are one statement of its revision without the changes.
    """
    packed = msgpack.packb([[change.key, change.value, change.revision] for change in changes])
    payload = zlib.compress(packed)
    count = -(-len(payload) // MAX_FRAGMENT_BYTES)
    if count > MAX_FRAGMENTS:
        return (ChangeFragment(instance, after, revision, 0, 0, b"", outages, contact_age_ms),)
    return tuple(
        ChangeFragment(
            instance,
            after,
            revision,
            index,
            count,
            payload[index * MAX_FRAGMENT_BYTES : (index + 1) * MAX_FRAGMENT_BYTES],
            outages,
            contact_age_ms,
        )
        for index in range(count)
    )


def decode_changes(payload: bytes) -> Result[tuple[RelayedChange, ...], RecordError]:
    """Returns the changes of a payload, or an error for bytes that no relay sends."""
    try:
        decompressor = zlib.decompressobj()
        packed = decompressor.decompress(payload, MAX_PAYLOAD_BYTES)
        changes = tuple(_decode_change(*entry) for entry in msgpack.unpackb(packed))
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as error:
        return Failure(RecordError(f"the changes cannot be decoded: {error!r}"))
    return Success(changes)


def _decode_change(key: object, value: object, revision: object) -> RelayedChange:
    is_value = value is None or isinstance(value, bytes)
    if not isinstance(key, str) or not is_value:
        raise ValueError("a change must have a key, a value and a revision")
    return RelayedChange(
        key, value if isinstance(value, bytes) else None, checked_integer(revision)
    )
