"""Guards the mapping of keys to shards, on which every ownership record depends."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from fireflylink_core import shard_of


def test_key_keeps_its_shard_across_releases() -> None:
    """A changed hash would silently give each key another owner."""
    assert_that(shard_of("room-17", 256), Equals(172))
