"""A backend server as a process: ``python -m fireflylink_soak.server_program --help``."""

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import signal  # noqa: E402

import gevent  # noqa: E402
from absl import app, flags  # noqa: E402

from fireflylink_caller_frontend import ListenerError  # noqa: E402
from fireflylink_core import SystemClock  # noqa: E402
from fireflylink_soak._record import RecordingGrantState  # noqa: E402
from fireflylink_soak._remote_store import RemoteStore  # noqa: E402
from fireflylink_standins import BackendServerStandin  # noqa: E402

ID = flags.DEFINE_string("id", None, "Id of the server.", required=True)
SERVICE = flags.DEFINE_string("service", None, "Service of the server.", required=True)
DATA_CENTRE = flags.DEFINE_string("data_centre", None, "Its data centre.", required=True)
KEYED = flags.DEFINE_bool("keyed", False, "Whether it owns keys.")
PORT = flags.DEFINE_integer("port", None, "Port on 127.0.0.1.", 1, 65535, required=True)
ADVERTISED_PORT = flags.DEFINE_integer("advertised_port", None, "Port that daemons connect to.")
STORE_PORT = flags.DEFINE_integer("store_port", None, "Port of the store.", required=True)
EVENTS = flags.DEFINE_string("events", None, "File for the record of events.", required=True)
WORK_SECONDS = flags.DEFINE_float("work_seconds", 0.02, "Duration of a request.", 0.0)
COLD_SECONDS = flags.DEFINE_float("cold_seconds", 0.0, "How long the server is cold.", 0.0)

PORT_POLL_SECONDS = 0.05
DRAIN_SECONDS = 3.0
"""Time from the registration as draining until the process ends: ``drain_ms`` and some more."""


def main(_arguments: list[str]) -> None:
    """Serves until the process is ended; SIGTERM drains it first.

    SIGUSR1 registers it as draining, and SIGUSR2 as ready again.
    """
    clock = SystemClock()
    server = _make_server(clock)
    gevent.signal_handler(signal.SIGUSR1, _register, server, True)
    gevent.signal_handler(signal.SIGUSR2, _register, server, False)
    server.advertised_port = ADVERTISED_PORT.value or PORT.value
    state = RecordingGrantState(clock, pathlib.Path(EVENTS.value))
    server.state = state
    server.work_seconds = WORK_SECONDS.value
    server.cold_until = clock.now() + COLD_SECONDS.value
    state.record_started(server.cold_until)
    leaving = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, leaving.set)
    server.start()
    leaving.wait()
    server.drain()
    state.record_draining()
    gevent.sleep(DRAIN_SECONDS)


def _make_server(clock: SystemClock) -> BackendServerStandin:
    """Returns the server, once a former process has left the port."""
    store = RemoteStore(STORE_PORT.value, clock)
    while True:
        try:
            return BackendServerStandin(
                ID.value, SERVICE.value, DATA_CENTRE.value, KEYED.value, store, clock, PORT.value
            )
        except ListenerError:
            gevent.sleep(PORT_POLL_SECONDS)


def _register(server: BackendServerStandin, draining: bool) -> None:
    server.draining = draining
    server.register()


if __name__ == "__main__":
    app.run(main)
