"""Guards the writing of release notes: conflicts, lost replies, confirmation, exit statuses."""

from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from fireflylink_operator_client import _note_writer

DRAINING = {"servers": {"holds-1": {"state": "draining"}}}


@pytest.fixture(autouse=True)
def short_read_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keeps the tests that never learn an outcome short."""
    monkeypatch.setattr(_note_writer, "RETRY_PERIOD", 0.01)
    defaults = (0.2,)
    monkeypatch.setattr(_note_writer.NoteWriter.__init__, "__defaults__", defaults)


@pytest.mark.usefixtures("in_force")
def test_note_comes_into_force(fireflylink: Any, drain_note: str) -> None:
    """The ordinary case must end with status 0 and a note in the history."""
    result = fireflylink("apply", drain_note)
    assert_that(result.status, Equals(0))
    assert_that(result.output, Contains("note drain is written as version 2"))
    assert_that(result.output, Contains("in force everywhere"))
    history = fireflylink.repository.read_history(2).unwrap()
    assert_that(history.note_id if history else None, Equals("drain"))


@pytest.mark.usefixtures("in_force")
def test_note_applied_twice_is_one_change(fireflylink: Any, drain_note: str) -> None:
    """An operator who repeats a command must not make a second change."""
    fireflylink("apply", drain_note)
    writes = len(fireflylink.store.writes)
    result = fireflylink("apply", drain_note)
    assert_that((result.status, fireflylink.version()), Equals((0, 2)))
    assert_that(result.output, Contains("was applied before as version 2"))
    assert_that(len(fireflylink.store.writes), Equals(writes))


def test_invalid_note_is_refused_with_every_problem(fireflylink: Any) -> None:
    """Operators would correct a note one problem at a time."""
    changed = {"servers": {"holds-8": {"slots": 1}, "holds-9": {"slots": 1}}}
    result = fireflylink("apply", fireflylink.note("wrong", 1, changed=changed))
    assert_that((result.status, fireflylink.version()), Equals((1, 1)))
    assert_that(result.errors, Contains("changed.servers.holds-8: does not exist"))
    assert_that(result.errors, Contains("changed.servers.holds-9: does not exist"))


def test_malformed_note_is_refused(fireflylink: Any) -> None:
    """A misspelt field must not be ignored."""
    path = fireflylink.note("wrong", 1, chnaged={})
    result = fireflylink("apply", path)
    assert_that(result.status, Equals(1))
    assert_that(result.errors, Contains("chnaged: is not a known field"))


def test_used_id_with_other_content_is_refused(fireflylink: Any) -> None:
    """A changed note would silently count as applied."""
    result = fireflylink("apply", fireflylink.note("first", 1, changed=DRAINING))
    assert_that((result.status, fireflylink.version()), Equals((1, 1)))
    assert_that(result.errors, Contains("first was used for another note, by dana in version 1"))


@pytest.mark.usefixtures("in_force")
def test_earlier_change_is_a_conflict(fireflylink: Any, drain_note: str) -> None:
    """A note written for an earlier version must name what came first."""
    fireflylink("apply", drain_note)
    late = fireflylink.note("late", 1, author="erin", changed=DRAINING)
    result = fireflylink("apply", late)
    assert_that(result.status, Equals(2))
    assert_that(result.errors, Contains("version 2 is note drain by dana: Summary of drain"))


def test_racing_change_is_a_conflict(fireflylink: Any, drain_note: str) -> None:
    """Of two operators who write at the same time, one must learn of the other."""
    racing = fireflylink.note(
        "racing", 1, author="erin", changed={"services": {"holds": {"queue_limit": 9}}}
    )
    fireflylink.store.before_write.append(lambda: fireflylink("apply", racing, "--wait_seconds=0"))
    result = fireflylink("apply", drain_note)
    assert_that((result.status, fireflylink.version()), Equals((2, 2)))
    assert_that(result.errors, Contains("version 2 is note racing by erin: Summary of racing"))


def test_racing_change_during_an_outage_is_a_conflict(fireflylink: Any, drain_note: str) -> None:
    """A write that was refused is no unknown outcome, even if the winner cannot be read."""

    def race() -> None:
        fireflylink("apply", fireflylink.note("racing", 1, changed=DRAINING), "--wait_seconds=0")
        fireflylink.store.failed_reads = 1

    fireflylink.store.before_write.append(race)
    result = fireflylink("apply", drain_note)
    assert_that(result.status, Equals(2))
    assert_that(result.errors, Contains("another change was written first, nothing written"))


@pytest.mark.usefixtures("in_force")
@pytest.mark.parametrize("failed_reads", [0, 3])
def test_lost_reply_is_read_back(fireflylink: Any, drain_note: str, failed_reads: int) -> None:
    """A write that took effect must not be reported as failed."""

    def fail_reads() -> None:
        fireflylink.store.failed_reads = failed_reads

    fireflylink.store.before_write.append(fail_reads)
    fireflylink.store.write_faults = [fireflylink.store.LOSE_REPLY]
    result = fireflylink("apply", drain_note)
    assert_that((result.status, fireflylink.version()), Equals((0, 2)))
    assert_that(fireflylink.store.writes.count("config/current"), Equals(2))


@pytest.mark.usefixtures("in_force")
def test_lost_request_is_sent_again(fireflylink: Any, drain_note: str) -> None:
    """A write that did not take effect must be made, once."""
    fireflylink.store.write_faults = [
        fireflylink.store.LOSE_REQUEST,
        fireflylink.store.LOSE_REQUEST,
    ]
    result = fireflylink("apply", drain_note)
    assert_that((result.status, fireflylink.version()), Equals((0, 2)))


def test_lost_request_then_racing_change(fireflylink: Any, drain_note: str) -> None:
    """Once another write came first, the lost one can no longer take effect."""
    racing = fireflylink.note("racing", 1, author="erin", changed=DRAINING)
    fireflylink.store.write_faults = [fireflylink.store.LOSE_REQUEST]
    fireflylink.store.before_write = [
        lambda: None,
        lambda: fireflylink("apply", racing, "--wait_seconds=0"),
    ]
    result = fireflylink("apply", drain_note)
    assert_that(result.status, Equals(2))
    assert_that(result.errors, Contains("note racing by erin"))


def test_outcome_that_stays_unknown(fireflylink: Any, drain_note: str) -> None:
    """Neither success nor failure may be claimed when the platform does not answer."""
    fireflylink.store.write_faults = [fireflylink.store.LOSE_REPLY]
    fireflylink.store.before_write = [lambda: setattr(fireflylink.store, "failed_reads", 10_000)]
    fireflylink.store.write_faults += [fireflylink.store.REFUSE] * 10_000
    result = fireflylink("apply", drain_note)
    assert_that(result.status, Equals(5))
    assert_that(result.errors, Contains("may have taken effect"))


def test_refused_write_is_unavailable(fireflylink: Any, drain_note: str) -> None:
    """Nothing was written, and the operator must know it."""
    fireflylink.store.write_faults = [fireflylink.store.REFUSE]
    result = fireflylink("apply", drain_note)
    assert_that((result.status, fireflylink.version()), Equals((4, 1)))
    assert_that(result.errors, Contains("platform unavailable, nothing written"))


def test_unreadable_platform_is_unavailable(fireflylink: Any, drain_note: str) -> None:
    """Nothing may be written when the version in force is not known."""
    fireflylink.store.failed_reads = 1
    result = fireflylink("apply", drain_note)
    assert_that(result.status, Equals(4))
    assert_that(result.errors, Contains("nothing written, apply the same file again later"))


def test_altered_configuration_is_refused(fireflylink: Any, drain_note: str) -> None:
    """A configuration that was not signed with the cluster key must not be built upon."""
    entry = fireflylink.store.entries["config/current"]
    fireflylink.store.put("config/current", entry.value.replace(b"7001", b"7009"))
    result = fireflylink("apply", drain_note)
    assert_that(result.status, Equals(1))
    assert_that(result.errors, Contains("config/current: signature: was not made with"))


@pytest.mark.usefixtures("in_force")
def test_lost_history_write_is_completed(fireflylink: Any, drain_note: str) -> None:
    """The change is in force, but its note would be missing from the history."""
    fireflylink.store.write_faults = ["", fireflylink.store.REFUSE]
    result = fireflylink("apply", drain_note)
    assert_that(result.status, Equals(0))
    assert_that(result.errors, Contains("not yet in its history"))
    fireflylink("apply", drain_note)
    assert_that(fireflylink.repository.read_history(2).unwrap() is not None, Equals(True))


@pytest.mark.usefixtures("in_force")
def test_lagging_members_are_named(fireflylink: Any, drain_note: str) -> None:
    """The operator must learn which daemons do not have the version in force."""
    lagging = {"version": 2, "members": 2, "confirmed": 1, "lagging": ["mandeville-2"]}
    fireflylink.daemons.set_status("mandeville-1", 2, in_force=lagging)
    result = fireflylink("apply", drain_note, "--wait_seconds=0", "--json")
    assert_that(result.status, Equals(3))
    kingston, mandeville = result.document["data_centres"]
    assert_that((kingston["in_force"], mandeville["in_force"]), Equals((True, False)))
    assert_that(mandeville["lagging"], Equals(["mandeville-2"]))


@pytest.mark.usefixtures("in_force")
def test_root_is_found_among_daemons_of_the_settings(
    fireflylink: Any, drain_note: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only a root counts its members; a daemon that the settings name has no id at first."""
    ids = {address.port: address.instance_id for address in fireflylink.addresses}
    fireflylink.addresses = tuple(
        address.replace(instance_id="") for address in fireflylink.addresses
    )
    get = fireflylink.daemons.get
    monkeypatch.setattr(
        type(fireflylink.daemons),
        "get",
        lambda _daemons, address, path: get(address.replace(instance_id=ids[address.port]), path),
    )
    lagging = {"version": 2, "members": 2, "confirmed": 1, "lagging": ["kingston-2"]}
    fireflylink.daemons.set_status("kingston-1", 2, root="kingston-2", in_force=lagging)
    fireflylink.daemons.set_status("kingston-2", 2, root="kingston-2")
    result = fireflylink("apply", drain_note, "--wait_seconds=1")
    assert_that(result.status, Equals(0))


