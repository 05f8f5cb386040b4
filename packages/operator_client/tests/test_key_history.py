"""The history of a key from the logs of several daemons, and the signs of two owners in it."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, MatchesRegex, StartsWith

from fireflylink_operator_client import OperatorError, OverlapError, history_lines, main

COMMAND = "service=a server={} keys=0-99 fence={}"


@pytest.fixture
def make_log():
    """Returns a function that makes a log of events, each at its time in seconds."""

    def make(*events: tuple[float, str]) -> str:
        return "".join(
            f"time=2026-12-05T22:45:{seconds:06.3f}Z level=info event={text}\n"
            for seconds, text in events
        )

    return make


@pytest.fixture
def exit_status(monkeypatch):
    """Returns a function that runs the command for the service ``a``, with its exit status."""

    def call(key: str, *paths: object) -> int:
        arguments = ["history", key, "--service", "a", *map(str, paths)]
        monkeypatch.setattr("sys.argv", ["fireflylink", *arguments])
        with pytest.raises(SystemExit) as ended:
            main()
        return ended.value.code

    return call


def granted(server: str, fence: int) -> str:
    return f"keys-granted {COMMAND.format(server, fence)} former=none ended=none"


def released(server: str, fence: int) -> str:
    return f"keys-released {COMMAND.format(server, fence)} handover=True granted_ago=0.500"


def ended(server: str, fence: int, reason: str) -> str:
    return f"hold-ended {COMMAND.format(server, fence)} holder={server} reason={reason}"


def failed_grant(server: str, fence: int, sent: bool) -> str:
    return (
        f"command-failed service=a kind=GrantCommand server={server} keys=0-99 fence={fence} "
        f'problem="late: while receiving" sent={sent}'
    )


def overlaps_of(*logs: str) -> list[str]:
    """Returns the kinds of overlap that the history of key 7 shows."""
    lines = []
    try:
        for line in history_lines("a", 7, [(f"log-{n}", log) for n, log in enumerate(logs)]):
            lines.append(line)
    except OverlapError:
        assert_that(any(line.startswith("  OVERLAP") for line in lines), Equals(True))
    found = [line for line in lines if line.startswith("  OVERLAP")]
    return [line.removeprefix("  OVERLAP, ").split(":")[0] for line in found]


def test_the_history_has_the_lines_about_the_key_of_all_logs_by_time(make_log):
    """Guards against lines of other keys and services, and against a history that misses a daemon.

    The second log begins earlier, and a line of another program is in it.
    """
    first = make_log(
        (3.0, granted("i-1@1", 4)),
        (3.1, "keys-granted service=a server=i-9@1 keys=100-199 fence=4"),
        (3.2, "keys-granted service=b server=i-9@1 keys=0-99 fence=4"),
        (3.3, "request service=a key=7 outcome=answered"),
        (3.4, "server-restarted service=a server=i-1@1 successor=i-1@2 held_seconds=1.000"),
        (3.5, "server-restarted service=a server=i-9@1 successor=i-9@2 held_seconds=1.000"),
    )
    second = "Traceback: event=keys-granted\n" + make_log(
        (1.0, "decider-won instance=front-1 revision=3 era=0 uninterrupted=False"),
        (2.0, "ownership-written service=a fence=4 ranges=1 revision=5"),
    )
    lines = list(history_lines("a", 7, [("x", first), ("y", second)]))
    assert_that(lines, HasLength(5))
    assert_that(lines[0], MatchesRegex(r"y: time=\S+:01\.000Z level=info event=decider-won "))
    assert_that(lines[1], Contains("event=ownership-written"))
    assert_that(lines[2], MatchesRegex("x: .*event=keys-granted .*server=i-1@1"))
    assert_that(lines[3], Contains("event=server-restarted service=a server=i-1@1"))
    assert_that(lines[4], StartsWith("key 7 of service 'a': no sign"))


@pytest.mark.parametrize(
    "end",
    [
        released("i-1@1", 5),
        ended("i-1@1", 5, "expired"),
        ended("i-1@1", 5, "incarnation-ended"),
        "ownership-sweep-done service=a era=1",
    ],
)
def test_a_hold_that_ended_before_the_next_grant_is_no_overlap(make_log, end):
    """Guards against false alarms, after which nobody looks at a true one."""
    log = make_log((1.0, granted("i-1@1", 4)), (2.0, end), (2.1, granted("i-2@1", 5)))
    assert_that(overlaps_of(log), Equals([]))


@pytest.mark.parametrize(
    "line",
    [
        "ownership-written service=a fence=5 ranges=1 revision=5",
        released("i-3@1", 5),
        released("i-1@1", 4),
        "keys-released service=a server=i-1@1 keys=100-199 fence=5",
        "ownership-sweep-done service=b era=1",
    ],
)
def test_a_grant_while_the_former_hold_has_not_ended_is_an_overlap(make_log, line):
    """Guards against two holders of a key that nobody sees in the logs: what was taken for the end
    of the hold is of another server, fence, range or service."""
    log = make_log((1.0, granted("i-1@1", 4)), (2.0, line), (2.1, granted("i-2@1", 5)))
    assert_that(overlaps_of(log), Equals(["two holders"]))


def test_a_grant_that_may_have_arrived_counts(make_log):
    """Guards against two holders of which one never answered the decider."""
    first = (1.0, failed_grant("i-1@1", 4, sent=True))
    assert_that(overlaps_of(make_log(first, (2.0, granted("i-2@1", 5)))), Equals(["two holders"]))
    first = (1.0, failed_grant("i-1@1", 4, sent=False))
    assert_that(overlaps_of(make_log(first, (2.0, granted("i-2@1", 5)))), Equals([]))


def test_a_late_renewal_that_its_server_refuses_is_no_overlap(make_log):
    """Guards against a false alarm: the renewal was sent before the release, under the fence that
    the release ended."""
    log = make_log(
        (1.0, granted("i-1@1", 4)),
        (2.0, released("i-1@1", 5)),
        (2.1, granted("i-2@1", 5)),
        (2.2, failed_grant("i-1@1", 4, sent=True)),
    )
    assert_that(overlaps_of(log), Equals([]))


def test_the_next_incarnation_of_a_holder_is_no_overlap(make_log):
    """Guards against a false alarm when a server restarts and gets its keys back."""
    log = make_log((1.0, granted("i-1@1", 4)), (2.0, granted("i-1@2", 5)))
    assert_that(overlaps_of(log), Equals([]))


def test_a_fence_that_is_not_above_that_of_another_server_is_an_overlap(make_log):
    """Guards against two holders that no fence keeps apart."""
    log = make_log(
        (1.0, granted("i-1@1", 5)), (2.0, released("i-1@1", 6)), (2.1, granted("i-2@1", 5))
    )
    assert_that(overlaps_of(log), Equals(["fence not above"]))


def test_a_decider_that_decides_after_another_was_elected_is_an_overlap(make_log):
    """Guards against two deciders that nobody sees: each log alone looks right."""
    won = "decider-won instance={} revision=3 era=0 uninterrupted=False"
    first = make_log((1.0, won.format("front-0")), (4.0, granted("i-1@1", 4)))
    second = make_log((3.0, won.format("front-1")))
    assert_that(overlaps_of(first, second), Equals(["two deciders"]))


@pytest.mark.parametrize("end", ["decider-lost instance=front-0 reason=leaving", "started x=1"])
def test_a_decider_that_follows_another_is_no_overlap(make_log, end):
    """Guards against a false alarm at each change of the decider, also after it was killed."""
    won = "decider-won instance={} revision=3 era=0 uninterrupted=False"
    first = make_log((1.0, won.format("front-0")), (1.5, granted("i-1@1", 4)), (3.5, end))
    second = make_log((3.0, won.format("front-1")), (4.0, granted("i-1@1", 5)))
    third = make_log((5.0, won.format("front-2")), (6.0, granted("i-1@1", 6)))
    assert_that(overlaps_of(first, second, third), Equals([]))


def test_a_key_without_lines_is_an_error():
    """Guards against "no overlap" for a mistyped key or service, or for the wrong files."""
    for key in (7, 70000):
        with pytest.raises(OperatorError):
            list(history_lines("a", key, [("x", "")]))


def test_the_exit_status_tells_an_overlap_from_a_failure(make_log, exit_status, tmp_path, capsys):
    """Guards against a script that takes an overlap for a good history."""
    good, bad = tmp_path / "good.log", tmp_path / "bad.log"
    good.write_text(make_log((1.0, granted("i-1@1", 4))))
    bad.write_text(make_log((2.0, granted("i-2@1", 5))))
    assert_that(exit_status("7", good), Equals(0))
    assert_that(exit_status("7", good, bad), Equals(3))
    assert_that(capsys.readouterr().out, Contains(f"contradicts {good}: time="))
    assert_that(exit_status("7", tmp_path / "none.log"), Equals(1))
    assert_that(exit_status("seven", good), Equals(2))
