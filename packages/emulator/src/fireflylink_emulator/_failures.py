"""Failures, and how long keys have no holder after each of them.

Each failure is injected once into a run without requests, unlike the random faults of
``_fault_run``, which interrupt a run with requests. The recovery times are compared with a
calculated baseline, the hash baseline: owners are found by a hash of the key, without a decider.
"""

from collections.abc import Callable

from fireflylink_emulator._emulated_decider import held_key_fraction
from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._profile import FLEET, LOOKUPS

SECONDS_BEFORE_FAILURE = 3.0
"""Time from the first grants to the failure in phase 0."""

RENEWAL_PHASES = 8
RENEWAL_PHASE_SECONDS = 0.15
"""Each later phase injects the failure this much later. Holds are renewed each second, which all
phases together cover."""

SAMPLE_INTERVAL_SECONDS = 0.05
MEASUREMENT_SECONDS = 30.0
ALL_HELD_FRACTION = 0.9999
"""From this fraction on, all keys count as held."""

HASH_BASELINE_HOLD_SECONDS = 10.0
"""The longest hold that the platform allows."""

HASH_BASELINE_REGISTRATION_EXPIRY_SECONDS = 1.5
"""Time until a lost server is no longer registered."""

HASH_BASELINE_DAEMON_LEASE_SECONDS = 6.0
"""Time until a lost daemon is no longer listed in the store, as in production."""

DECIDER_LEASE_SECONDS = 1.2
"""Time until the lease of a lost decider ends, as in production."""

ELECTION_SECONDS = 0.2
"""Time from the end of the lease until the next decider starts."""

DAEMON_RESTART_SECONDS = 1.0


def _crash_server(emulation: Emulation) -> None:
    emulation.servers_of(LOOKUPS)[0].crash(restart_seconds=None)


def _make_server_unresponsive(emulation: Emulation) -> None:
    emulation.servers_of(LOOKUPS)[0].unresponsive = True


def _stop_decider(emulation: Emulation) -> None:
    decider = emulation.deciders[LOOKUPS.service]
    decider.stop()
    emulation.scheduler.schedule_after(DECIDER_LEASE_SECONDS + ELECTION_SECONDS, decider.start)


def _isolate_data_centre(emulation: Emulation) -> None:
    emulation.isolate_data_centre(FLEET.data_centres[-1])


def _isolate_data_centre_with_decider(emulation: Emulation) -> None:
    _isolate_data_centre(emulation)
    _stop_decider(emulation)


def _stop_all_daemons(emulation: Emulation) -> None:
    """Stops the decider only: without requests, the other daemons have no effect on the holds."""
    decider = emulation.deciders[LOOKUPS.service]
    decider.stop()
    delay = max(DAEMON_RESTART_SECONDS, DECIDER_LEASE_SECONDS) + ELECTION_SECONDS
    emulation.scheduler.schedule_after(delay, decider.start)


FAILURES: tuple[tuple[str, Callable[[Emulation], None], float], ...] = (
    (
        "a server crashes",
        _crash_server,
        HASH_BASELINE_REGISTRATION_EXPIRY_SECONDS + HASH_BASELINE_HOLD_SECONDS,
    ),
    (
        "a server falls silent",
        _make_server_unresponsive,
        HASH_BASELINE_REGISTRATION_EXPIRY_SECONDS + HASH_BASELINE_HOLD_SECONDS,
    ),
    ("the deciding daemon is lost", _stop_decider, 0.0),
    (
        "a data centre is cut off",
        _isolate_data_centre,
        HASH_BASELINE_REGISTRATION_EXPIRY_SECONDS + HASH_BASELINE_HOLD_SECONDS,
    ),
    (
        "a data centre with the decider",
        _isolate_data_centre_with_decider,
        HASH_BASELINE_DAEMON_LEASE_SECONDS + HASH_BASELINE_HOLD_SECONDS,
    ),
    (
        "all daemons at once",
        _stop_all_daemons,
        HASH_BASELINE_DAEMON_LEASE_SECONDS + HASH_BASELINE_HOLD_SECONDS,
    ),
)
"""Each failure with its printed name and the recovery time of the hash baseline in seconds. That is
0 for the loss of the decider, because the baseline has none."""


def measure_recovery(inject_failure: Callable[[Emulation], None], seed: int) -> tuple[float, float]:
    """Returns the lowest fraction of keys held and the seconds until all were held again.

    ``seed`` also selects the phase, modulo ``RENEWAL_PHASES``.
    """
    emulation = Emulation((LOOKUPS,), FLEET, seed)
    # The recovery time depends on the phase of the hold renewals at the failure.
    seconds_before_failure = (
        SECONDS_BEFORE_FAILURE + (seed % RENEWAL_PHASES) * RENEWAL_PHASE_SECONDS
    )
    emulation.scheduler.run_until(emulation.scheduler.clock.now() + seconds_before_failure)
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
