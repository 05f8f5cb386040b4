"""Guards against documents that do not decode to the value they were encoded from."""

import hypothesis
from hypothesis import strategies as st
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from fireflylink_core import (
    AppliedNote,
    BackendServer,
    Configuration,
    DataCentre,
    DataCentreState,
    Isolation,
    OwnershipTable,
    ServerGroup,
    ServerState,
    Service,
    ServiceKind,
    ShardRange,
    ShardRecord,
)
from fireflylink_documents import (
    decode_configuration,
    decode_table,
    encode_configuration,
    encode_table,
)

MAX_VALUE_BYTES = 1 << 20

names = st.text(st.characters(categories=("L", "N", "P")), min_size=1, max_size=12)
counts = st.integers(0, (1 << 64) - 1)
positive = st.integers(1, 1000)
some_names = st.lists(names, max_size=4, unique=True).map(tuple)
ranges = st.builds(ShardRange, st.integers(0, 9), st.integers(0, 9), some_names)
data_centres = st.builds(DataCentre, names, names, st.sampled_from(DataCentreState))
services = st.builds(
    Service,
    names,
    st.sampled_from(ServiceKind),
    some_names,
    positive,
    st.sampled_from(Isolation),
    positive,
    positive,
    counts.filter(lambda value: value <= 1_000_000),
    st.floats(0.0, 100.0),
    st.lists(ranges, max_size=3).map(tuple),
)
servers = st.builds(
    BackendServer,
    names,
    names,
    names,
    names,
    st.integers(1, 65535),
    positive,
    positive,
    st.booleans(),
    st.sampled_from(ServerState),
)
notes = st.builds(AppliedNote, names, positive, names, counts, names)
records = st.builds(
    ShardRecord,
    names,
    counts,
    counts,
    counts,
    names,
    st.none() | names,
    st.none() | names,
    st.none() | names,
)
groups = st.builds(ServerGroup, names, names, some_names, names, counts, counts, st.none() | names)
record_maps = st.dictionaries(st.tuples(names, counts), records, max_size=12)
tables = st.builds(
    OwnershipTable,
    names,
    counts,
    names,
    some_names,
    st.lists(groups, max_size=4).map(lambda found: {entry.group_id: entry for entry in found}),
    record_maps,
    record_maps,
    some_names,
)
configurations = st.builds(
    Configuration,
    counts,
    st.lists(data_centres, max_size=3).map(lambda found: {entry.name: entry for entry in found}),
    st.lists(services, max_size=3).map(lambda found: {entry.name: entry for entry in found}),
    st.lists(servers, max_size=3).map(lambda found: {entry.server_id: entry for entry in found}),
    st.lists(notes, max_size=3).map(tuple),
)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(configurations)
def test_configuration_round_trip(configuration: Configuration) -> None:
    """A field that is lost or changed would put another configuration in force."""
    decoded = decode_configuration(encode_configuration(configuration))
    assert_that(decoded, Equals(Success(configuration)))


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(tables)
def test_table_round_trip(table: OwnershipTable) -> None:
    """A record that is lost or changed would give a shard another owner."""
    assert_that(decode_table(encode_table(table)), Equals(Success(table)))


def test_table_with_thousands_of_shards_fits_the_platform(large_table: OwnershipTable) -> None:
    """A table above 1 MB could no longer be written."""
    assert_that(len(encode_table(large_table)), LessThan(MAX_VALUE_BYTES // 4))
