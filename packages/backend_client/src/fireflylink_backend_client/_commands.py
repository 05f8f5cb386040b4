"""Grants, revocations and the status that a backend server reports."""

import enum
import json

from fireflylink_core import BaseValue


class WarmthState(enum.Enum):
    """What a backend server says about itself."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"


class GrantCommand(BaseValue):
    """A fenced grant. ``deadline_ms`` is in milliseconds on the server's own clock.

    ``shards`` and ``exceptions`` hold pairs of index (or key hash) and epoch; None leaves those of
    the previous grant unchanged.
    """

    __slots__ = ("deadline_ms", "exceptions", "gateway", "gateway_epoch", "shards")

    def __init__(
        self,
        gateway: str,
        gateway_epoch: int,
        deadline_ms: int,
        shards: tuple[tuple[int, int], ...] | None,
        exceptions: tuple[tuple[int, int], ...] | None,
    ) -> None:
        self.gateway = gateway
        self.gateway_epoch = gateway_epoch
        self.deadline_ms = deadline_ms
        self.shards = shards
        self.exceptions = exceptions

    def encode(self) -> bytes:
        """Returns the JSON body of the command."""
        return json.dumps(
            {
                "gateway": self.gateway,
                "gateway_epoch": self.gateway_epoch,
                "deadline_ms": self.deadline_ms,
                "shards": self.shards,
                "exceptions": self.exceptions,
            }
        ).encode()


class RevokeCommand(BaseValue):
    """Takes shards and single-key exceptions out of the grant in force."""

    __slots__ = ("exceptions", "gateway_epoch", "shards")

    def __init__(
        self, gateway_epoch: int, shards: tuple[int, ...], exceptions: tuple[int, ...]
    ) -> None:
        self.gateway_epoch = gateway_epoch
        self.shards = shards
        self.exceptions = exceptions

    def encode(self) -> bytes:
        """Returns the JSON body of the command."""
        return json.dumps(
            {
                "gateway_epoch": self.gateway_epoch,
                "shards": self.shards,
                "exceptions": self.exceptions,
            }
        ).encode()


class ServerStatus(BaseValue):
    """Reply to a grant or a health request.

    ``sent_at`` is the local time, in seconds, at which the request was sent, ``received_at`` the
    one at which the reply was whole; the server read ``clock_ms`` between them.
    """

    __slots__ = (
        "clock_ms",
        "generation",
        "in_flight",
        "load",
        "received_at",
        "sent_at",
        "slots",
        "state",
    )

    def __init__(
        self,
        generation: str,
        clock_ms: int,
        state: WarmthState,
        in_flight: int,
        slots: int,
        load: float,
        sent_at: float,
        received_at: float,
    ) -> None:
        self.generation = generation
        self.clock_ms = clock_ms
        self.state = state
        self.in_flight = in_flight
        self.slots = slots
        self.load = load
        self.sent_at = sent_at
        self.received_at = received_at


def decode_status(body: bytes, sent_at: float, received_at: float) -> ServerStatus:
    """Decodes a status; raises ValueError, KeyError or TypeError when it is malformed."""
    document = json.loads(body)
    return ServerStatus(
        generation=str(document["generation"]),
        clock_ms=int(document["clock_ms"]),
        state=WarmthState(document["state"]),
        in_flight=int(document["in_flight"]),
        slots=int(document["slots"]),
        load=float(document["load"]),
        sent_at=sent_at,
        received_at=received_at,
    )
