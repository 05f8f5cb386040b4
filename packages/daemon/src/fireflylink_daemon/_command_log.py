"""The log lines of commands to servers, and of the holds that they start and end."""

from fireflylink_backend_client import CommandError
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_decisions.ownership import (
    BaseCommand,
    GrantCommand,
    GrantTracker,
    ReleaseCommand,
    keys_and_fence,
)

NONE = "none"
"""Value of a field without one, such as the former holder of keys that nobody held."""

NO_ANSWER = "ended without an answer: the connection was closed"


def log_granted(service: str, command: GrantCommand, tracker: GrantTracker, now: float) -> None:
    """Logs that a server confirmed the first grant of keys under a fence, and the former holds."""
    hold_ends = tracker.take_hold_ends_of(command)
    former_fences = [end.former_fence for end in hold_ends if end.former_fence is not None]
    ended_at = max((end.ended_at for end in hold_ends), default=float("-inf"))
    log_event(
        "keys-granted",
        service=service,
        server=command.server,
        keys=command.keys,
        fence=command.fence,
        former=",".join(str(end.server) for end in hold_ends) or NONE,
        former_fence=max(former_fences, default=NONE),
        ended=",".join(end.reason.value for end in hold_ends) or NONE,
        ended_ago=_seconds(now - ended_at),
    )


def log_hold_ends(service: str, tracker: GrantTracker) -> None:
    """Logs what ended the holds of previous holders since the last call."""
    for end in tracker.hold_ends.take():
        log_event(
            "hold-ended",
            service=service,
            server=end.server,
            holder=end.holder,
            keys=end.keys,
            fence=end.fence,
            reason=end.reason.value,
            former_fence=NONE if end.former_fence is None else end.former_fence,
            granted_ago=_seconds(end.ended_at - end.granted_at),
            hold_left=_seconds(end.expires_at - end.ended_at),
            unanswered=end.unanswered_grants,
        )


def log_released(
    service: str, command: ReleaseCommand, handover: str, tracker: GrantTracker, now: float
) -> None:
    """Logs that a server released keys, and the age of its last confirmed grant of any of them."""
    granted_at = tracker.hold_ends.last_granted_at(command.server, command.keys)
    log_event(
        "keys-released",
        service=service,
        server=command.server,
        keys=command.keys,
        fence=command.fence,
        handover=bool(handover),
        granted_ago=_seconds(now - granted_at),
    )
    log_hold_ends(service, tracker)


def log_command_failed(service: str, command: BaseCommand, error: CommandError | None) -> None:
    """Logs a command without a good answer, and whether it was sent.

    Without an ``error``, its connection was closed, because the server is gone or this daemon
    decides no more. It may have been sent.
    """
    keys, fence = keys_and_fence(command)
    log_problem(
        "command-failed",
        service=service,
        kind=type(command).__name__,
        server=command.server,
        keys=keys,
        fence=fence,
        problem=NO_ANSWER if error is None else error,
        sent=error is None or error.may_have_run,
    )


def _seconds(seconds: float) -> float | str:
    """Returns a duration to log; one from or to a time that never was is none."""
    return NONE if abs(seconds) == float("inf") else seconds