@pytest.mark.usefixtures("in_force")
def test_silent_data_centre_is_not_confirmed(fireflylink: Any, drain_note: str) -> None:
    """A data centre that cannot be asked must not count as confirmed."""
    fireflylink.daemons.replies = {
        key: reply
        for key, reply in fireflylink.daemons.replies.items()
        if "mandeville" not in key[0]
    }
    result = fireflylink("apply", drain_note, "--wait_seconds=0")
    assert_that(result.status, Equals(3))
    assert_that(result.output, Contains("timed out"))


@pytest.mark.usefixtures("in_force")
def test_daemon_that_its_root_does_not_count(fireflylink: Any, drain_note: str) -> None:
    """A daemon that is cut off from its root may serve with the earlier version."""
    alone = {"version": 2, "members": 1, "confirmed": 1, "lagging": []}
    fireflylink.daemons.set_status("mandeville-1", 2, in_force=alone, members=["mandeville-1"])
    fireflylink.daemons.set_status("mandeville-2", 1)
    result = fireflylink("apply", drain_note, "--wait_seconds=0", "--json")
    assert_that(result.status, Equals(3))
    assert_that(result.document["data_centres"][1]["lagging"], Equals(["mandeville-2"]))


@pytest.mark.usefixtures("in_force")
def test_lost_daemon_does_not_block_confirmation(fireflylink: Any, drain_note: str) -> None:
    """The instance list lags, so it holds daemons that are gone."""
    alone = {"version": 2, "members": 1, "confirmed": 1, "lagging": []}
    fireflylink.daemons.set_status("mandeville-1", 2, in_force=alone, members=["mandeville-1"])
    del fireflylink.daemons.replies["mandeville-2", "/operator/status"]
    result = fireflylink("apply", drain_note, "--wait_seconds=0")
    assert_that(result.status, Equals(0))
    assert_that(result.output, Contains("no answer from mandeville-2"))


