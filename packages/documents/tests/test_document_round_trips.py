"""Guards against documents that do not decode to the value they were encoded from."""

import hypothesis
from hypothesis import strategies as st
from returns.pipeline import is_successful
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
    NoteAdditions,
    NoteChanges,
    NoteWithdrawals,
    OwnershipTable,
    ReleaseNote,
    ServerGroup,
    ServerState,
    Service,
    ServiceKind,
    ShardRange,
    ShardRecord,
)
from fireflylink_documents import (
    apply_changes,
    apply_configuration_changes,
    configuration_changes,
    decode_changes,
    decode_configuration,
    decode_configuration_changes,
    decode_note,
    decode_table,
    encode_changes,
    encode_configuration,
    encode_configuration_changes,
    encode_note,
    encode_table,
    table_changes,
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
    st.ip_addresses().map(str),
    st.integers(1, 65535),
    positive,
    positive,
    st.booleans(),
    st.sampled_from(ServerState),
)
notes = st.builds(AppliedNote, names, positive, names, counts, names, st.just("") | names)
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
entries = configurations.map(
    lambda found: NoteAdditions(found.data_centres, found.services, found.servers)
)
service_changes = st.fixed_dictionaries(
    {"queue_limit": positive},
    optional={
        "ranges": st.lists(ranges, max_size=3).map(tuple),
        "data_centres": some_names,
        "isolation": st.sampled_from(Isolation),
    },
)
release_notes = st.builds(
    ReleaseNote,
    names,
    names,
    counts,
    names,
    st.just("digest"),
    entries,
    st.builds(
        NoteChanges,
        st.dictionaries(names, st.just({"state": DataCentreState.OUT}), max_size=2),
        st.dictionaries(names, service_changes, max_size=2),
        st.dictionaries(names, st.just({"state": ServerState.DRAINING, "slots": 3}), max_size=2),
    ),
    st.builds(NoteWithdrawals, some_names, some_names, some_names),
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


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(release_notes)
def test_note_round_trip(note: ReleaseNote) -> None:
    """A note that decodes to another change would put that change in force."""
    decoded = decode_note(encode_note(note)).unwrap()
    assert_that(decoded.replace(digest=note.digest), Equals(note))


@hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
@hypothesis.given(tables, tables)
def test_table_changes_give_the_later_table(old: OwnershipTable, new: OwnershipTable) -> None:
    """A daemon that applies changes must hold the same table as one that reads the whole of it."""
    new = new.replace(table_id=old.table_id)
    changes = decode_changes(encode_changes(table_changes(old, new))).unwrap()
    assert_that(apply_changes(old, changes), Equals(Success(new)))


@hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
@hypothesis.given(configurations, configurations)
def test_configuration_changes_give_the_later_one(old: Configuration, new: Configuration) -> None:
    """A daemon that applies changes must hold the same configuration as the platform."""
    payload = encode_configuration_changes(configuration_changes(old, new))
    changes = decode_configuration_changes(payload).unwrap()
    assert_that(apply_configuration_changes(old, changes), Equals(Success(new)))


def test_changes_of_few_shards_are_small(large_table: OwnershipTable) -> None:
    """Sending thousands of unchanged records for each move would exceed a daemon's 4 KB/s."""
    moved = large_table.shards["holds", 5].replace(group_id="holds-07", epoch=4)
    shards = {**large_table.shards, ("holds", 5): moved}
    new = large_table.replace(version=13, write_id="write-13", shards=shards)
    assert_that(len(encode_changes(table_changes(large_table, new))), LessThan(512))


def test_changes_of_another_version_are_refused(large_table: OwnershipTable) -> None:
    """Changes applied to another version would give a table that nobody wrote."""
    changes = table_changes(large_table, large_table.replace(version=13, write_id="write-13"))
    other = large_table.replace(write_id="other-write")
    assert_that(is_successful(apply_changes(other, changes)), Equals(False))


def test_table_with_thousands_of_shards_fits_the_platform(large_table: OwnershipTable) -> None:
    """A table above 1 MB could no longer be written."""
    assert_that(len(encode_table(large_table)), LessThan(MAX_VALUE_BYTES // 4))
