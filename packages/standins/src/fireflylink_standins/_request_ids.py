"""Request ids for generated load."""

import random
import uuid

RANDOM_BITS = 80
TIMESTAMP_SHIFT = 80
VERSION_MASK = 0xF << 76
VERSION_BITS = 0x7 << 76
VARIANT_MASK = 0x3 << 62
VARIANT_BITS = 0x2 << 62


def make_request_id(wall_ms: int, source: random.Random) -> str:
    """Returns a UUIDv7 for a wall-clock time in milliseconds, random otherwise."""
    number = (wall_ms << TIMESTAMP_SHIFT) | source.getrandbits(RANDOM_BITS)
    number = (number & ~VERSION_MASK) | VERSION_BITS
    number = (number & ~VARIANT_MASK) | VARIANT_BITS
    return str(uuid.UUID(int=number))