@pytest.mark.usefixtures("in_force")
def test_data_centre_without_daemons(fireflylink: Any) -> None:
    """One that takes work must have daemons; one that is out is not waited for."""
    spare = {"spare": {"region": "jm-south"}}
    taken_in = fireflylink("apply", fireflylink.note("in", 1, added={"data_centres": spare}))
    assert_that(taken_in.status, Equals(3))
    for address in fireflylink.addresses:
        fireflylink.daemons.set_status(address.instance_id, 3)
    out = fireflylink.note("out", 2, changed={"data_centres": {"spare": {"state": "out"}}})
    assert_that(fireflylink("apply", out).status, Equals(0))


@pytest.mark.usefixtures("in_force")
@pytest.mark.parametrize(("answers", "status"), [(False, 0), (True, 3)])
def test_lost_data_centre_is_not_waited_for(fireflylink: Any, answers: bool, status: int) -> None:
    """A lost data centre does not answer, but one that still runs must not be passed over."""
    for number in (1, 2):
        if answers:
            fireflylink.daemons.set_status(f"mandeville-{number}", 1)
        else:
            del fireflylink.daemons.replies[f"mandeville-{number}", "/operator/status"]
    lost = {"data_centres": {"mandeville": {"state": "lost"}}}
    note = fireflylink.note("lost", 1, changed=lost)
    result = fireflylink("apply", note, "--wait_seconds=2")
    assert_that(result.status, Equals(status))


@pytest.mark.usefixtures("in_force")
def test_confirmation_waits(fireflylink: Any, drain_note: str) -> None:
    """A version needs some seconds to come into force."""
    fireflylink.daemons.set_status("kingston-1", 1)
    fireflylink.store.before_write = [
        lambda: None,
        lambda: fireflylink.daemons.set_status("kingston-1", 2),
    ]
    assert_that(fireflylink("apply", drain_note, "--wait_seconds=2").status, Equals(0))


def test_server_is_drained_and_withdrawn(fireflylink: Any, drain_note: str) -> None:
    """The way in which operators replace a server must be possible."""
    fireflylink("apply", drain_note, "--wait_seconds=0")
    replace = fireflylink.note(
        "replace",
        2,
        added={"servers": {"holds-3": fireflylink.server_fields(7003)}},
        withdrawn={"servers": ["holds-1"]},
    )
    result = fireflylink("apply", replace, "--wait_seconds=0")
    assert_that(result.errors, Not(Contains("fireflylink: ")))
    servers = fireflylink.repository.read_current().unwrap().configuration.servers
    assert_that(sorted(servers), Equals(["holds-2", "holds-3"]))
