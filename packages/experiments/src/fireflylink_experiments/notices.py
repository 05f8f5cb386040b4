"""Measures what callers get, and servers receive, when servers ask for pauses or leave.

Each scenario is replayed with daemons that heed the servers' notices and with daemons that do not::

    python -m fireflylink_experiments.notices --seed 1 --daemons 12
"""

import functools
import random
import sys

from absl import flags

from fireflylink_emulator import (
    APPROVALS,
    FLEET,
    LOOKUPS,
    BaseScenario,
    EmulatedServer,
    Emulation,
    RoutedDaemon,
)

SEED = flags.DEFINE_integer("seed", 1, "Seed of the arrivals and of the emulation.")
DAEMONS = flags.DEFINE_integer("daemons", 12, "Number of daemons.", lower_bound=1)

BURST_START_SECONDS = 3.0
BURST_END_SECONDS = 9.0
BURST_LOAD_FACTOR = 2.5
PAUSE_SECONDS = 1.5
LEAVING_SECONDS = 4.0
"""Time from the announcement of a server until it ends, which is longer than the drain time."""

HOT_KEY = 20_480
HOT_KEY_FRACTION = 0.3


class ThirdOfPooledServers(BaseScenario):
    """A third of the servers of a pooled service asks for pauses."""

    __slots__ = ()
    name = "pooled-third"
    profiles = (APPROVALS,)

    def load_factor(self, seconds: float) -> float:
        in_burst = BURST_START_SECONDS <= seconds < BURST_END_SECONDS
        return BURST_LOAD_FACTOR if in_burst else 1.0

    def schedule_events(self, emulation: Emulation) -> None:
        for server in self.pausing_servers(emulation):
            server.pause_seconds = PAUSE_SECONDS

    def pausing_servers(self, emulation: Emulation) -> list[EmulatedServer]:
        """Returns the servers that ask for a pause when their slots are in use."""
        return emulation.servers_of(self.profile)[::3]


class AllPooledServers(ThirdOfPooledServers):
    """All servers of a pooled service ask for pauses."""

    __slots__ = ()
    name = "pooled-all"

    def pausing_servers(self, emulation: Emulation) -> list[EmulatedServer]:
        return emulation.servers_of(self.profile)


class OwnersWithHotKey(AllPooledServers):
    """The owners of a keyed service ask for pauses, and one key gets many of the requests."""

    __slots__ = ()
    name = "keyed-hot-key"
    profiles = (LOOKUPS,)
    base_load_fraction = 0.2

    def choose_key(self, rng: random.Random, seconds: float) -> int:
        is_hot = seconds >= BURST_START_SECONDS and rng.random() < HOT_KEY_FRACTION
        return HOT_KEY if is_hot else super().choose_key(rng, seconds)


class ReleaseWithoutStore(ThirdOfPooledServers):
    """While the store is away, a third of the servers leaves, one after the other."""

    __slots__ = ()
    name = "release"

    def load_factor(self, seconds: float) -> float:
        return 1.0

    def schedule_events(self, emulation: Emulation) -> None:
        emulation.store_reachable = False
        for number, server in enumerate(self.pausing_servers(emulation)):
            announced_at = BURST_START_SECONDS + number
            emulation.scheduler.schedule_after(
                announced_at, functools.partial(setattr, server, "announces_leaving", True)
            )
            emulation.scheduler.schedule_after(
                announced_at + LEAVING_SECONDS, functools.partial(server.crash, None)
            )


SCENARIOS = (
    ThirdOfPooledServers(),
    AllPooledServers(),
    OwnersWithHotKey(),
    ReleaseWithoutStore(),
)


def replay(scenario: BaseScenario, seed: int, daemons: int, heeds_notices: bool) -> Emulation:
    """Replays a scenario; returns the ended emulation."""
    fleet = FLEET.replace(daemon_count=daemons)
    emulation = Emulation(scenario.profiles, fleet, seed)
    for daemon in emulation.daemons:
        if isinstance(daemon, RoutedDaemon):
            daemon.heeds_notices = heeds_notices
    scenario.schedule_events(emulation)
    emulation.replay(scenario.generate_pattern(random.Random(seed)))
    return emulation


def _row(scenario: BaseScenario, emulation: Emulation, heeds_notices: bool) -> str:
    statistics = emulation.callers.statistics_of(scenario.profile)
    records = [server.pauses for server in emulation.servers]
    heeds = "yes" if heeds_notices else "no"
    return (
        f"{scenario.name:<14} {heeds:>5} {statistics.earned_fraction:>6.3f}"
        f" {statistics.requests:>6} {statistics.in_time:>7} {statistics.late:>5}"
        f" {statistics.refused:>7} {statistics.failed:>6}"
        f" {sum(record.arrivals for record in records):>9}"
        f" {max(record.most_arrivals for record in records):>4}"
        f" {sum(server.arrivals_after_leaving for server in emulation.servers):>7}"
        f" {statistics.guarantee_violations:>6}"
    )


def main() -> None:
    """Prints two rows for each scenario."""
    flags.FLAGS(sys.argv)
    print(f"seed {SEED.value}; {DAEMONS.value} daemons; pauses of {PAUSE_SECONDS:g} s")
    print(
        "scenario       heeds  worth  asked in-time  late refused failed in pauses most leaving"
        " broken"
    )
    for scenario in SCENARIOS:
        for heeds_notices in (False, True):
            emulation = replay(scenario, SEED.value, DAEMONS.value, heeds_notices)
            print(_row(scenario, emulation, heeds_notices))


if __name__ == "__main__":
    main()
