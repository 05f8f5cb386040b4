"""Failures, and how long keys have no holder after them."""

from collections.abc import Callable

from fireflylink_emulator._emulated_decider import held_key_fraction
from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._profile import FLEET, LOOKUPS

SETTLE_SECONDS = 3.0
PHASES = 8
PHASE_SECONDS = 0.15
SAMPLE_INTERVAL_SECONDS = 0.05
MEASUREMENT_SECONDS = 30.0
ALL_HELD_FRACTION = 0.9999
"""From this fraction on, all keys count as held."""

BASELINE_HOLD_SECONDS = 10.0
"""The longest hold that the platform allows."""

BASELINE_EXPIRY_SECONDS = 1.5
BASELINE_LEASE_SECONDS = 6.0
DECIDER_LEASE_SECONDS = 1.2
ELECTION_SECONDS = 0.2
DAEMON_RESTART_SECONDS = 1.0


def _crash_server(emulation: Emulation) -> None:
    emulation.servers_of(LOOKUPS)[0].crash(restart_seconds=None)


def _make_server_unresponsive(emulation: Emulation) -> None:
    emulation.servers_of(LOOKUPS)[0].unresponsive = True


def _stop_decider(emulation: Emulation) -> None:
    decider = emulation.deciders[LOOKUPS.name]
    decider.stop()
    emulation.scheduler.schedule_after(DECIDER_LEASE_SECONDS + ELECTION_SECONDS, decider.start)


def _isolate_data_centre(emulation: Emulation) -> None:
    emulation.isolate_data_centre(FLEET.data_centres[-1])


def _isolate_data_centre_with_decider(emulation: Emulation) -> None:
    _isolate_data_centre(emulation)
    _stop_decider(emulation)


def _stop_all_daemons(emulation: Emulation) -> None:
    decider = emulation.deciders[LOOKUPS.name]
    decider.stop()
    delay = max(DAEMON_RESTART_SECONDS, DECIDER_LEASE_SECONDS) + ELECTION_SECONDS
    emulation.scheduler.schedule_after(delay, decider.start)


FAILURES: tuple[tuple[str, Callable[[Emulation], None], float], ...] = (
    ("a server crashes", _crash_server, BASELINE_EXPIRY_SECONDS + BASELINE_HOLD_SECONDS),
    (
        "a server falls silent",
        _make_server_unresponsive,
        BASELINE_EXPIRY_SECONDS + BASELINE_HOLD_SECONDS,
    ),
    ("the deciding daemon is lost", _stop_decider, 0.0),
    (
        "a data centre is cut off",
        _isolate_data_centre,
        BASELINE_EXPIRY_SECONDS + BASELINE_HOLD_SECONDS,
    ),
    (
        "a data centre with the decider",
        _isolate_data_centre_with_decider,
        BASELINE_LEASE_SECONDS + BASELINE_HOLD_SECONDS,
    ),
    ("all daemons at once", _stop_all_daemons, BASELINE_LEASE_SECONDS + BASELINE_HOLD_SECONDS),
)


def measure_recovery(inject_failure: Callable[[Emulation], None], seed: int) -> tuple[float, float]:
    """Returns the lowest fraction of keys held and the seconds until all were held again."""
    emulation = Emulation((LOOKUPS,), FLEET, seed)
    # The recovery time depends on the phase of the hold renewals at the failure.
    settle = SETTLE_SECONDS + (seed % PHASES) * PHASE_SECONDS
    emulation.scheduler.run_until(emulation.scheduler.clock.now() + settle)
    failed_at = emulation.scheduler.clock.now()
    inject_failure(emulation)
    lowest = 1.0
    not_held_until = failed_at
    while emulation.scheduler.clock.now() < failed_at + MEASUREMENT_SECONDS:
        emulation.scheduler.run_until(emulation.scheduler.clock.now() + SAMPLE_INTERVAL_SECONDS)
        fraction = held_key_fraction(emulation.servers_of(LOOKUPS))
        lowest = min(lowest, fraction)
        if fraction < ALL_HELD_FRACTION:
            not_held_until = emulation.scheduler.clock.now()
    return lowest, not_held_until - failed_at
