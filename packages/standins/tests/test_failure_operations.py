"""Notes, drains, leaves and platform outages under load: P2, P4, P8, P9 and P10."""

import signal
from collections.abc import Iterable

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, HasLength

from fireflylink_standins import JournalEntry, LoadReport, Scenario

KEYS = 40
IN_FORCE_SECONDS = 10.0
LOAD_SECONDS = 10.0
LEAVE_SECONDS = 45.0
CENTRE_OUT_MS = 5000.0
DRAIN_MS = 4000.0
"""The bound of the page is 2 s."""

KINGSTON_SERVERS = {"holds-1", "holds-3", "bookings-1", "bookings-3"}


def running_load(scenario: Scenario, report: LoadReport, count: int = 60) -> None:
    answered = report.counts["answered"]
    scenario.until(
        "load is answered", lambda: report.counts["answered"] > answered + count, LOAD_SECONDS
    )


def in_force_everywhere(scenario: Scenario, version: int) -> bool:
    return set(scenario.versions().values()) == {version}


def until_after(scenario: Scenario, machine_ms: float) -> None:
    scenario.until("a time has passed", lambda: scenario.now_ms() > machine_ms, LOAD_SECONDS)


def assert_all_answered(*reports: LoadReport) -> None:
    for report in reports:
        failed = {
            reason: count
            for reason, count in report.reasons.items()
            if not reason.startswith("answered:200")
        }
        assert_that(failed, Equals({}))
        assert_that(report.counts["answered"], GreaterThan(0))


def work_of(entries: Iterable[JournalEntry], servers: set[str]) -> list[tuple[str, str, float]]:
    return [
        (entry.server_id, entry.key, entry.start_ms)
        for entry in entries
        if entry.server_id in servers
    ]


def test_p10_note_whose_replies_are_lost_is_applied_once(scenario: Scenario) -> None:
    """P2, P10: a write that took effect without a reply is lost, doubled or taken back."""
    before = max(scenario.versions().values())
    with scenario.load("holds", rate=60, keys=KEYS) as report:
        running_load(scenario, report)
        scenario.system.platform("POST", "/admin/faults", {"lose_replies": 3})
        version = scenario.change("services", "bookings", queue_limit=65)
        scenario.until(
            "the note is in force", lambda: in_force_everywhere(scenario, version), IN_FORCE_SECONDS
        )
        running_load(scenario, report, 200)
    assert_that(version, Equals(before + 1))
    assert_that(set(scenario.versions().values()), Equals({version}))
    applied = scenario.system.operator("history")
    assert_that(applied.output.count(f"scenario-{version}"), Equals(1))
    assert_all_answered(report)


def test_platform_outage_alone_fails_no_request(scenario: Scenario) -> None:
    """P2: an assignment in place is given up because the platform does not answer."""
    versions = scenario.versions()
    with (
        scenario.load("holds", rate=60, keys=KEYS, methods=(("GET", 1), ("POST", 1))) as keyed,
        scenario.load("bookings", rate=60, methods=(("GET", 1), ("POST", 1))) as pooled,
    ):
        running_load(scenario, keyed)
        for mode in ("down", "silent"):
            scenario.system.platform("POST", "/admin/faults", {"mode": mode})
            started_ms = scenario.now_ms()
            # Twice the grant term: authority that came from the platform has ended by then.
            until_after(scenario, started_ms + 4000)
        scenario.system.platform("POST", "/admin/faults", {"mode": "ok"})
        running_load(scenario, keyed)
    assert_all_answered(keyed, pooled)
    assert_that(scenario.versions(), Equals(versions))


