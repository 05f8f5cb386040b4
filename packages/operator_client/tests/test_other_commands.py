"""Guards the commands that only read, and the command line itself."""

import json
from pathlib import Path
from typing import Any

import pytest
from hdrh.histogram import HdrHistogram
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from fireflylink_core import OwnershipTable, ServerGroup, ShardRecord
from fireflylink_documents import encode_table
from fireflylink_operator_client import main

CLUSTER_KEY = b"0123456789abcdef0123456789abcdef"


@pytest.fixture
def stored_table(fireflylink: Any) -> None:
    """Stores a table in which one server owns every shard."""
    group = ServerGroup("holds-1", "holds", ("holds-1",), "kingston-1", 1, 1)
    shards = {("holds", index): ShardRecord("holds-1", 1, 1, 0, "first") for index in range(8)}
    table = OwnershipTable("kingston.keep", 1, "w", ("kingston-1",), {"holds-1": group}, shards, {})
    document = fireflylink.repository.signer.sign(encode_table(table))
    fireflylink.store.put("ownership/kingston.keep", document)


def test_validate_writes_nothing(fireflylink: Any, drain_note: str) -> None:
    """A check must not change the configuration."""
    result = fireflylink("validate", drain_note)
    assert_that((result.status, fireflylink.version()), Equals((0, 1)))
    assert_that(result.output, Contains("note drain is valid and would make version 2"))


def test_validate_reads_standard_input(
    fireflylink: Any, drain_note: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Notes are also made by scripts."""
    with open(drain_note) as note:
        monkeypatch.setattr("sys.stdin", note)
        assert_that(fireflylink("validate", "-").status, Equals(0))


def test_missing_note_file_is_named(fireflylink: Any) -> None:
    """A wrong path must not end in a traceback."""
    result = fireflylink("validate", "missing.json")
    assert_that(
        result.errors, Equals("fireflylink: cannot read missing.json: No such file or directory\n")
    )
    assert_that(result.status, Equals(64))


@pytest.mark.usefixtures("stored_table")
def test_preview_shows_moves(fireflylink: Any, drain_note: str) -> None:
    """Operators must see the shards that move before they apply a note."""
    result = fireflylink("preview", drain_note)
    assert_that(
        result.output, Contains("holds    holds-1  8       0 1 2 3 4 5 6 7  0            1")
    )
    assert_that(result.output, Contains("holds    mandeville   0.0%    100.0%       100.0%"))
    document = fireflylink("preview", drain_note, "--json").document
    assert_that(document["forced_moves"][0]["indexes"], Equals(list(range(8))))


def test_status_shows_every_data_centre(fireflylink: Any) -> None:
    """Operators must see which version is in force where."""
    result = fireflylink("status", "--daemons")
    assert_that(result.status, Equals(0))
    assert_that(result.output, Contains("configuration version 1, note first by dana"))
    assert_that(result.output, Contains("kingston     2/2       kingston-1    1        2/2"))
    assert_that(result.output, Contains("mandeville.keep  3        3        1800"))


def test_status_reports_a_lagging_data_centre(fireflylink: Any) -> None:
    """A script must notice that a version is not in force everywhere."""
    fireflylink.daemons.set_status("kingston-1", 0)
    assert_that(fireflylink("status").status, Equals(3))


def test_status_during_an_outage_shows_daemons(fireflylink: Any) -> None:
    """The state of the daemons matters most while the platform is down."""
    fireflylink.store.failed_reads = 1
    result = fireflylink("status")
    assert_that(result.status, Equals(4))
    assert_that(result.output, Contains("kingston-1"))


def test_explain_asks_another_daemon(fireflylink: Any) -> None:
    """One lost daemon must not hide the owner of a key."""
    reply = {"service": "holds", "shard": 3, "group": "holds-1", "reason": "rebalance"}
    fireflylink.daemons.replies["mandeville-2", "/operator/explain"] = reply
    result = fireflylink("explain", "holds", "hold-17")
    assert_that(result.output, Contains("reason   rebalance"))
    assert_that(fireflylink("explain", "holds", "hold-17", "--json").document["shard"], Equals(3))


def test_explain_of_an_unknown_service(fireflylink: Any) -> None:
    """A misspelt service must not look like an outage."""
    fireflylink.daemons.refusals["kingston-1"] = "there is no service 'hold'"
    result = fireflylink("explain", "hold", "hold-17")
    assert_that(result.status, Equals(1))
    expected = "fireflylink: kingston-1: there is no service 'hold'\n"
    assert_that(result.errors, Equals(expected))


def test_explain_without_daemons(fireflylink: Any) -> None:
    """The reason of the failure must be shown."""
    result = fireflylink("explain", "holds", "hold-17")
    assert_that(result.status, Equals(4))
    assert_that(result.errors, Contains("no daemon explained the key; mandeville-2: timed out"))


def test_history_lists_and_shows_notes(fireflylink: Any) -> None:
    """Operators must be able to tell who changed what."""
    assert_that(fireflylink("history").output, Contains("dana    first  Summary of first"))
    assert_that(fireflylink("history", "1").output, Contains("added servers holds-1 {"))
    assert_that(fireflylink("history", "9").status, Equals(1))
    assert_that(fireflylink("history", "x").status, Equals(64))


@pytest.mark.usefixtures("stored_table")
def test_watch_prints_changes(fireflylink: Any) -> None:
    """Operators follow changes while they work on a data centre."""
    result = fireflylink("watch", "--changes=2")
    assert_that(result.output, Contains("configuration version 1, note first by dana"))
    assert_that(result.output, Contains("table kingston.keep version 1: 8 shards, 1 groups in it"))


@pytest.mark.usefixtures("stored_table")
def test_diagnose_names_servers_that_still_own_shards(fireflylink: Any, drain_note: str) -> None:
    """A machine that is stopped while it owns shards leaves them without an owner."""
    assert_that(fireflylink("diagnose").status, Equals(0))
    fireflylink("apply", drain_note, "--wait_seconds=0")
    result = fireflylink("diagnose")
    assert_that(result.status, Equals(3))
    expected = "attention  server holds-1          takes no new work but owns 8 shards"
    assert_that(result.output, Contains(expected))
    assert_that(result.output, Contains("version 2 is not in force everywhere"))


def test_diagnose_names_shards_without_an_owner(fireflylink: Any) -> None:
    """Callers of these keys get no answer."""
    assert_that(fireflylink("diagnose").output, Contains("8 shards have no owner"))


def test_latency_merges_daemons(fireflylink: Any) -> None:
    """A percentile of one daemon says little about the callers of all of them."""
    for number, microseconds in enumerate((1000, 1000, 1000, 9000)):
        histogram = HdrHistogram(1, 60_000_000, 3)
        histogram.record_value(microseconds)
        address = fireflylink.addresses[number]
        text = histogram.encode().decode()
        reply = {"histograms": {"holds/default": text}}
        fireflylink.daemons.replies[address.instance_id, "/operator/latency"] = reply
    found = fireflylink("latency", "--json").document["latency"]["holds/default"]
    assert_that(found["count"], Equals(4))
    assert_that(round(found["milliseconds"]["p50"]), Equals(1))
    assert_that(round(found["milliseconds"]["max"]), Equals(9))


def test_latency_with_malformed_histogram(fireflylink: Any) -> None:
    """One daemon's malformed answer must not hide the others, nor end in a traceback."""
    reply = {"histograms": {"holds/default": "HISTxx"}}
    fireflylink.daemons.replies["kingston-1", "/operator/latency"] = reply
    fireflylink.daemons.replies["kingston-2", "/operator/latency"] = {"histograms": {}}
    result = fireflylink("latency")
    assert_that(result.status, Equals(3))
    assert_that(result.errors, Contains("must be an encoded HdrHistogram"))


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("frobnicate",), "'frobnicate' is not a command; commands: validate, preview, apply"),
        (("apply",), "usage: fireflylink apply NOTE [flags]"),
        (("apply", "a", "b"), "usage: fireflylink apply NOTE [flags]"),
        (("status", "--colour"), "Unknown command line flag 'colour'"),
        (("apply", "a", "--wait_seconds=soon"), "wait_seconds"),
    ],
)
def test_wrong_usage_is_one_line(
    fireflylink: Any, arguments: tuple[str, ...], message: str
) -> None:
    """A typing error must not end in a traceback."""
    result = fireflylink(*arguments)
    assert_that(result.status, Equals(64))
    assert_that(result.errors, Contains(message))
    assert_that(result.errors.count("\n"), Equals(1))


