"""Runs the platform stand-in: ``python -m fireflylink_standins.platform --port 0``."""

import gevent
from absl import app, flags

from fireflylink_standins._platform_server import PlatformStandin

HOST = flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
PORT = flags.DEFINE_integer("port", 0, "Port to listen on; 0 takes a free one.")
INSTANCE_LAG_MS = flags.DEFINE_integer(
    "instance_lag_ms", 500, "Time after which a change of the instance list becomes visible."
)


def main(_arguments: list[str]) -> None:
    """Listens until the process is ended."""
    platform = PlatformStandin(HOST.value, PORT.value, INSTANCE_LAG_MS.value)
    platform.start()
    print(f"event=listening port={platform.port}", flush=True)
    gevent.get_hub().join()


if __name__ == "__main__":
    app.run(main)
