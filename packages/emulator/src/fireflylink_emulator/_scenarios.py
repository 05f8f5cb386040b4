"""The worst loads, each a recorded arrival pattern and what happens to the servers meanwhile."""

import abc
import functools
import random

from fireflylink_core import KEY_COUNT
from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._pattern import Arrival, ArrivalPattern
from fireflylink_emulator._profile import APPROVALS, LOOKUPS, ORDERS, ServiceProfile

PATTERN_SECONDS = 12.0
BEGIN_SECONDS = 3.0
LASTING_SECONDS = 6.0
HOT_KEY = 20_480
HOT_KEYS = 60
HOT_PART = 0.35
SLOW_PACE = 12.0


class BaseScenario(abc.ABC):
    """One scenario. ``base_load_fraction`` is its load as a fraction of the servers' capacity."""

    __slots__ = ()

    name: str
    profiles: tuple[ServiceProfile, ...] = (LOOKUPS,)
    base_load_fraction: float = 0.4

    @property
    def profile(self) -> ServiceProfile:
        """The kind of requests that the scenario is about."""
        return self.profiles[0]

    def generate_pattern(self, rng: random.Random) -> ArrivalPattern:
        """Makes the pattern that is then kept in a file."""
        rate = self.base_load_fraction * self.profile.capacity
        seconds = rng.expovariate(rate)
        arrivals = []
        while seconds < PATTERN_SECONDS:
            arrivals.append(
                Arrival(seconds, self.choose_key(rng, seconds), self.choose_profile_index(rng))
            )
            seconds += rng.expovariate(rate * self.load_factor(seconds))
        return ArrivalPattern(self.name, tuple(arrivals))

    def choose_key(self, rng: random.Random, seconds: float) -> int:
        """Returns the key of one arrival: a fraction of them lies close together."""
        if rng.random() < HOT_PART:
            return HOT_KEY + rng.randrange(HOT_KEYS)
        return rng.randrange(KEY_COUNT)

    def choose_profile_index(self, rng: random.Random) -> int:
        """Returns the position of the profile of one arrival."""
        return 0

    def load_factor(self, seconds: float) -> float:
        """Returns by how much the load exceeds the usual at a moment."""
        return 1.0

    @abc.abstractmethod
    def schedule_events(self, emulation: Emulation) -> None:
        """Plans what happens, with times from now on."""


class HotKeyOnColdServer(BaseScenario):
    """One key gets half of the traffic, and its server turns cold."""

    __slots__ = ()
    name = "hot-key-on-cold-server"
    base_load_fraction = 0.15

    def choose_key(self, rng: random.Random, seconds: float) -> int:
        if seconds > BEGIN_SECONDS / 2 and rng.random() < 0.5:
            return HOT_KEY
        return rng.randrange(KEY_COUNT)

    def schedule_events(self, emulation: Emulation) -> None:
        def turn_cold() -> None:
            for server in emulation.servers_of(self.profile):
                if server.holds(HOT_KEY):
                    server.make_cold()

        emulation.scheduler.schedule_after(BEGIN_SECONDS, turn_cold)


class SlowServers(BaseScenario):
    """A third of the servers turns twelve times slower under much load."""

    __slots__ = ()
    name = "slow-third"
    base_load_fraction = 0.35

    def schedule_events(self, emulation: Emulation) -> None:
        slow = emulation.servers_of(self.profile)[::3]

        def set_pace(slowdown_factor: float) -> None:
            for server in slow:
                server.slowdown_factor = slowdown_factor

        emulation.scheduler.schedule_after(BEGIN_SECONDS, lambda: set_pace(SLOW_PACE))
        emulation.scheduler.schedule_after(BEGIN_SECONDS + LASTING_SECONDS, lambda: set_pace(1.0))


class DataCentreFailure(BaseScenario):
    """A data centre is lost while the traffic is 1.4 times the usual."""

    __slots__ = ()
    name = "lost-data-centre"

    def load_factor(self, seconds: float) -> float:
        return 1.4

    def schedule_events(self, emulation: Emulation) -> None:
        centre = emulation.fleet.data_centres[-1]
        emulation.scheduler.schedule_after(
            BEGIN_SECONDS, lambda: emulation.isolate_data_centre(centre)
        )


class RetryStorm(BaseScenario):
    """Half of the callers retry at once and often, under more load than the capacity."""

    __slots__ = ()
    name = "impatient-callers"
    base_load_fraction = 0.7

    def schedule_events(self, emulation: Emulation) -> None:
        emulation.callers.impatient_fraction = 0.5


class GreyFailure(BaseScenario):
    """A third of the servers of a pooled service fails four in ten requests."""

    __slots__ = ()
    name = "grey-servers"
    profiles = (APPROVALS,)

    def schedule_events(self, emulation: Emulation) -> None:
        grey = emulation.servers_of(self.profile)[::3]

        def set_grey(part: float) -> None:
            for server in grey:
                server.failure_fraction = part

        emulation.scheduler.schedule_after(BEGIN_SECONDS, lambda: set_grey(0.4))
        emulation.scheduler.schedule_after(BEGIN_SECONDS + LASTING_SECONDS, lambda: set_grey(0.0))


class RollingReplacement(BaseScenario):
    """All servers of a keyed service are replaced, one after the other."""

    __slots__ = ()
    name = "replaced-servers"

    def schedule_events(self, emulation: Emulation) -> None:
        servers = emulation.servers_of(self.profile)
        step = (PATTERN_SECONDS - BEGIN_SECONDS) / len(servers)
        for number, server in enumerate(servers):
            moment = BEGIN_SECONDS / 2 + number * step
            emulation.scheduler.schedule_after(
                moment, functools.partial(emulation.replace_server, server)
            )


class MixedPriorities(BaseScenario):
    """The configuration sends urgent orders to servers that much used lookups fill."""

    __slots__ = ()
    name = "orders-beside-lookups"
    profiles = (ORDERS, LOOKUPS)
    base_load_fraction = 0.35

    def choose_profile_index(self, rng: random.Random) -> int:
        return 0 if rng.random() < 0.3 else 1

    def schedule_events(self, emulation: Emulation) -> None:
        """Nothing else happens."""


SCENARIOS: tuple[BaseScenario, ...] = (
    HotKeyOnColdServer(),
    SlowServers(),
    DataCentreFailure(),
    RetryStorm(),
    GreyFailure(),
    RollingReplacement(),
    MixedPriorities(),
)
