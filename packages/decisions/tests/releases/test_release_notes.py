"""Guards the rules by which release notes change the configuration."""

import pytest
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, IsInstance

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
    ReleaseNote,
    ServerState,
    Service,
    ServiceKind,
    ShardRange,
)
from fireflylink_decisions.releases import (
    MAX_APPLIED_NOTES,
    NoteIdReusedError,
    VersionConflictError,
    apply_note,
)

NOW_MS = 1_700_000_000_000
OUT = {"state": DataCentreState.OUT}
DRAINING = {"state": ServerState.DRAINING}


def server(name: str, data_centre: str = "kingston", port: int = 9000) -> BackendServer:
    """Returns a server of the service holds; its number is added to the port."""
    return BackendServer(name, "holds", data_centre, "127.0.0.1", port + int(name[-2:]), 4, 110)


def note(
    added: NoteAdditions | None = None,
    changed: NoteChanges | None = None,
    withdrawn: NoteWithdrawals | None = None,
    note_id: str = "note-8",
    digest: str = "digest-8",
    for_version: int = 7,
) -> ReleaseNote:
    """Returns a note for version 7."""
    return ReleaseNote(note_id, "dana", for_version, "A change", digest, added, changed, withdrawn)


def adding(**sections: object) -> ReleaseNote:
    """Returns a note that adds entries."""
    return note(added=NoteAdditions({}, {}, {}).replace(**sections))


def changing(**sections: object) -> ReleaseNote:
    """Returns a note that changes entries."""
    return note(changed=NoteChanges({}, {}, {}).replace(**sections))


def withdrawing(**sections: object) -> ReleaseNote:
    """Returns a note that withdraws entries."""
    return note(withdrawn=NoteWithdrawals().replace(**sections))


def range_change(*ranges: ShardRange) -> ReleaseNote:
    """Returns a note that changes the ranges of holds."""
    return changing(services={"holds": {"ranges": ranges}})


def test_whole_note_is_one_version(configuration: Configuration) -> None:
    """A change that is only partly made would be neither the old nor the new configuration."""
    change = note(
        NoteAdditions({}, {}, {"holds-05": server("holds-05")}),
        NoteChanges({}, {"holds": {"queue_limit": 9}}, {"holds-01": {"slots": 2}}),
        NoteWithdrawals((), (), ("holds-04",)),
    )
    result = apply_note(configuration, change, NOW_MS).unwrap()
    assert_that(result.version, Equals(8))
    assert_that(sorted(result.servers), Equals(["holds-01", "holds-02", "holds-03", "holds-05"]))
    assert_that(result.servers["holds-01"].slots, Equals(2))
    assert_that(result.services["holds"].queue_limit, Equals(9))
    last = AppliedNote("note-8", 8, "dana", NOW_MS, "A change", "digest-8")
    assert_that(result.applied_notes[-1], Equals(last))


def test_data_centre_leaves_and_returns(configuration: Configuration) -> None:
    """Operators could not move work out of a data centre."""
    out = apply_note(configuration, changing(data_centres={"kingston": OUT}), NOW_MS).unwrap()
    assert_that(out.takes_new_work(out.servers["holds-01"]), Equals(False))
    back = note(
        changed=NoteChanges({"kingston": {"state": DataCentreState.IN}}, {}, {}),
        note_id="note-9",
        for_version=8,
    )
    returned = apply_note(out, back, NOW_MS).unwrap()
    assert_that(returned.takes_new_work(returned.servers["holds-01"]), Equals(True))


