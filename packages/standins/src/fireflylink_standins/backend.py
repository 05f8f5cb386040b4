"""Runs backend stand-ins: ``python -m fireflylink_standins.backend --port 0 --service holds``."""

import gevent
from absl import app, flags

from fireflylink_standins._backend_admin import BackendAdmin
from fireflylink_standins._backend_server import BackendStandin
from fireflylink_standins._backend_settings import BackendSettings

HOST = flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
PORT = flags.DEFINE_integer("port", 0, "Port of the first server; 0 takes free ones.")
ADMIN_PORT = flags.DEFINE_integer("admin_port", 0, "Port of the admin endpoint; 0: a free one.")
COUNT = flags.DEFINE_integer("count", 1, "Number of servers in this process.")
SERVER_ID = flags.DEFINE_string(
    "server_id", "server", "Id of the server; with --count above 1, -1, -2, ... are appended."
)
SERVICE = flags.DEFINE_string("service", "service", "Service that the servers run.")
SLOTS = flags.DEFINE_integer("slots", 4, "Requests that a warm server runs at once.")
CONNECTIONS = flags.DEFINE_integer("connections", 110, "Connections that a server allows.")
SERVICE_TIME_MS = flags.DEFINE_float("service_time_ms", 5.0, "Time to run a request.")
SERVICE_SPREAD = flags.DEFINE_float("service_spread", 0.0, "Relative spread of the service time.")
QUEUE_LIMIT = flags.DEFINE_integer("queue_limit", 0, "Requests that wait for a slot.")
COLD_SLOTS = flags.DEFINE_integer("cold_slots", 1, "Requests at once at the start of a cold start.")
COLD_RAMP = flags.DEFINE_integer("cold_ramp_successes", 4, "Successes for one more cold slot.")
COLD_FACTOR = flags.DEFINE_float("cold_factor", 1.0, "Factor of the service time while cold.")
STARTS_COLD = flags.DEFINE_boolean("starts_cold", False, "Whether the server starts cold.")
CRASH_MS = flags.DEFINE_float("crash_ms", 1000.0, "How long a crashed server is gone.")
HEALTH_LAG_MS = flags.DEFINE_float("health_lag_ms", 1000.0, "How old a health reply can be.")
CHECKS_GRANTS = flags.DEFINE_boolean("checks_grants", True, "Whether requests need a grant.")
DURABLE_EPOCHS = flags.DEFINE_boolean("durable_epochs", True, "Whether epochs survive a crash.")
CLOCK_OFFSET_MS = flags.DEFINE_integer(
    "clock_offset_ms", 0, "Offset of the first server's clock; each further one adds 1000 s."
)
ANSWER_BYTES = flags.DEFINE_integer("answer_bytes", 0, "Least size of an answer.")
JOURNAL_LIMIT = flags.DEFINE_integer("journal_limit", 200_000, "Entries kept for each server.")

CLOCK_STEP_MS = 1_000_000


def settings_of(index: int) -> BackendSettings:
    """Returns the settings of one server of this process, from the flags."""
    return BackendSettings(
        server_id=SERVER_ID.value if COUNT.value == 1 else f"{SERVER_ID.value}-{index + 1}",
        service=SERVICE.value,
        host=HOST.value,
        port=PORT.value and PORT.value + index,
        slots=SLOTS.value,
        connections=CONNECTIONS.value,
        service_time_ms=SERVICE_TIME_MS.value,
        service_spread=SERVICE_SPREAD.value,
        queue_limit=QUEUE_LIMIT.value,
        cold_slots=COLD_SLOTS.value,
        cold_ramp_successes=COLD_RAMP.value,
        cold_factor=COLD_FACTOR.value,
        crash_ms=CRASH_MS.value,
        health_lag_ms=HEALTH_LAG_MS.value,
        checks_grants=CHECKS_GRANTS.value,
        durable_epochs=DURABLE_EPOCHS.value,
        starts_cold=STARTS_COLD.value,
        clock_offset_ms=CLOCK_OFFSET_MS.value + index * CLOCK_STEP_MS,
        answer_bytes=ANSWER_BYTES.value,
        journal_limit=JOURNAL_LIMIT.value,
    )


def main(_arguments: list[str]) -> None:
    """Listens until the process is ended."""
    standins = [BackendStandin(settings_of(index)) for index in range(COUNT.value)]
    admin = BackendAdmin(standins, HOST.value, ADMIN_PORT.value)
    for standin in standins:
        standin.start()
    admin.start()
    ports = ",".join(str(standin.port) for standin in standins)
    first = standins[0].port
    print(f"event=listening port={first} admin_port={admin.port} ports={ports}", flush=True)
    gevent.get_hub().join()


if __name__ == "__main__":
    app.run(main)
