"""Scenarios of heavy load: for each an arrival pattern and the events during its replay."""

import abc
import functools
import random

from fireflylink_core import KEY_COUNT
from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._pattern import Arrival, ArrivalPattern
from fireflylink_emulator._profile import APPROVALS, LOOKUPS, ORDERS, ServiceProfile

PATTERN_SECONDS = 12.0
EVENT_START_SECONDS = 3.0
EVENT_DURATION_SECONDS = 6.0
FIRST_HOT_KEY = 20_480
"""In ``HotKeyOnColdServer``, the only hot key."""

HOT_KEY_COUNT = 60
"""Number of adjacent hot keys, from ``FIRST_HOT_KEY`` on."""

HOT_KEY_FRACTION = 0.35
SLOWDOWN_FACTOR = 12.0


class BaseScenario(abc.ABC):
    """One scenario; its stored pattern has the same ``name``, which is also printed.

    ``base_load_fraction`` is the rate of requests as a fraction of the servers' capacity.
    """

    __slots__ = ()

    name: str
    profiles: tuple[ServiceProfile, ...] = (LOOKUPS,)
    base_load_fraction: float = 0.4

    @property
    def profile(self) -> ServiceProfile:
        """The type of requests that the scenario is measured by."""
        return self.profiles[0]

    def generate_pattern(self, rng: random.Random) -> ArrivalPattern:
        """Generates the pattern that is stored in a file."""
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
        """Returns the key of one arrival; a fraction of the arrivals falls on adjacent hot keys."""
        if rng.random() < HOT_KEY_FRACTION:
            return FIRST_HOT_KEY + rng.randrange(HOT_KEY_COUNT)
        return rng.randrange(KEY_COUNT)

    def choose_profile_index(self, rng: random.Random) -> int:
        """Returns the index in ``profiles`` for one arrival."""
        return 0

    def load_factor(self, seconds: float) -> float:
        """Returns the load at a time, in seconds from the start, relative to the base load."""
        return 1.0

    @abc.abstractmethod
    def schedule_events(self, emulation: Emulation) -> None:
        """Schedules the events of the scenario; delays count from the call."""


class HotKeyOnColdServer(BaseScenario):
    """One key gets half of the requests, and the server that holds it turns cold."""

    __slots__ = ()
    name = "hot-key-on-cold-server"
    base_load_fraction = 0.15

    def choose_key(self, rng: random.Random, seconds: float) -> int:
        if seconds > EVENT_START_SECONDS / 2 and rng.random() < 0.5:
            return FIRST_HOT_KEY
        return rng.randrange(KEY_COUNT)

    def schedule_events(self, emulation: Emulation) -> None:
        def turn_cold() -> None:
            for server in emulation.servers_of(self.profile):
                if server.holds(FIRST_HOT_KEY):
                    server.make_cold()

        emulation.scheduler.schedule_after(EVENT_START_SECONDS, turn_cold)


class SlowServers(BaseScenario):
    """A third of the servers is twelve times slower for six seconds."""

    __slots__ = ()
    name = "slow-third"
    base_load_fraction = 0.35

    def schedule_events(self, emulation: Emulation) -> None:
        slow = emulation.servers_of(self.profile)[::3]

        def set_slowdown_factor(slowdown_factor: float) -> None:
            for server in slow:
                server.slowdown_factor = slowdown_factor

        emulation.scheduler.schedule_after(
            EVENT_START_SECONDS, lambda: set_slowdown_factor(SLOWDOWN_FACTOR)
        )
        emulation.scheduler.schedule_after(
            EVENT_START_SECONDS + EVENT_DURATION_SECONDS, lambda: set_slowdown_factor(1.0)
        )


class DataCentreFailure(BaseScenario):
    """A data centre is lost while the load is 1.4 times the base load."""

    __slots__ = ()
    name = "lost-data-centre"

    def load_factor(self, seconds: float) -> float:
        return 1.4

    def schedule_events(self, emulation: Emulation) -> None:
        centre = emulation.fleet.data_centres[-1]
        emulation.scheduler.schedule_after(
            EVENT_START_SECONDS, lambda: emulation.isolate_data_centre(centre)
        )


class RetryStorm(BaseScenario):
    """Half of the callers retry often and almost at once, which multiplies a high base load."""

    __slots__ = ()
    name = "impatient-callers"
    base_load_fraction = 0.7

    def schedule_events(self, emulation: Emulation) -> None:
        emulation.callers.impatient_fraction = 0.5


class GreyFailure(BaseScenario):
    """A third of the servers of a service without keys fails four in ten requests."""

    __slots__ = ()
    name = "grey-servers"
    profiles = (APPROVALS,)

    def schedule_events(self, emulation: Emulation) -> None:
        grey = emulation.servers_of(self.profile)[::3]

        def set_failure_fraction(fraction: float) -> None:
            for server in grey:
                server.failure_fraction = fraction

        emulation.scheduler.schedule_after(EVENT_START_SECONDS, lambda: set_failure_fraction(0.4))
        emulation.scheduler.schedule_after(
            EVENT_START_SECONDS + EVENT_DURATION_SECONDS, lambda: set_failure_fraction(0.0)
        )


class RollingReplacement(BaseScenario):
    """All servers of a keyed service are replaced one after the other."""

    __slots__ = ()
    name = "replaced-servers"

    def schedule_events(self, emulation: Emulation) -> None:
        servers = emulation.servers_of(self.profile)
        interval = (PATTERN_SECONDS - EVENT_START_SECONDS) / len(servers)
        for number, server in enumerate(servers):
            delay = EVENT_START_SECONDS / 2 + number * interval
            emulation.scheduler.schedule_after(
                delay, functools.partial(emulation.replace_server, server)
            )


class MixedPriorities(BaseScenario):
    """Urgent orders are routed to servers that are mostly busy with lookups."""

    __slots__ = ()
    name = "orders-beside-lookups"
    profiles = (ORDERS, LOOKUPS)
    base_load_fraction = 0.35

    def choose_profile_index(self, rng: random.Random) -> int:
        return 0 if rng.random() < 0.3 else 1

    def schedule_events(self, emulation: Emulation) -> None:
        """Schedules nothing: the mix of requests is the scenario."""


SCENARIOS: tuple[BaseScenario, ...] = (
    HotKeyOnColdServer(),
    SlowServers(),
    DataCentreFailure(),
    RetryStorm(),
    GreyFailure(),
    RollingReplacement(),
    MixedPriorities(),
)
