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


class BaseSituation(abc.ABC):
    """One situation. ``usual_part`` is its load as a part of the servers' capacity."""

    __slots__ = ()

    name: str
    profiles: tuple[ServiceProfile, ...] = (LOOKUPS,)
    usual_part: float = 0.4

    @property
    def profile(self) -> ServiceProfile:
        """The kind of requests that the situation is about."""
        return self.profiles[0]

    def record(self, source: random.Random) -> ArrivalPattern:
        """Makes the pattern that is then kept in a file."""
        rate = self.usual_part * self.profile.capacity
        seconds = source.expovariate(rate)
        arrivals = []
        while seconds < PATTERN_SECONDS:
            arrivals.append(Arrival(seconds, self.key(source, seconds), self.kind(source)))
            seconds += source.expovariate(rate * self.factor(seconds))
        return ArrivalPattern(self.name, tuple(arrivals))

    def key(self, source: random.Random, seconds: float) -> int:
        """Returns the key of one arrival: a part of them lies close together."""
        if source.random() < HOT_PART:
            return HOT_KEY + source.randrange(HOT_KEYS)
        return source.randrange(KEY_COUNT)

    def kind(self, source: random.Random) -> int:
        """Returns the position of the profile of one arrival."""
        return 0

    def factor(self, seconds: float) -> float:
        """Returns by how much the load exceeds the usual at a moment."""
        return 1.0

    @abc.abstractmethod
    def prepare(self, emulation: Emulation) -> None:
        """Plans what happens, with times from now on."""


class HotKeyOnColdServer(BaseSituation):
    """One key gets half of the traffic, and its server turns cold."""

    __slots__ = ()
    name = "hot-key-on-cold-server"
    usual_part = 0.15

    def key(self, source: random.Random, seconds: float) -> int:
        if seconds > BEGIN_SECONDS / 2 and source.random() < 0.5:
            return HOT_KEY
        return source.randrange(KEY_COUNT)

    def prepare(self, emulation: Emulation) -> None:
        def turn_cold() -> None:
            for server in emulation.servers_of(self.profile):
                if server.holds(HOT_KEY):
                    server.turn_cold()

        emulation.agenda.after(BEGIN_SECONDS, turn_cold)


class SlowThird(BaseSituation):
    """A third of the servers turns twelve times slower under much load."""

    __slots__ = ()
    name = "slow-third"
    usual_part = 0.35

    def prepare(self, emulation: Emulation) -> None:
        slow = emulation.servers_of(self.profile)[::3]

        def set_pace(pace: float) -> None:
            for server in slow:
                server.pace = pace

        emulation.agenda.after(BEGIN_SECONDS, lambda: set_pace(SLOW_PACE))
        emulation.agenda.after(BEGIN_SECONDS + LASTING_SECONDS, lambda: set_pace(1.0))


class LostDataCentre(BaseSituation):
    """A data centre is lost while the traffic is 1.4 times the usual."""

    __slots__ = ()
    name = "lost-data-centre"

    def factor(self, seconds: float) -> float:
        return 1.4

    def prepare(self, emulation: Emulation) -> None:
        centre = emulation.fleet.data_centres[-1]
        emulation.agenda.after(BEGIN_SECONDS, lambda: emulation.cut_data_centre(centre))


class ImpatientCallers(BaseSituation):
    """Half of the callers repeat at once and often, under more load than there is room for."""

    __slots__ = ()
    name = "impatient-callers"
    usual_part = 0.7

    def prepare(self, emulation: Emulation) -> None:
        emulation.callers.impatient = 0.5


class GreyServers(BaseSituation):
    """A third of the servers of a pooled service fails four in ten requests."""

    __slots__ = ()
    name = "grey-servers"
    profiles = (APPROVALS,)

    def prepare(self, emulation: Emulation) -> None:
        grey = emulation.servers_of(self.profile)[::3]

        def set_grey(part: float) -> None:
            for server in grey:
                server.grey = part

        emulation.agenda.after(BEGIN_SECONDS, lambda: set_grey(0.4))
        emulation.agenda.after(BEGIN_SECONDS + LASTING_SECONDS, lambda: set_grey(0.0))


class ReplacedServers(BaseSituation):
    """All servers of a keyed service are replaced, one after the other."""

    __slots__ = ()
    name = "replaced-servers"

    def prepare(self, emulation: Emulation) -> None:
        servers = emulation.servers_of(self.profile)
        step = (PATTERN_SECONDS - BEGIN_SECONDS) / len(servers)
        for number, server in enumerate(servers):
            moment = BEGIN_SECONDS / 2 + number * step
            emulation.agenda.after(moment, functools.partial(emulation.replace, server))


class OrdersBesideLookups(BaseSituation):
    """The configuration sends urgent orders to servers that much used lookups fill."""

    __slots__ = ()
    name = "orders-beside-lookups"
    profiles = (ORDERS, LOOKUPS)
    usual_part = 0.35

    def kind(self, source: random.Random) -> int:
        return 0 if source.random() < 0.3 else 1

    def prepare(self, emulation: Emulation) -> None:
        """Nothing else happens."""


SITUATIONS: tuple[BaseSituation, ...] = (
    HotKeyOnColdServer(),
    SlowThird(),
    LostDataCentre(),
    ImpatientCallers(),
    GreyServers(),
    ReplacedServers(),
    OrdersBesideLookups(),
)
