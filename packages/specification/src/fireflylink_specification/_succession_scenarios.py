"""Scenarios of the succession model: moves in a row, a return, a takeover followed by a move."""

from collections.abc import Callable, Iterator, Mapping

from fireflylink_specification._guards import Guard
from fireflylink_specification._model import Step
from fireflylink_specification._succession import (
    IN_FORCE,
    SuccessionModel,
    SuccessionState,
    without_call,
)


class SameGatewayModel(SuccessionModel):
    """The shard moves between two servers that have the same gateway."""

    name = "handover within a gateway"
    bounds = "2 versions, 1 gateway, 2 gateway restarts"
    guards = ()
    owners = (0, 0)


class TwoMovesModel(SuccessionModel):
    """The shard moves again before the first move is settled."""

    name = "two moves in a row"
    bounds = "3 versions, 3 gateways, 1 gateway restart"
    guards = (Guard.RELEASE_ENTITLED,)
    owners = (0, 1, 2)
    restarts = 1


class ReturnModel(SuccessionModel):
    """The shard moves to another gateway and back."""

    name = "move and return"
    bounds = "3 versions, 2 gateways, 1 gateway restart"
    guards = ()
    owners = (0, 1, 0)
    restarts = 1


class BackAndForthModel(SuccessionModel):
    """The shard moves back and forth, so that both gateways own it twice."""

    name = "moves back and forth"
    bounds = "4 versions, 2 gateways"
    guards = (Guard.RELEASE_EPOCH,)
    owners = (0, 1, 0, 1)
    restarts = 0


class TakeoverThenMoveModel(SuccessionModel):
    """A gateway takes a server that checks grants over at once; then the shard moves elsewhere.

    Gateways 0 and 1 send to the same server, gateway 2 to another one. The server refuses the
    epoch of gateway 0 once it has seen that of gateway 1, but forgets both when it restarts.
    """

    name = "gateway takeover, then move"
    bounds = "3 versions, 3 gateways, 1 server restart"
    guards = (Guard.RELEASE_ENTITLED, Guard.GATEWAY_EPOCH)
    owners = (0, 1, 2)
    restarts = 0
    server_restarts = 1

    def faults(self, state: SuccessionState) -> Iterator[Step[SuccessionState]]:
        yield from super().faults(state)
        if state.server_restarts_left > 0:
            after = state
            for version in (1, 2):
                if state.calls[version - 1].phase == IN_FORCE:
                    after = without_call(after, version)
            yield "the first server restarts with empty memory", after._replace(
                highest_epoch=0, server_restarts_left=state.server_restarts_left - 1
            )

    def properties(self) -> Mapping[str, Callable[[SuccessionState], bool]]:
        return {
            "one owning server": self._one_server,
            "no earlier gateway after a later one": _no_earlier_gateway,
        }

    def _arrival_steps(
        self, state: SuccessionState, version: int
    ) -> Iterator[Step[SuccessionState]]:
        if version == len(self.owners):
            yield from super()._arrival_steps(state, version)
            return
        if version < state.highest_epoch and self.in_force.has(Guard.GATEWAY_EPOCH):
            yield f"the server refuses the call under version {version}", without_call(
                state, version
            )
            return
        for label, accepted in super()._arrival_steps(state, version):
            after = accepted
            if accepted.calls[2 - version].phase == IN_FORCE:
                after = without_call(accepted, 3 - version)
            yield label, after._replace(highest_epoch=max(version, state.highest_epoch))

    def _may_start(self, state: SuccessionState, version: int) -> bool:
        return version == 2 or super()._may_start(state, version)

    def _one_server(self, state: SuccessionState) -> bool:
        first_server_acts = any(call.phase == IN_FORCE for call in state.calls[:2])
        return not (first_server_acts and self._acts(state, 3))


def _no_earlier_gateway(state: SuccessionState) -> bool:
    return state.highest_epoch < 2 or state.calls[0].phase != IN_FORCE
