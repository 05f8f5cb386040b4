"""Command line of the daemon."""

# gevent patches the sockets before any module that opens some is imported, so that none blocks.
import os
import signal
import sys

from gevent import monkey

monkey.patch_all(subprocess=False, thread=False)

import gevent  # noqa: E402
from absl import flags  # noqa: E402
from returns.result import Success  # noqa: E402

from fireflylink_caller_frontend import ListenerError  # noqa: E402
from fireflylink_core import SystemClock  # noqa: E402
from fireflylink_daemon._daemon import Daemon  # noqa: E402
from fireflylink_daemon._log import flush_log, log_event, log_problem, start_logging  # noqa: E402
from fireflylink_daemon._settings import read_settings  # noqa: E402

EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 3
REQUIRED_LOOP_BACKEND = "epoll"
SETTINGS_VARIABLE = "FIREFLYLINK_CONFIG"

SETTINGS = flags.DEFINE_string(
    "settings",
    None,
    f"Path of the settings file (JSON); default: environment variable {SETTINGS_VARIABLE}.",
)
CHECK = flags.DEFINE_bool("check", False, "Check the settings and exit without starting.")


def _event_loop_problem() -> str:
    """Returns why the event loop cannot be used, or an empty string.

    The libuv loop can use io_uring, which the instances do not allow.
    """
    loop = gevent.get_hub().loop
    if type(loop).__module__.startswith("gevent.libev") and loop.backend == REQUIRED_LOOP_BACKEND:
        return ""
    return (
        f"the event loop must be libev with {REQUIRED_LOOP_BACKEND}; "
        f"its module is {type(loop).__module__}"
    )


def _run() -> int:
    path = SETTINGS.value or os.environ.get(SETTINGS_VARIABLE, "")
    result = read_settings(path)
    if not isinstance(result, Success):
        sys.stderr.write(f"fireflylinkd: {result.failure()}\n")
        return EXIT_INVALID_SETTINGS
    if CHECK.value:
        sys.stdout.write(f"{path}: the settings are valid\n")
        return 0
    problem = _event_loop_problem()
    if problem:
        sys.stderr.write(f"fireflylinkd: {problem}\n")
        return EXIT_START_FAILED
    start_logging()
    try:
        daemon = Daemon(result.unwrap(), path, SystemClock())
    except (ListenerError, OSError) as error:
        log_problem("start-failed", problem=error)
        flush_log()
        return EXIT_START_FAILED
    daemon.start()
    gevent.signal_handler(signal.SIGTERM, gevent.spawn, daemon.shut_down)
    gevent.signal_handler(signal.SIGINT, gevent.spawn, daemon.shut_down)
    gevent.signal_handler(signal.SIGHUP, daemon.reload)
    daemon.wait()
    log_event("exit", status=0)
    flush_log()
    return 0


def main() -> None:
    """Runs the daemon until SIGTERM or SIGINT, and exits with its status."""
    try:
        flags.FLAGS(sys.argv)
    except flags.Error as error:
        sys.stderr.write(f"fireflylinkd: {error}\n{flags.FLAGS.get_help()}\n")
        sys.exit(EXIT_INVALID_SETTINGS)
    sys.exit(_run())
