"""Guards what operators are shown before they apply a release note."""

from typing import Any

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from fireflylink_core import (
    Configuration,
    DataCentreState,
    NoteChanges,
    NoteWithdrawals,
    OwnershipTable,
    ReleaseNote,
    ServerState,
    ShardRecord,
)
from fireflylink_decisions.releases import NotePreview, apply_note, preview

NOW_MS = 1_700_000_000_000
OUT = {"state": DataCentreState.OUT}
DRAINING = {"state": ServerState.DRAINING}


def previewed(
    configuration: Configuration, tables: dict[str, OwnershipTable], **sections: Any
) -> NotePreview:
    """Returns the preview of a note that changes entries."""
    changed = NoteChanges({}, {}, {}).replace(**sections)
    note = ReleaseNote("note-8", "dana", 7, "A change", "digest-8", changed=changed)
    return preview(configuration, apply_note(configuration, note, NOW_MS).unwrap(), tables)


def test_preview_names_shards_that_must_move(
    configuration: Configuration, tables: dict[str, OwnershipTable]
) -> None:
    """Operators would learn only afterwards which keys change owner."""
    result = previewed(configuration, tables, servers={"holds-01": DRAINING})
    (moves,) = result.forced_moves
    assert_that(moves.from_servers, Equals(("holds-01",)))
    assert_that(moves.indexes, Equals((0, 1, 2, 3)))
    assert_that((moves.candidates, moves.exceptions), Equals((2, 1)))
    (entry,) = result.entries
    assert_that(entry.details, Equals(("state: in -> draining",)))


def test_preview_shows_load_of_data_centres(
    configuration: Configuration, tables: dict[str, OwnershipTable]
) -> None:
    """Operators could not see that the remaining data centre takes the whole load."""
    result = previewed(configuration, tables, data_centres={"kingston": OUT})
    shares = {share.data_centre: share for share in result.load_shares}
    kingston, mandeville = shares["kingston"], shares["mandeville"]
    assert_that((kingston.before, kingston.moved), Equals((0.875, 0.0)))
    assert_that((mandeville.before, mandeville.moved), Equals((0.125, 1.0)))
    assert_that(result.server_loads[0].before, Equals(0.5))


def test_preview_counts_a_shard_between_tables_once(
    configuration: Configuration, tables: dict[str, OwnershipTable]
) -> None:
    """A shard that moves between data centres has records in both tables."""
    key = ("holds", 7)
    pending = ShardRecord("holds-01", 2, 2, NOW_MS, "drain", pending_from="mandeville.keep")
    kingston = tables["kingston.keep"]
    waiting = kingston.replace(shards={**kingston.shards, key: pending})
    mandeville = tables["mandeville.keep"]
    released = mandeville.shards[key].replace(released_to="kingston.keep")
    after = mandeville.replace(shards={key: released})
    new = configuration.replace(version=8)
    owned = [
        preview(configuration, new, {"kingston.keep": waiting, "mandeville.keep": source})
        for source in (mandeville, after)
    ]
    befores = [[share.before for share in result.load_shares] for result in owned]
    assert_that(befores, Equals([[0.875, 0.125], [1.0, 0.0]]))


def test_preview_warns_of_a_lost_data_centre(
    configuration: Configuration, tables: dict[str, OwnershipTable]
) -> None:
    """Marking a running data centre as lost would give its keys a second owner."""
    result = previewed(
        configuration, tables, data_centres={"kingston": {"state": DataCentreState.LOST}}
    )
    assert_that(result.warnings[0], Contains("be certain that its daemons and backend servers"))


def test_preview_warns_of_ownership_that_remains(
    configuration: Configuration, tables: dict[str, OwnershipTable]
) -> None:
    """A withdrawn server may still run requests of the shards that it owns."""
    drained = configuration.servers["holds-03"].replace(**DRAINING)
    before = configuration.replace(servers={**configuration.servers, "holds-03": drained})
    withdrawn = NoteWithdrawals(servers=("holds-03",))
    note = ReleaseNote("note-8", "dana", 7, "A change", "digest-8", withdrawn=withdrawn)
    result = preview(before, apply_note(before, note, NOW_MS).unwrap(), tables)
    expected = "servers.holds-03: is withdrawn while it still owns 1 shards"
    assert_that(result.warnings, Equals((expected,)))
