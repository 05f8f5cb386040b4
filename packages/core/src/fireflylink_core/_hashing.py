"""Mapping of keys to shards and ranking of candidates."""

import xxhash

RENDEZVOUS_SCALE = float(1 << 64)


def key_hash(key: str) -> int:
    """Returns the 64-bit hash of a key."""
    return int(xxhash.xxh64_intdigest(key.encode()))


def shard_of_hash(hashed_key: int, shard_count: int) -> int:
    """Returns the index of the shard that holds a hashed key."""
    return hashed_key % shard_count


def shard_of(key: str, shard_count: int) -> int:
    """Returns the index of the shard that holds a key.

    Example::

        shard_of("room-17", shard_count=256)
    """
    return shard_of_hash(key_hash(key), shard_count)


def rendezvous_score(member: str, subject: str) -> float:
    """Returns the rendezvous weight, in [0, 1), of a member for a subject."""
    return float(xxhash.xxh64_intdigest(f"{member}\0{subject}".encode())) / RENDEZVOUS_SCALE
