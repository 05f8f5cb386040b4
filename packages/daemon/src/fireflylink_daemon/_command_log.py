"""The log lines of the results of commands to servers."""

from fireflylink_backend_client import CommandError
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_decisions.ownership import BaseCommand, GrantCommand, ReleaseCommand


def log_granted(service: str, command: GrantCommand) -> None:
    """Logs that a server confirmed the first grant of keys under a fence."""
    log_event(
        "keys-granted",
        service=service,
        server=command.server,
        keys=command.keys,
        fence=command.fence,
    )


def log_released(service: str, command: ReleaseCommand, handover: str) -> None:
    """Logs that a server released keys, and whether it returned a handover token."""
    log_event(
        "keys-released",
        service=service,
        server=command.server,
        keys=command.keys,
        fence=command.fence,
        handover=bool(handover),
    )


def log_command_failed(service: str, command: BaseCommand, error: CommandError) -> None:
    """Logs a command without a good answer, and whether it was sent."""
    log_problem(
        "command-failed",
        service=service,
        kind=type(command).__name__,
        server=command.server,
        problem=error,
        sent=error.may_have_run,
    )
