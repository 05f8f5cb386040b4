"""The stand-in of the store as a process: ``python -m fireflylink_soak.store_program --port N``."""

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402
from absl import app, flags  # noqa: E402

from fireflylink_caller_frontend import HttpListener  # noqa: E402
from fireflylink_core import CallerLimits, SystemClock  # noqa: E402
from fireflylink_soak._remote_store import CONTROL_PATH, ControlResource  # noqa: E402
from fireflylink_standins import StoreFaults, StoreState, make_store_application  # noqa: E402

PORT = flags.DEFINE_integer("port", None, "Port on 127.0.0.1.", 1, 65535, required=True)


def main(_arguments: list[str]) -> None:
    """Serves until the process is ended."""
    state = StoreState(SystemClock())
    faults = StoreFaults()
    application = make_store_application(state, faults)
    application.add_route(CONTROL_PATH, ControlResource(state, faults))
    HttpListener(application, "127.0.0.1", PORT.value, CallerLimits).start()
    gevent.get_hub().join()


if __name__ == "__main__":
    app.run(main)
