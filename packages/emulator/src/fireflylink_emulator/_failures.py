"""Losses, and for how long keys are without an owner after them."""

from collections.abc import Callable

from fireflylink_emulator._emulated_decider import held_key_fraction
from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._profile import FLEET, LOOKUPS

SETTLE_SECONDS = 3.0
PHASES = 8
PHASE_SECONDS = 0.15
SAMPLE_SECONDS = 0.05
LONGEST_SECONDS = 30.0
WHOLE = 0.9999
BASELINE_HOLD_SECONDS = 10.0
BASELINE_EXPIRY_SECONDS = 1.5
BASELINE_LEASE_SECONDS = 6.0
DECIDER_LEASE_SECONDS = 1.2
ELECTION_SECONDS = 0.2
RESTART_SECONDS = 1.0


def _lose_server(emulation: Emulation) -> None:
    emulation.servers_of(LOOKUPS)[0].crash(restart_seconds=None)


def _silence_server(emulation: Emulation) -> None:
    emulation.servers_of(LOOKUPS)[0].unresponsive = True


def _lose_decider(emulation: Emulation) -> None:
    decider = emulation.deciders[LOOKUPS.name]
    decider.stop()
    emulation.scheduler.schedule_after(DECIDER_LEASE_SECONDS + ELECTION_SECONDS, decider.start)


def _lose_data_centre(emulation: Emulation) -> None:
    emulation.isolate_data_centre(FLEET.data_centres[-1])


def _lose_data_centre_with_decider(emulation: Emulation) -> None:
    _lose_data_centre(emulation)
    _lose_decider(emulation)


def _lose_all_daemons(emulation: Emulation) -> None:
    decider = emulation.deciders[LOOKUPS.name]
    decider.stop()
    wait = max(RESTART_SECONDS, DECIDER_LEASE_SECONDS) + ELECTION_SECONDS
    emulation.scheduler.schedule_after(wait, decider.start)


FAILURES: tuple[tuple[str, Callable[[Emulation], None], float], ...] = (
    ("a server crashes", _lose_server, BASELINE_EXPIRY_SECONDS + BASELINE_HOLD_SECONDS),
    ("a server falls silent", _silence_server, BASELINE_EXPIRY_SECONDS + BASELINE_HOLD_SECONDS),
    ("the deciding daemon is lost", _lose_decider, 0.0),
    (
        "a data centre is cut off",
        _lose_data_centre,
        BASELINE_EXPIRY_SECONDS + BASELINE_HOLD_SECONDS,
    ),
    (
        "a data centre with the decider",
        _lose_data_centre_with_decider,
        BASELINE_LEASE_SECONDS + BASELINE_HOLD_SECONDS,
    ),
    ("all daemons at once", _lose_all_daemons, BASELINE_LEASE_SECONDS + BASELINE_HOLD_SECONDS),
)


def measure_recovery(inject_failure: Callable[[Emulation], None], seed: int) -> tuple[float, float]:
    """Returns the least fraction of the keys that was held, and when all were held again."""
    emulation = Emulation((LOOKUPS,), FLEET, seed)
    # The phase of the renewals at the loss decides on the time.
    settle = SETTLE_SECONDS + (seed % PHASES) * PHASE_SECONDS
    emulation.scheduler.run_until(emulation.scheduler.clock.now() + settle)
    lost_at = emulation.scheduler.clock.now()
    inject_failure(emulation)
    least = 1.0
    whole_at = lost_at
    while emulation.scheduler.clock.now() < lost_at + LONGEST_SECONDS:
        emulation.scheduler.run_until(emulation.scheduler.clock.now() + SAMPLE_SECONDS)
        part = held_key_fraction(emulation.servers_of(LOOKUPS))
        least = min(least, part)
        if part < WHOLE:
            whole_at = emulation.scheduler.clock.now()
    return least, whole_at - lost_at