def test_help_names_every_flag(fireflylink: Any) -> None:
    """Operators learn the flags from the program."""
    result = fireflylink("apply", "--help")
    assert_that(result.status, Equals(0))
    assert_that(result.output, Contains("--wait_seconds: How long to wait"))


@pytest.mark.parametrize(
    ("settings", "key", "message"),
    [
        ({"platform": {"host": "127.0.0.1"}}, CLUSTER_KEY, "platform.port: is required"),
        ({"plattform": {}}, CLUSTER_KEY, "platform: is required"),
        ({}, b"short", "cluster key: must have at least 16 bytes"),
    ],
)
def test_wrong_settings_are_named(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    settings: dict[str, object],
    key: bytes,
    message: str,
) -> None:
    """A wrong settings file must be reported in one line before anything is asked."""
    (tmp_path / "key").write_bytes(key)
    (tmp_path / "token").write_text("secret\n")
    complete = {
        "platform": {"host": "127.0.0.1", "port": 1},
        "cluster_key_file": "key",
        "operator_token_file": "token",
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings if "plattform" in settings else {**complete, **settings}))
    monkeypatch.setattr("sys.argv", ["fireflylink", "status", f"--settings={path}"])
    assert_that(main(), Equals(64))
    errors = capsys.readouterr().err
    assert_that(errors, Contains(message))
    assert_that(errors.count("\n"), Equals(1))
