"""The log lines from which the owners of a key can be traced."""

import logging as standard_logging

import pytest
from absl import logging
from testtools.assertions import assert_that
from testtools.matchers import Contains, HasLength, MatchesListwise, MatchesRegex

from fireflylink_backend_client import CommandError
from fireflylink_core import Assignment, BackendServer, KeyRange, OwnershipTable, ServerIncarnation
from fireflylink_daemon._messages import CommandCompleted, SendCommand
from fireflylink_decisions.ownership import GrantCommand, ReleaseCommand
from fireflylink_protocol import encode_table, ownership_key
from fireflylink_store import Commit, Put

ALL_KEYS = KeyRange(0, 65535)
FORMER = ServerIncarnation("i-1", 1)


class _ListHandler(standard_logging.Handler):
    """Keeps the text of each line."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: standard_logging.LogRecord) -> None:
        self.lines.append(record.getMessage())

    def take(self, event: str) -> list[str]:
        """Returns the lines of one event so far."""
        return [line for line in self.lines if line.startswith(f"event={event} ")]


@pytest.fixture
def log():
    handler = _ListHandler()
    logger = logging.get_absl_logger()
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.INFO)
    logger.addHandler(handler)
    yield handler
    logger.removeHandler(handler)
    logging.set_verbosity(verbosity)


@pytest.fixture
def decider(log, make_daemon, store_state, configuration_item, registration, former_decider):
    """Returns a decider whose keys are all granted to the server ``i-1`` under fence 4."""
    stored = OwnershipTable("a", 3, (Assignment(ALL_KEYS, FORMER, 3),), True, writer=former_decider)
    store_state.commit(Commit((), (Put(ownership_key("a"), encode_table(stored)),)))
    daemon = make_daemon()
    daemon.record_commands()
    daemon.apply_items(configuration_item, registration("i-1", 1))
    daemon.stand_for_election()
    [grant] = daemon.run(0.1)
    daemon.complete(grant)
    daemon.answer_claims()
    return daemon


def fail(daemon, command, sent: bool) -> None:
    """Lets a command to the service ``a`` end without an answer."""
    error = CommandError("late: while receiving", may_have_run=sent)
    daemon.ownership_task.receive(CommandCompleted("a", command, error, "", None))


def drain(decider, registration) -> None:
    decider.apply_items(registration("i-1", 1, "draining"), registration("i-2", 1))


def test_the_lines_of_a_move_name_the_release_both_fences_and_both_incarnations(
    decider, registration, log
):
    """Guards against a change of owner whose cause cannot be found in the log."""
    drain(decider, registration)
    [release] = [c for c in decider.run(0.5) if isinstance(c, ReleaseCommand)]
    decider.complete(release)
    [released] = log.take("keys-released")
    assert_that(released, MatchesRegex(r".* granted_ago=0\.\d+$"))
    [ended] = log.take("hold-ended")
    assert_that(
        ended,
        MatchesRegex(
            r"event=hold-ended service=a server=i-1@1 holder=i-1@1 keys=0-65535 fence=5 "
            r"reason=released former_fence=4 granted_ago=0\.\d+ hold_left=\d\.\d+ unanswered=0$"
        ),
    )
    decider.complete(*[c for c in decider.run(0.1) if isinstance(c, GrantCommand)])
    first = (
        r".* server=i-1@1 keys=0-65535 fence=4 former=none former_fence=none ended=none ended_ago"
    )
    second = r".* server=i-2@1 keys=0-65535 fence=5 former=i-1@1 former_fence=4 ended=released "
    assert_that(
        log.take("keys-granted"),
        MatchesListwise(
            [MatchesRegex(first + r"=none$"), MatchesRegex(second + r"ended_ago=0\.\d+$")]
        ),
    )


def test_an_expired_hold_is_logged_before_the_next_grant_is_answered(decider, registration, log):
    """Guards against a change of owner that leaves no line, because the answer to the grant is
    lost."""
    drain(decider, registration)
    for _ in range(80):
        for command in decider.run(0.1):
            fail(decider, command, sent=False)
    [ended] = log.take("hold-ended")
    assert_that(ended, Contains("reason=expired"))
    assert_that(log.take("keys-granted"), HasLength(1))


def test_a_failed_command_names_its_keys_and_fence(decider, log):
    """Guards against a grant that may have arrived and cannot be found in the log."""
    [renewal] = [c for c in decider.run(1.1) if isinstance(c, GrantCommand)]
    fail(decider, renewal, sent=True)
    [failed] = log.take("command-failed")
    assert_that(failed, Contains(" kind=GrantCommand server=i-1@1 keys=0-65535 fence=4 problem="))
    assert_that(failed, Contains("sent=True"))


def test_a_command_to_a_server_that_is_gone_is_logged(decider, log):
    """Guards against a grant without an answer and without a line: its connection was closed when
    the registration of its server went."""
    [renewal] = [c for c in decider.run(1.1) if isinstance(c, GrantCommand)]
    decider.ownership_task._record_commands_failed([SendCommand("a", renewal, 0.0)])
    [failed] = log.take("command-failed")
    assert_that(failed, Contains("keys=0-65535 fence=4"))
    assert_that(failed, Contains("sent=True"))


def test_a_command_in_progress_is_logged_when_the_daemon_decides_no_more(log, make_daemon):
    """Guards against a grant that the next decider does not know of and that left no line."""
    daemon = make_daemon()
    server = BackendServer("i-1", "a", "127.0.0.1", 1, "kingston", 4, started_ms=1)
    grant = GrantCommand(FORMER, ALL_KEYS, 4, "", False)
    daemon.ownership_task.commands.send(server, "a", grant, daemon.clock.now() + 1.0)
    daemon.ownership_task._stop_deciding()
    [failed] = log.take("command-failed")
    assert_that(failed, Contains("server=i-1@1 keys=0-65535 fence=4"))
    assert_that(failed, Contains("sent=True"))