REFUSALS = [
    ("nothing", note(), "must add, change or withdraw something"),
    (
        "adds an existing server",
        adding(servers={"holds-01": server("holds-01")}),
        "added.servers.holds-01: exists already",
    ),
    (
        "adds an existing data centre",
        adding(data_centres={"kingston": DataCentre("kingston", "jm-south")}),
        "added.data_centres.kingston: exists already",
    ),
    (
        "adds an existing service",
        adding(services={"holds": Service("holds", ServiceKind.KEYED, ("kingston",))}),
        "added.services.holds: exists already",
    ),
    (
        "adds a name with a slash",
        adding(data_centres={"a/b": DataCentre("a/b", "jm-south")}),
        "added.data_centres.a/b: a name has 1 to 100 letters",
    ),
    (
        "adds a reserved service name",
        adding(services={"request-ids": Service("request-ids", ServiceKind.POOLED, ("spare",))}),
        "added.services.request-ids: is a path of the daemons",
    ),
    (
        "changes an unknown server",
        changing(servers={"holds-99": DRAINING}),
        "changed.servers.holds-99: does not exist; known servers: holds-01, holds-02",
    ),
    (
        "changes an unknown service",
        changing(services={"bookings": {"queue_limit": 1}}),
        "changed.services.bookings: does not exist; known services: holds",
    ),
    (
        "changes an unknown data centre",
        changing(data_centres={"montego": OUT}),
        "changed.data_centres.montego: does not exist; known data_centres: kingston",
    ),
    (
        "withdraws an unknown server",
        withdrawing(servers=("holds-99",)),
        "withdrawn.servers: holds-99 does not exist",
    ),
    (
        "withdraws an unknown service",
        withdrawing(services=("bookings",)),
        "withdrawn.services: bookings does not exist",
    ),
    (
        "withdraws an unknown data centre",
        withdrawing(data_centres=("montego",)),
        "withdrawn.data_centres: montego does not exist",
    ),
    (
        "changes and withdraws a server",
        note(
            changed=NoteChanges({}, {}, {"holds-04": {"slots": 2}}),
            withdrawn=NoteWithdrawals((), (), ("holds-04",)),
        ),
        "changed.servers.holds-04: is withdrawn by the same note",
    ),
    (
        "withdraws a server in service",
        withdrawing(servers=("holds-02",)),
        "withdrawn.servers: holds-02 is in service; apply a note that changes its state",
    ),
    (
        "withdraws a data centre with servers",
        withdrawing(data_centres=("mandeville",)),
        "servers.holds-03.data_centre: mandeville is not a data centre",
    ),
    (
        "withdraws a service with servers",
        withdrawing(services=("holds",)),
        "servers.holds-01.service: holds is not a service",
    ),
    (
        "changes the shard count",
        changing(services={"holds": {"shard_count": 16}}),
        "changed.services.holds.shard_count: cannot be changed, because it would give most keys",
    ),
    (
        "changes the kind",
        changing(services={"holds": {"kind": ServiceKind.POOLED}}),
        "changed.services.holds.kind: cannot be changed",
    ),
    (
        "changes the isolation",
        changing(services={"holds": {"isolation": Isolation.YIELD}}),
        "changed.services.holds.isolation: cannot be changed",
    ),
    (
        "changes an address",
        changing(servers={"holds-01": {"port": 9999}}),
        "changed.servers.holds-01.port: cannot be changed, because grants are given to a name",
    ),
    (
        "adds a second name for an address",
        adding(servers={"holds-11": server("holds-11", port=8990)}),
        "servers.holds-11: 127.0.0.1:9001 is the address of holds-01 too",
    ),
    (
        "adds a server of an unknown service",
        adding(servers={"holds-05": server("holds-05").replace(service="bookings")}),
        "servers.holds-05.service: bookings is not a service",
    ),
    (
        "adds a server where its service is not",
        adding(servers={"holds-05": server("holds-05", "spare")}),
        "servers.holds-05.data_centre: must be one of kingston, mandeville, not spare",
    ),
    (
        "takes the last data centre out",
        changing(data_centres={"kingston": OUT, "mandeville": OUT}),
        "services.holds.data_centres: the service would have no data centre in service",
    ),
    (
        "names an unknown data centre",
        changing(services={"holds": {"data_centres": ("kingston", "mandeville", "montego")}}),
        "services.holds.data_centres: montego is not a data centre",
    ),
    (
        "leaves a service without data centres",
        changing(services={"holds": {"data_centres": ()}}),
        "would have no data centre in service",
    ),
    (
        "overlapping ranges",
        range_change(ShardRange(0, 4), ShardRange(4, 7)),
        "services.holds.ranges: shards 4 to 7 overlap the range that ends at 4",
    ),
    (
        "a gap between ranges",
        range_change(ShardRange(0, 2), ShardRange(5, 7)),
        "services.holds.ranges: shards 3 to 4 are in no range",
    ),
    (
        "ranges that end early",
        range_change(ShardRange(0, 2)),
        "services.holds.ranges: shards 3 to 7 are in no range",
    ),
    (
        "ranges that end late",
        range_change(ShardRange(0, 8)),
        "services.holds.ranges: shard 8 is beyond shard_count 8",
    ),
    (
        "a reversed range",
        range_change(ShardRange(0, 7), ShardRange(6, 5)),
        "services.holds.ranges: shards 6 to 5 is not a range",
    ),
    (
        "a range with an unknown server",
        range_change(ShardRange(0, 7, ("holds-01", "holds-99"))),
        "services.holds.ranges: holds-99 in shards 0 to 7 is not a server of holds",
    ),
    (
        "a range whose only server drains",
        range_change(ShardRange(0, 3), ShardRange(4, 7, ("holds-04",))),
        "services.holds: shards 4 to 7 would be left without a server that is in service",
    ),
    (
        "the last servers drain",
        changing(servers={f"holds-0{n}": DRAINING for n in (1, 2, 3)}),
        "services.holds: shards 0 to 7 would be left without a server that is in service",
    ),
]


