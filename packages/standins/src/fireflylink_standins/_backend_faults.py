"""Faults of a backend stand-in."""

import abc
from typing import Any

from fireflylink_core import BaseValue


class FaultSwitches:
    """Faults in force that concern answers and connections.

    The counters tell how many of the following answers are affected.
    """

    __slots__ = (
        "delay_ms",
        "lose_answers",
        "lying_health",
        "oversize_answers",
        "poison",
        "truncate_answers",
        "wrong_call_ids",
    )

    def __init__(self) -> None:
        self.delay_ms = 0.0
        self.lose_answers = 0
        self.lying_health = False
        self.oversize_answers = 0
        self.poison = b""
        self.truncate_answers = 0
        self.wrong_call_ids = 0

    def take(self, name: str) -> bool:
        """Tells whether a counter is above 0, and counts it down."""
        left = int(getattr(self, name))
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True


class BaseFaultTarget(abc.ABC):
    """What a fault can be applied to: a backend stand-in."""

    __slots__ = ("switches",)

    switches: FaultSwitches

    @abc.abstractmethod
    def freeze(self, seconds: float) -> None:
        """Stops answering for a time and then goes on as if nothing had happened."""

    @abc.abstractmethod
    def crash(self, down_ms: float) -> None:
        """Ends every connection, refuses new ones for a time and starts cold."""

    @abc.abstractmethod
    def turn_cold(self) -> None:
        """Becomes cold without any sign but the generation in answers."""

    @abc.abstractmethod
    def slow_down(self, factor: float) -> None:
        """Multiplies the service time."""

    @abc.abstractmethod
    def silence(self) -> None:
        """Keeps the connections that are open now and never answers on them again."""

    @abc.abstractmethod
    def drain(self, draining: bool) -> None:
        """Starts or ends a drain: new requests are refused, running ones complete."""


class BaseBackendFault(BaseValue):
    """A fault that a test applies to a backend stand-in."""

    __slots__ = ()

    @abc.abstractmethod
    def apply(self, target: BaseFaultTarget) -> None:
        """Puts the fault in force."""


class Freeze(BaseBackendFault):
    """The server stops for a time and returns as if nothing had happened."""

    __slots__ = ("duration_ms",)

    def __init__(self, duration_ms: float) -> None:
        self.duration_ms = duration_ms

    def apply(self, target: BaseFaultTarget) -> None:
        target.freeze(self.duration_ms / 1000.0)


class Crash(BaseBackendFault):
    """The server drops all connections and starts cold after a time."""

    __slots__ = ("down_ms",)

    def __init__(self, down_ms: float = 0.0) -> None:
        self.down_ms = down_ms

    def apply(self, target: BaseFaultTarget) -> None:
        target.crash(self.down_ms)


class Slow(BaseBackendFault):
    """Every request takes ``factor`` times as long; 1 ends the fault."""

    __slots__ = ("factor",)

    def __init__(self, factor: float) -> None:
        self.factor = factor

    def apply(self, target: BaseFaultTarget) -> None:
        target.slow_down(self.factor)


class TurnCold(BaseBackendFault):
    """The server becomes cold without a sign."""

    __slots__ = ()

    def apply(self, target: BaseFaultTarget) -> None:
        target.turn_cold()


class Silence(BaseBackendFault):
    """The connections that are open now stay open and are never answered again."""

    __slots__ = ()

    def apply(self, target: BaseFaultTarget) -> None:
        target.silence()


class Drain(BaseBackendFault):
    """The server starts or ends a drain."""

    __slots__ = ("draining",)

    def __init__(self, draining: bool = True) -> None:
        self.draining = draining

    def apply(self, target: BaseFaultTarget) -> None:
        target.drain(self.draining)


class LyingHealth(BaseBackendFault):
    """Health reports a warm and idle server whatever its state."""

    __slots__ = ("enabled",)

    def __init__(self, enabled: bool = True) -> None:
        self.enabled = enabled

    def apply(self, target: BaseFaultTarget) -> None:
        target.switches.lying_health = self.enabled


class Delay(BaseBackendFault):
    """Every answer is held back for a time after the request was run; 0 ends the fault."""

    __slots__ = ("delay_ms",)

    def __init__(self, delay_ms: float) -> None:
        self.delay_ms = delay_ms

    def apply(self, target: BaseFaultTarget) -> None:
        target.switches.delay_ms = self.delay_ms


class Poison(BaseBackendFault):
    """A request whose body holds the marker crashes the server; an empty one ends the fault."""

    __slots__ = ("marker",)

    def __init__(self, marker: str) -> None:
        self.marker = marker

    def apply(self, target: BaseFaultTarget) -> None:
        target.switches.poison = self.marker.encode()


class BaseCountedFault(BaseBackendFault):
    """A fault of the next ``count`` answers."""

    __slots__ = ("count",)

    switch = ""

    def __init__(self, count: int = 1) -> None:
        self.count = count

    def apply(self, target: BaseFaultTarget) -> None:
        setattr(target.switches, self.switch, self.count)


class Truncate(BaseCountedFault):
    """The connection closes in the middle of the answer's body."""

    __slots__ = ()
    switch = "truncate_answers"


class LoseAnswer(BaseCountedFault):
    """The request is run and the connection closes without an answer."""

    __slots__ = ()
    switch = "lose_answers"


class WrongCallId(BaseCountedFault):
    """The answer names another call."""

    __slots__ = ()
    switch = "wrong_call_ids"


class Oversize(BaseCountedFault):
    """The answer is larger than the limit of 4 MiB."""

    __slots__ = ()
    switch = "oversize_answers"


FAULTS: dict[str, type[BaseBackendFault]] = {
    "freeze": Freeze,
    "crash": Crash,
    "slow": Slow,
    "turn_cold": TurnCold,
    "silence": Silence,
    "drain": Drain,
    "lying_health": LyingHealth,
    "delay": Delay,
    "poison": Poison,
    "truncate": Truncate,
    "lose_answer": LoseAnswer,
    "wrong_call_id": WrongCallId,
    "oversize": Oversize,
}


def fault_from_document(document: dict[str, Any]) -> BaseBackendFault:
    """Returns the fault that a document names, with its fields as arguments.

    Raises KeyError or TypeError when there is no such fault or field. Example::

        fault_from_document({"fault": "freeze", "duration_ms": 3000})
    """
    fields = dict(document)
    return FAULTS[fields.pop("fault")](**fields)
