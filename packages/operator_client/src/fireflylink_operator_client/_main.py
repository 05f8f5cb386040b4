"""Entry point of the operators' command line: parses the arguments and prints the lines."""

import pathlib
import sys
from collections.abc import Iterator

from absl import flags
from returns.result import Success

from fireflylink_core import SystemClock
from fireflylink_daemon import read_settings
from fireflylink_operator_client._commands import owner_lines, request_log_lines, status_lines
from fireflylink_operator_client._errors import OperatorError, OverlapError
from fireflylink_operator_client._history_command import history_lines
from fireflylink_operator_client._system_view import SystemView, read_system
from fireflylink_platform import PlatformItemDecoder, PlatformStoreClient

USAGE = """fireflylink: what the system knows, what became of a request, and who held a key

  fireflylink status --store HOST:PORT               daemons, decider, servers, configuration
  fireflylink owners SERVICE --store HOST:PORT       who owns which keys   [--key K]
  fireflylink request ID LOG...                      every line of the logs about a request
  fireflylink history KEY --service SERVICE LOG...   who held a key, from the logs of all daemons;
                                                     exit status 3 if two owners overlap, which
                                                     clocks that differ can feign
  fireflylink check-settings FILE                    whether a daemon takes a settings file
"""
EXIT_COMMAND_FAILED = 1
EXIT_USAGE = 2
EXIT_OVERLAP = 3

STORE = flags.DEFINE_string("store", None, "Address of the metadata store, as HOST:PORT.")
KEY = flags.DEFINE_integer("key", None, "Show only the owner of this key.")
SERVICE = flags.DEFINE_string("service", None, "The service of the key whose history to show.")


def _read_view() -> SystemView:
    host, _, port = (STORE.value or "").rpartition(":")
    if not host or not port.isdecimal():
        raise OperatorError("--store must be HOST:PORT, as in a daemon's settings")
    clock = SystemClock()
    result = read_system(PlatformStoreClient(host, int(port), clock), PlatformItemDecoder(), clock)
    if not isinstance(result, Success):
        raise result.failure()
    view: SystemView = result.unwrap()
    return view


def _check_settings(path: str) -> Iterator[str]:
    result = read_settings(path)
    if not isinstance(result, Success):
        raise OperatorError(str(result.failure()))
    yield f"{path}: the settings are valid"


def _read_log(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from error


def _command_lines(arguments: list[str]) -> Iterator[str] | None:
    match arguments:
        case ["status"]:
            return status_lines(_read_view())
        case ["owners", service]:
            return owner_lines(_read_view(), service, KEY.value)
        case ["request", request_id, *paths] if paths:
            return request_log_lines(request_id, [_read_log(path) for path in paths])
        case ["history", key, *paths] if paths and SERVICE.value and key.isdecimal():
            return history_lines(
                SERVICE.value, int(key), [(path, _read_log(path)) for path in paths]
            )
        case ["check-settings", path]:
            return _check_settings(path)
        case _:
            return None


def run(arguments: list[str]) -> int:
    """Runs one command and prints its lines; returns the exit status of the process."""
    try:
        lines = _command_lines(arguments)
        if lines is None:
            sys.stderr.write(USAGE)
            return EXIT_USAGE
        for line in lines:
            sys.stdout.write(f"{line}\n")
    except OverlapError as error:
        sys.stderr.write(f"fireflylink: {error}\n")
        return EXIT_OVERLAP
    except OperatorError as error:
        sys.stderr.write(f"fireflylink: {error}\n")
        return EXIT_COMMAND_FAILED
    return 0


def main() -> None:
    """Runs the command given on the command line and exits with its status."""
    try:
        arguments = flags.FLAGS(sys.argv)[1:]
    except flags.Error as error:
        sys.stderr.write(f"fireflylink: {error}\n{USAGE}")
        sys.exit(EXIT_USAGE)
    sys.exit(run(arguments))