@pytest.mark.parametrize(
    ("change", "message"), [entry[1:] for entry in REFUSALS], ids=[entry[0] for entry in REFUSALS]
)
def test_note_is_refused(configuration: Configuration, change: ReleaseNote, message: str) -> None:
    """A note that breaks a rule must change nothing and say which rule it breaks."""
    error = apply_note(configuration, change, NOW_MS).failure()
    assert_that("\n".join(error.problems), Contains(message))


def test_service_is_withdrawn_with_its_servers(configuration: Configuration) -> None:
    """A service could never be withdrawn if its last servers had to drain first."""
    change = withdrawing(services=("holds",), servers=tuple(configuration.servers))
    result = apply_note(configuration, change, NOW_MS).unwrap()
    assert_that((result.services, result.servers), Equals(({}, {})))


def test_note_for_an_earlier_version_conflicts(configuration: Configuration) -> None:
    """The change of another operator would be overwritten unseen."""
    change = changing(servers={"holds-01": DRAINING}).replace(for_version=6)
    error = apply_note(configuration, change, NOW_MS).failure()
    assert_that(error, IsInstance(VersionConflictError))
    assert_that(str(error), Contains("version 7 is note note-7 by erin: Earlier change"))


def test_note_applied_twice_is_one_change(configuration: Configuration) -> None:
    """A note that is sent again after a lost reply must not be made a second time."""
    change = changing(servers={"holds-01": DRAINING})
    once = apply_note(configuration, change, NOW_MS).unwrap()
    assert_that(apply_note(once, change, NOW_MS + 5), Equals(Success(once)))


def test_other_note_under_a_used_id_is_refused(configuration: Configuration) -> None:
    """A changed note would silently count as applied."""
    change = changing(servers={"holds-01": DRAINING}).replace(note_id="note-7")
    error = apply_note(configuration, change, NOW_MS).failure()
    assert_that(error, IsInstance(NoteIdReusedError))


def test_latest_notes_are_kept(configuration: Configuration) -> None:
    """The list of applied notes would grow until the document exceeds 1 MB."""
    current = configuration
    for number in range(MAX_APPLIED_NOTES + 5):
        change = note(
            changed=NoteChanges({}, {}, {"holds-01": {"slots": number + 1}}),
            note_id=f"many-{number}",
            for_version=current.version,
        )
        current = apply_note(current, change, NOW_MS).unwrap()
    assert_that(current.applied_notes, HasLength(MAX_APPLIED_NOTES))
    assert_that(current.applied_notes[-1].note_id, Equals(f"many-{MAX_APPLIED_NOTES + 4}"))
