"""Command line of the daemon."""

# Imported before anything else that opens sockets, so that all of them are cooperative.
import signal
import sys

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402
from absl import app, flags  # noqa: E402
from grpc.experimental import gevent as grpc_gevent  # noqa: E402
from returns.pipeline import is_successful  # noqa: E402

from fireflylink_caller_frontend import ListenerError  # noqa: E402
from fireflylink_core import SystemClock  # noqa: E402
from fireflylink_daemon._daemon import Daemon  # noqa: E402
from fireflylink_daemon._log import log_event, log_problem, start_logging  # noqa: E402
from fireflylink_daemon._settings import read_settings  # noqa: E402
from fireflylink_protocol import PeerError  # noqa: E402

EXIT_SETTINGS = 2
EXIT_START = 3
REQUIRED_LOOP = "epoll"

SETTINGS = flags.DEFINE_string("settings", None, "Path of the settings file, in JSON.")
CHECK = flags.DEFINE_bool("check", False, "Check the settings and exit without starting.")


def _loop_problem() -> str:
    """Returns why the event loop must not be used, empty when it may.

    The libuv loop can use io_uring, which the instances do not allow.
    """
    loop = gevent.get_hub().loop
    if type(loop).__module__.startswith("gevent.libev") and loop.backend == REQUIRED_LOOP:
        return ""
    return f"the event loop must be libev with {REQUIRED_LOOP}, not {type(loop).__module__}"


def _run(_arguments: list[str]) -> int:
    start_logging()
    result = read_settings(str(SETTINGS.value))
    if not is_successful(result):
        sys.stderr.write(f"fireflylinkd: {result.failure()}\n")
        return EXIT_SETTINGS
    problem = _loop_problem()
    if problem:
        sys.stderr.write(f"fireflylinkd: {problem}\n")
        return EXIT_START
    if CHECK.value:
        log_event("settings-checked", file=SETTINGS.value)
        return 0
    grpc_gevent.init_gevent()
    try:
        daemon = Daemon(result.unwrap(), SystemClock())
    except (ListenerError, PeerError) as error:
        log_problem("start-failed", problem=error)
        return EXIT_START
    daemon.start()
    sys.stdout.write(f"{daemon.listening_line()}\n")
    sys.stdout.flush()
    gevent.signal_handler(signal.SIGTERM, gevent.spawn, daemon.leave)
    gevent.signal_handler(signal.SIGINT, gevent.spawn, daemon.leave)
    daemon.wait()
    return 0


def main() -> None:
    """Runs the daemon until it is told to leave."""
    flags.mark_flag_as_required("settings")  # type: ignore[no-untyped-call]
    app.run(_run)