def test_p10_daemon_restarted_during_an_outage_learns_from_its_peers(scenario: Scenario) -> None:
    """P10: a daemon without memory serves an old configuration, or none, while the platform is
    down."""
    names = list(scenario.system.daemons)
    version = scenario.change("services", "bookings", queue_limit=66)
    scenario.system.platform("POST", "/admin/faults", {"mode": "down"})
    restarted = names[1]
    scenario.system.processes[restarted].kill()
    scenario.system.restart_daemon(restarted)
    scenario.until(
        "it has the current version",
        lambda: scenario.versions()[restarted] == version,
        IN_FORCE_SECONDS,
    )
    for service in scenario.system.example.services:
        scenario.system.wait_until_served(service.name)
    told = scenario.send(restarted, "GET", "holds/key-1")
    assert_that(told.outcome, Equals("answered"))
    scenario.system.platform("POST", "/admin/faults", {"mode": "ok"})
    assert_that(in_force_everywhere(scenario, version), Equals(True))


def test_p4_data_centre_out_gets_no_new_work(scenario: Scenario) -> None:
    """P4: work still reaches a data centre that operators took out, or fails because of it."""
    elsewhere = [name for name in scenario.system.daemons if name.startswith("mandeville")]
    methods = (("GET", 1.0), ("PUT", 1.0))
    with (
        scenario.load("holds", rate=60, keys=KEYS, entries=elsewhere, methods=methods) as keyed,
        scenario.load(
            "bookings", rate=60, entries=elsewhere, methods=(("GET", 1), ("POST", 1))
        ) as pooled,
    ):
        running_load(scenario, keyed)
        scenario.change("data_centres", "kingston", state="out")
        bound_ms = scenario.now_ms() + CENTRE_OUT_MS
        until_after(scenario, bound_ms)
        running_load(scenario, keyed, 120)
        late = [
            *work_of(scenario.started_after("holds", bound_ms), KINGSTON_SERVERS),
            *work_of(scenario.started_after("bookings", bound_ms), KINGSTON_SERVERS),
        ]
        scenario.change("data_centres", "kingston", state="in")
        running_load(scenario, keyed, 120)
    assert_that(late, HasLength(0))
    assert_all_answered(keyed, pooled)


def test_p8_draining_server_gets_no_new_work(scenario: Scenario) -> None:
    """P8: a server that operators drain is still sent requests, or its keys fail."""
    with (
        scenario.load("holds", rate=80, keys=KEYS) as keyed,
        scenario.load("bookings", rate=80, methods=(("GET", 1), ("POST", 1))) as pooled,
    ):
        running_load(scenario, keyed)
        scenario.change("servers", "holds-2", state="draining")
        scenario.change("servers", "bookings-2", state="draining")
        bound_ms = scenario.now_ms() + DRAIN_MS
        until_after(scenario, bound_ms)
        running_load(scenario, keyed, 120)
        late = [
            *work_of(scenario.started_after("holds", bound_ms), {"holds-2"}),
            *work_of(scenario.started_after("bookings", bound_ms), {"bookings-2"}),
        ]
        scenario.change("servers", "holds-2", state="in")
        scenario.change("servers", "bookings-2", state="in")
        running_load(scenario, keyed)
    assert_that(late, HasLength(0))
    assert_all_answered(keyed, pooled)


def test_p9_leaving_daemon_cuts_off_no_request(scenario: Scenario) -> None:
    """P9: a planned stop fails requests in flight, or those of keys whose gateway leaves."""
    names = list(scenario.system.daemons)
    leaving = scenario.owner("holds", "key-1", names[0])["gateway"]
    process = scenario.system.processes[leaving]
    with (
        scenario.load("holds", rate=80, keys=KEYS) as keyed,
        scenario.load("bookings", rate=80, methods=(("GET", 1), ("POST", 1))) as pooled,
    ):
        running_load(scenario, keyed)
        process.send_signal(signal.SIGTERM)
        scenario.until("the daemon has ended", lambda: not process.running, LEAVE_SECONDS)
        running_load(scenario, keyed)
    assert_that(process.wait(1.0), Equals(0))
    assert_all_answered(keyed, pooled)
