"""Measures the control plane: ``python -m fireflylink_experiments.control_plane --seed 1``.

It drives the real control tasks of many daemons in one process on a manual clock, and prints what a
daemon of each role spends per second, how long an accepted configuration takes to reach every
daemon, the calls of the platform, and the slope of each cost against the daemons in a data centre.
Processor times hold no work of gRPC; ``fireflylink_experiments.control_call`` measures that.
"""

import collections
import gc
import statistics
import time

from absl import app, flags, logging

from fireflylink_core import ServerState
from fireflylink_experiments._control_system import (
    ControlSystem,
    SimulatedDaemon,
    SystemShape,
)
from fireflylink_experiments._fits import fit_line

SEED = flags.DEFINE_integer("seed", 1, "Seed of phases.")
SIZES = flags.DEFINE_list("sizes", ["9x3", "50x3", "200x3", "680x11"], "Daemons x data centres.")
FITTED = flags.DEFINE_integer("fitted", 3, "The first so many sizes are fitted.")
SERVERS = flags.DEFINE_integer("servers_per_daemon", 1, "Backend servers for each daemon.")
SHARDS = flags.DEFINE_integer("shards_per_server", 4, "Shards for each backend server.")
WINDOW = flags.DEFINE_float("window", 10.0, "Seconds that are measured.", 1.0, 60.0)

WARM_UP = 8.0
CHANGE_LIMIT = 10.0
STEP = 0.05
ROLES = ("leaf", "relay", "root")
COSTS = ("messages", "bytes", "cpu_us", "views")
MICROSECONDS = 1e6

Figures = dict[str, dict[str, float]]


def role_of(daemon: SimulatedDaemon) -> str:
    """Returns the role that a daemon played in the measured window."""
    if daemon.task.watching:
        return "root"
    return "relay" if daemon.tally.children else "leaf"


def figures_of(system: ControlSystem, seconds: float) -> Figures:
    """Returns the mean cost per second of the daemons of each role."""
    by_role: dict[str, list[SimulatedDaemon]] = collections.defaultdict(list)
    for daemon in system.daemons.values():
        by_role[role_of(daemon)].append(daemon)
    return {
        role: {
            "daemons": len(found),
            "children": max(len(daemon.tally.children) for daemon in found),
            "messages": statistics.mean(daemon.tally.messages for daemon in found) / seconds,
            "bytes": statistics.mean(daemon.tally.bytes for daemon in found) / seconds,
            "cpu_us": statistics.mean(d.tally.cpu for d in found) / seconds * MICROSECONDS,
            "cpu_us_most": max(d.tally.cpu for d in found) / seconds * MICROSECONDS,
            "bytes_most": max(daemon.tally.bytes for daemon in found) / seconds,
            "views": statistics.mean(daemon.tally.views for daemon in found) / seconds,
        }
        for role, found in by_role.items()
    }


def print_change(system: ControlSystem, name: str) -> None:
    """Drains a server by a release note and prints how the change spreads."""
    configuration = system.configuration
    server_id, server = next(iter(configuration.servers.items()))
    servers = {**configuration.servers, server_id: server.replace(state=ServerState.DRAINING)}
    version = configuration.version + 1
    system.reset()
    started = system.clock.now()
    system.apply(configuration.replace(version=version, servers=servers))
    waiting = set(system.daemons)
    while waiting and system.clock.now() - started < CHANGE_LIMIT:
        system.run(STEP)
        waiting = {name for name in waiting if version not in system.daemons[name].configuration_at}
    delays = sorted(
        daemon.configuration_at[version] - started
        for daemon in system.daemons.values()
        if version in daemon.configuration_at
    )
    spent = figures_of(system, 1.0)
    system.run(max(0.0, WINDOW.value - (system.clock.now() - started)))
    calls = " ".join(f"{kind}={count}" for kind, count in sorted(system.platform.calls.items()))
    print(
        f"event=change size={name} reached={len(delays)} of={len(system.daemons)}"
        f" median_s={statistics.median(delays):.2f} last_s={delays[-1]:.2f}"
        f" leaf_bytes={spent['leaf']['bytes']:.0f} platform_calls: {calls}",
        flush=True,
    )


def measure(name: str) -> tuple[float, Figures]:
    """Measures one size; returns the daemons in a data centre and the figures of each role."""
    daemons, data_centres = (int(part) for part in name.split("x"))
    system = ControlSystem(
        SystemShape(daemons, data_centres, SERVERS.value, SHARDS.value), SEED.value
    )
    started = time.monotonic()
    system.run(WARM_UP)
    system.reset()
    gc.collect()
    system.run(WINDOW.value)
    figures = figures_of(system, WINDOW.value)
    for role in ROLES:
        if role in figures:
            values = " ".join(f"{key}={value:.1f}" for key, value in figures[role].items())
            print(f"event=role size={name} role={role} per_second: {values}", flush=True)
    rates = " ".join(
        f"{kind}={count / WINDOW.value:.2f}" for kind, count in system.platform.calls.items()
    )
    print(
        f"event=platform size={name} roots={len(system.roots())}"
        f" waiting_watches={2 * len(system.platform.watchers)} calls_per_second: {rates}"
    )
    print_change(system, name)
    print(f"event=measured size={name} took_s={time.monotonic() - started:.0f}", flush=True)
    return daemons / data_centres, figures


def main(_arguments: list[str]) -> None:
    """Measures each size and prints the lines through the first ones."""
    logging.set_verbosity(logging.ERROR)
    measured = [measure(name) for name in SIZES.value]
    for role in ROLES:
        points = [(size, found[role]) for size, found in measured if role in found]
        fitted = [point for point in points if point in points[: FITTED.value]]
        if len(fitted) < 2:
            continue
        for cost in COSTS:
            line = fit_line([(size, values[cost]) for size, values in fitted])
            print(
                f"event=slope role={role} cost={cost}_per_second points={len(fitted)}"
                f" per_daemon_in_centre={line.slope:.3f} fixed={line.intercept:.1f}"
                f" residual={line.residual:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    app.run(main)
