"""Succession of gateways by handover or by settling, with restarts of gateways.

Version k gives the shard to ``owners[k - 1]`` on a server of its own. The voters are abstracted to
what the takeover and voters models show: until a majority has acknowledged a later version, fresh
authority for a version can always be had; afterwards it ends within the longest term. A call stands
for a grant or a request: both let a server act until a deadline. One call per version is followed
at a time.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from fireflylink_specification._guards import Guard
from fireflylink_specification._model import BaseModel, Step
from fireflylink_specification._time import FENCE_WAIT, LONGEST_TERM, after_tick

NOTHING = 0
"""The version known to a daemon with empty memory."""

NO_CALL, IN_NETWORK, IN_FORCE = range(3)


class Gateway(NamedTuple):
    """A gateway daemon; ``released_version`` is the last version that it received a release for."""

    known: int
    wait_left: int = 0
    released_version: int = NOTHING


class Call(NamedTuple):
    """A call sent under a version; the sender forgets it when it restarts."""

    phase: int = NO_CALL
    left: int = 0
    remembered: bool = False


class SuccessionState(NamedTuple):
    """``authority_left`` has the longest authority for each version but the last."""

    written: int
    acknowledged: int
    authority_left: tuple[int, ...]
    gateways: tuple[Gateway, ...]
    calls: tuple[Call, ...]
    highest_epoch: int
    restarts_left: int
    server_restarts_left: int


class SuccessionModel(BaseModel[SuccessionState]):
    """Two gateways of servers that do not check grants, and restarts of any of them."""

    name = "handover"
    bounds = "2 versions, 2 gateways, 2 gateway restarts"
    guards: tuple[Guard, ...] = (
        Guard.SILENT_START,
        Guard.RELEASE_AFTER_START,
        Guard.RELEASE_MAJORITY,
        Guard.RELEASE_WAITS_FOR_CALLS,
        Guard.NEVER_BACK,
        Guard.AUTHORITY_WITHIN_DOCUMENT,
    )
    owners: tuple[int, ...] = (0, 1)
    restarts = 2
    server_restarts = 0

    def initial(self) -> SuccessionState:
        return SuccessionState(
            written=1,
            acknowledged=1,
            authority_left=(LONGEST_TERM,) * (len(self.owners) - 1),
            gateways=(Gateway(1),) * (max(self.owners) + 1),
            calls=(Call(),) * len(self.owners),
            highest_epoch=0,
            restarts_left=self.restarts,
            server_restarts_left=self.server_restarts,
        )

    def steps(self, state: SuccessionState) -> Iterator[Step[SuccessionState]]:
        yield "one tick passes", _after_tick(state)
        if state.written < len(self.owners):
            yield f"version {state.written + 1} is written", state._replace(
                written=state.written + 1
            )
        for version in range(state.acknowledged + 1, state.written + 1):
            yield f"a majority of voters acknowledges version {version}", state._replace(
                acknowledged=version
            )
        for index in range(len(state.gateways)):
            yield from self._learn_steps(state, index)
        for version in range(1, len(self.owners) + 1):
            yield from self._call_steps(state, version)
            yield from self._release_steps(state, version)

    def faults(self, state: SuccessionState) -> Iterator[Step[SuccessionState]]:
        if state.restarts_left > 0:
            for index in range(len(state.gateways)):
                yield f"gateway {index} restarts with empty memory", self._restarted(state, index)
        for version, call in enumerate(state.calls, 1):
            if call.phase == IN_NETWORK:
                yield f"the call under version {version} is lost", _with_call(
                    state, version, Call()
                )

    def properties(self) -> Mapping[str, Callable[[SuccessionState], bool]]:
        return {"one owner": self._one_owner}

    def is_goal(self, state: SuccessionState) -> bool:
        earlier_calls = any(call.phase for call in state.calls[:-1])
        return self._may_act(state, len(self.owners)) and not earlier_calls

    def representative(self, state: SuccessionState) -> SuccessionState:
        """A gateway acts alike by all versions before the first that makes it owner."""
        gateways = tuple(
            (
                gateway._replace(known=NOTHING)
                if NOTHING < gateway.known <= self.owners.index(index)
                else gateway
            )
            for index, gateway in enumerate(state.gateways)
        )
        return state._replace(gateways=gateways)

    def _restarted(self, state: SuccessionState, index: int) -> SuccessionState:
        calls = tuple(
            call._replace(remembered=False) if owner == index else call
            for owner, call in zip(self.owners, state.calls, strict=True)
        )
        return _with_gateway(state, index, Gateway(NOTHING, wait_left=FENCE_WAIT))._replace(
            calls=calls, restarts_left=state.restarts_left - 1
        )

    def _learn_steps(self, state: SuccessionState, index: int) -> Iterator[Step[SuccessionState]]:
        gateway = state.gateways[index]
        for version in range(1, state.written + 1):
            forward = version > gateway.known
            if forward or (version != gateway.known and not self.in_force.has(Guard.NEVER_BACK)):
                yield f"gateway {index} learns version {version}", _with_gateway(
                    state, index, gateway._replace(known=version)
                )

    def _call_steps(self, state: SuccessionState, version: int) -> Iterator[Step[SuccessionState]]:
        call = state.calls[version - 1]
        owner = self.owners[version - 1]
        if call.phase == NO_CALL and self._may_act(state, version):
            yield (
                f"gateway {owner} sends a grant or a request under version {version}",
                _with_call(state, version, Call(IN_NETWORK, self._call_term(state, version), True)),
            )
        if call.phase == IN_NETWORK:
            yield from self._arrival_steps(state, version)
        if call.phase == IN_FORCE:
            yield f"the call under version {version} completes or is revoked", _with_call(
                state, version, Call()
            )
        if call.remembered and not self.in_force.has(Guard.RELEASE_WAITS_FOR_CALLS):
            yield f"gateway {owner} gives its call under version {version} up", _with_call(
                state, version, call._replace(remembered=False)
            )

    def _call_term(self, state: SuccessionState, version: int) -> int:
        is_capped = self.in_force.has(Guard.AUTHORITY_WITHIN_DOCUMENT)
        if version < len(self.owners) and is_capped:
            return state.authority_left[version - 1]
        return LONGEST_TERM

    def _arrival_steps(
        self, state: SuccessionState, version: int
    ) -> Iterator[Step[SuccessionState]]:
        call = state.calls[version - 1]
        yield f"the server accepts the call under version {version}", _with_call(
            state, version, call._replace(phase=IN_FORCE)
        )

    def _release_steps(
        self, state: SuccessionState, version: int
    ) -> Iterator[Step[SuccessionState]]:
        """The owner under a version releases the shard to the owner under the next version."""
        if version == len(self.owners) or not self._may_release(state, version):
            return
        owner, successor_index = self.owners[version - 1 : version + 1]
        successor = state.gateways[successor_index]
        if successor.known > version > successor.released_version - 1:
            yield (
                f"gateway {owner} releases the shard for version {version + 1}"
                f" to gateway {successor_index}",
                _with_gateway(
                    state, successor_index, successor._replace(released_version=version + 1)
                ),
            )

    def _may_release(self, state: SuccessionState, version: int) -> bool:
        gateway = state.gateways[self.owners[version - 1]]
        if gateway.known <= version or state.calls[version - 1].remembered:
            return False
        if gateway.known > state.acknowledged and self.in_force.has(Guard.RELEASE_MAJORITY):
            return False
        if gateway.wait_left and self.in_force.has(Guard.RELEASE_AFTER_START):
            return False
        if not self.in_force.has(Guard.RELEASE_ENTITLED):
            return True
        return self._is_entitled(state, version)

    def _may_act(self, state: SuccessionState, version: int) -> bool:
        gateway = state.gateways[self.owners[version - 1]]
        if gateway.known != version:
            return False
        if gateway.wait_left and self.in_force.has(Guard.SILENT_START):
            return False
        return self._has_authority(state, version) and self._may_start(state, version)

    def _may_start(self, state: SuccessionState, version: int) -> bool:
        return self._is_entitled(state, version)

    def _is_entitled(self, state: SuccessionState, version: int) -> bool:
        return self._was_released(state, version) or self._is_settled(state, version)

    def _was_released(self, state: SuccessionState, version: int) -> bool:
        released = state.gateways[self.owners[version - 1]].released_version
        return released == version or (
            released != NOTHING and not self.in_force.has(Guard.RELEASE_EPOCH)
        )

    def _has_authority(self, state: SuccessionState, version: int) -> bool:
        if version == len(self.owners) or state.authority_left[version - 1] > 0:
            return True
        return not self.in_force.has(Guard.AUTHORITY_WITHIN_DOCUMENT)

    def _is_settled(self, state: SuccessionState, version: int) -> bool:
        return state.acknowledged >= version and not any(state.authority_left[: version - 1])

    def _acts(self, state: SuccessionState, version: int) -> bool:
        return state.calls[version - 1].phase == IN_FORCE or self._may_act(state, version)

    def _one_owner(self, state: SuccessionState) -> bool:
        return sum(self._acts(state, version) for version in range(1, len(self.owners) + 1)) <= 1


def without_call(state: SuccessionState, version: int) -> SuccessionState:
    """Returns the state without the call under a version."""
    return _with_call(state, version, Call())


def _after_tick(state: SuccessionState) -> SuccessionState:
    authority_left = tuple(
        after_tick(left) if state.acknowledged > version else left
        for version, left in enumerate(state.authority_left, 1)
    )
    gateways = tuple(
        gateway._replace(wait_left=after_tick(gateway.wait_left)) for gateway in state.gateways
    )
    calls = tuple(
        call._replace(left=call.left - 1) if call.left > 1 else Call() for call in state.calls
    )
    return state._replace(authority_left=authority_left, gateways=gateways, calls=calls)


def _with_call(state: SuccessionState, version: int, call: Call) -> SuccessionState:
    calls = (*state.calls[: version - 1], call, *state.calls[version:])
    return state._replace(calls=calls)


def _with_gateway(state: SuccessionState, index: int, gateway: Gateway) -> SuccessionState:
    gateways = (*state.gateways[:index], gateway, *state.gateways[index + 1 :])
    return state._replace(gateways=gateways)
