"""Takeover of a shard while the earlier owner renews its authority.

Version 1 names the old gateway and server, version 2 the new ones. The old root stands for every
root that has not learned version 2, and the old gateway's authority for the longest one that any
of them obtained. Only one inquiry for version 1 is outstanding at a time: an authority comes from
a single inquiry, so more of them add no behaviour. The new gateway is assumed to have authority for
version 2 whenever it wants to act, which can only add behaviours.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from fireflylink_specification._guards import Guard
from fireflylink_specification._model import BaseModel, Step
from fireflylink_specification._time import (
    FENCE_WAIT,
    GRANT_TERM,
    LONGEST_TERM,
    NOT_STARTED,
    after_tick,
)

VOTERS = 3
MAJORITY = VOTERS // 2 + 1

NOT_SENT, IN_FLIGHT, APPLIED, UNKNOWN, UNKNOWN_APPLIED, CONFIRMED = range(6)
"""States of the write of version 2 as the platform and the decider see it."""

NO_INQUIRY, ROUND, READ_SENT, READ_ANSWERED = range(4)
NO_REQUEST, IN_NETWORK, RUNNING = range(3)

UNCAPPED_DEADLINE = LONGEST_TERM + 1
"""Deadline of a request that ignores the authority under which it was sent."""


class Voter(NamedTuple):
    """The version a voter acknowledged, and whether it endorsed the round for version 1."""

    promise: int
    endorsed: bool


class TakeoverState(NamedTuple):
    platform_up: bool
    write: int
    voters: tuple[Voter, ...]
    inquiry: int
    inquiry_left: int
    authority_left: int
    request: int
    request_left: int
    fence_left: int
    new_serves: bool


class TakeoverModel(BaseModel[TakeoverState]):
    """Safety: the old and the new owner never act at once, and no told version is unwritten."""

    name = "takeover"
    bounds = "3 voters, 2 versions, one request in flight"
    guards = (
        Guard.MAJORITY_BEFORE_FENCE,
        Guard.FENCE_WAIT,
        Guard.FENCE_MARGIN,
        Guard.VOTER_PROMISE,
        Guard.COUNT_FROM_SEND,
        Guard.TELL_AFTER_CONFIRM,
        Guard.READ_BACK,
        Guard.GATEWAY_DEADLINE,
        Guard.REQUEST_DEADLINE_CAP,
        Guard.SERVER_DEADLINE,
    )

    def initial(self) -> TakeoverState:
        return TakeoverState(
            platform_up=True,
            write=NOT_SENT,
            voters=(Voter(1, False),) * VOTERS,
            inquiry=NO_INQUIRY,
            inquiry_left=0,
            authority_left=LONGEST_TERM,
            request=NO_REQUEST,
            request_left=0,
            fence_left=NOT_STARTED,
            new_serves=False,
        )

    def steps(self, state: TakeoverState) -> Iterator[Step[TakeoverState]]:
        yield "one tick passes", self._tick(state)
        if not state.platform_up:
            yield "the platform returns", state._replace(platform_up=True)
        yield from self._write_steps(state)
        yield from self._inquiry_steps(state)
        yield from self._voter_steps(state)
        yield from self._request_steps(state)
        yield from self._settle_steps(state)

    def faults(self, state: TakeoverState) -> Iterator[Step[TakeoverState]]:
        if state.platform_up:
            yield "the platform goes down", state._replace(platform_up=False)
        if state.write == IN_FLIGHT:
            yield "the decider times out on its write", state._replace(write=UNKNOWN)
        if state.write == APPLIED:
            yield "the reply to the write is lost", state._replace(write=UNKNOWN_APPLIED)
        if state.request != NO_REQUEST:
            yield "the old gateway's request is lost", state._replace(
                request=NO_REQUEST, request_left=0
            )
        if state.fence_left != NOT_STARTED and not state.new_serves:
            yield "the new root is lost", state._replace(fence_left=NOT_STARTED)

    def properties(self) -> Mapping[str, Callable[[TakeoverState], bool]]:
        return {
            "one owning server": self._one_server,
            "one sending gateway": self._one_gateway,
            "told versions are written": self._told_is_written,
        }

    def is_goal(self, state: TakeoverState) -> bool:
        return state.new_serves and state.request == NO_REQUEST

    def _tick(self, state: TakeoverState) -> TakeoverState:
        request, request_left = state.request, after_tick(state.request_left)
        if request == RUNNING and request_left == 0 and self.in_force.has(Guard.SERVER_DEADLINE):
            request = NO_REQUEST
        inquiry, inquiry_left = state.inquiry, after_tick(state.inquiry_left)
        voters = state.voters
        if inquiry_left == 0 and self.in_force.has(Guard.COUNT_FROM_SEND):
            inquiry = NO_INQUIRY
            voters = _without_round(voters)
        return state._replace(
            voters=voters,
            inquiry=inquiry,
            inquiry_left=inquiry_left,
            authority_left=after_tick(state.authority_left),
            request=request,
            request_left=request_left,
            fence_left=after_tick(state.fence_left),
        )

    def _write_steps(self, state: TakeoverState) -> Iterator[Step[TakeoverState]]:
        up = state.platform_up
        if state.write == NOT_SENT:
            yield "the decider sends the write of version 2", state._replace(write=IN_FLIGHT)
        if state.write == IN_FLIGHT and up:
            yield "the platform applies the write", state._replace(write=APPLIED)
        if state.write == UNKNOWN and up:
            yield "the platform applies the delayed write", state._replace(write=UNKNOWN_APPLIED)
        if state.write == APPLIED:
            yield "the decider receives the reply to its write", state._replace(write=CONFIRMED)
        if state.write == UNKNOWN_APPLIED and up:
            yield "the decider reads its write id back", state._replace(write=CONFIRMED)
        if state.write == UNKNOWN and up:
            yield "the decider does not find its write id and writes again", state._replace(
                write=IN_FLIGHT
            )

    def _inquiry_steps(self, state: TakeoverState) -> Iterator[Step[TakeoverState]]:
        if state.inquiry == NO_INQUIRY:
            yield "the old root starts a round for version 1", state._replace(
                inquiry=ROUND, inquiry_left=LONGEST_TERM
            )
            yield "the old root sends a read to the platform", state._replace(
                inquiry=READ_SENT, inquiry_left=LONGEST_TERM
            )
            return
        if state.inquiry == READ_SENT and state.platform_up:
            if _is_applied(state):
                yield "the platform answers the read with version 2", _end_inquiry(state)
            else:
                yield "the platform answers the read with version 1", state._replace(
                    inquiry=READ_ANSWERED
                )
        if state.inquiry == READ_ANSWERED:
            yield "the answer to the read reaches the old root", self._authorize(state)
        if state.inquiry == ROUND and sum(voter.endorsed for voter in state.voters) >= MAJORITY:
            yield "the endorsements of a majority reach the old root", self._authorize(state)
        yield "the old root gives its inquiry up", _end_inquiry(state)

    def _authorize(self, state: TakeoverState) -> TakeoverState:
        left = state.inquiry_left if self.in_force.has(Guard.COUNT_FROM_SEND) else LONGEST_TERM
        return _end_inquiry(state)._replace(authority_left=max(left, state.authority_left))

    def _voter_steps(self, state: TakeoverState) -> Iterator[Step[TakeoverState]]:
        for index, voter in enumerate(state.voters):
            if self._may_tell(state) and voter.promise == 1:
                yield "a voter acknowledges version 2", _with_voter(
                    state, index, Voter(2, voter.endorsed)
                )
            may_endorse = voter.promise == 1 or not self.in_force.has(Guard.VOTER_PROMISE)
            if state.inquiry == ROUND and not voter.endorsed and may_endorse:
                yield "a voter endorses version 1", _with_voter(
                    state, index, Voter(voter.promise, True)
                )

    def _may_tell(self, state: TakeoverState) -> bool:
        if state.write == CONFIRMED:
            return True
        if not self.in_force.has(Guard.READ_BACK):
            return state.write in (UNKNOWN, UNKNOWN_APPLIED)
        return not self.in_force.has(Guard.TELL_AFTER_CONFIRM) and state.write != NOT_SENT

    def _request_steps(self, state: TakeoverState) -> Iterator[Step[TakeoverState]]:
        if state.request == NO_REQUEST and self._old_gateway_may_send(state):
            left = state.authority_left
            if not self.in_force.has(Guard.REQUEST_DEADLINE_CAP):
                left = UNCAPPED_DEADLINE
            if not self.in_force.has(Guard.GATEWAY_DEADLINE):
                left = LONGEST_TERM
            yield "the old gateway checks its authority and sends a request", state._replace(
                request=IN_NETWORK, request_left=left
            )
        if state.request == IN_NETWORK:
            expired = state.request_left == 0 and self.in_force.has(Guard.SERVER_DEADLINE)
            if expired:
                yield "the old server drops the late request", _end_request(state)
            else:
                yield "the old server starts the request", state._replace(request=RUNNING)
        if state.request == RUNNING:
            yield "the old server completes the request", _end_request(state)

    def _settle_steps(self, state: TakeoverState) -> Iterator[Step[TakeoverState]]:
        acknowledged = sum(voter.promise == 2 for voter in state.voters)
        enough = acknowledged >= MAJORITY or not self.in_force.has(Guard.MAJORITY_BEFORE_FENCE)
        if state.fence_left == NOT_STARTED and self._may_tell(state) and enough:
            yield "the new root starts the fence wait", state._replace(fence_left=self._wait())
        if state.fence_left == 0 and not state.new_serves:
            yield "version 2 is settled and the new owner starts", state._replace(new_serves=True)

    def _wait(self) -> int:
        if not self.in_force.has(Guard.FENCE_WAIT):
            return 0
        return FENCE_WAIT if self.in_force.has(Guard.FENCE_MARGIN) else GRANT_TERM

    def _old_gateway_may_send(self, state: TakeoverState) -> bool:
        return state.authority_left > 0 or not self.in_force.has(Guard.GATEWAY_DEADLINE)

    def _one_server(self, state: TakeoverState) -> bool:
        return not (state.new_serves and state.request == RUNNING)

    def _one_gateway(self, state: TakeoverState) -> bool:
        return not (state.new_serves and self._old_gateway_may_send(state))

    def _told_is_written(self, state: TakeoverState) -> bool:
        return _is_applied(state) or all(voter.promise == 1 for voter in state.voters)


def _is_applied(state: TakeoverState) -> bool:
    return state.write in (APPLIED, UNKNOWN_APPLIED, CONFIRMED)


def _without_round(voters: tuple[Voter, ...]) -> tuple[Voter, ...]:
    return tuple(sorted(Voter(voter.promise, False) for voter in voters))


def _end_inquiry(state: TakeoverState) -> TakeoverState:
    return state._replace(inquiry=NO_INQUIRY, inquiry_left=0, voters=_without_round(state.voters))


def _end_request(state: TakeoverState) -> TakeoverState:
    return state._replace(request=NO_REQUEST, request_left=0)


def _with_voter(state: TakeoverState, index: int, voter: Voter) -> TakeoverState:
    """Replaces a voter; voters are interchangeable, so states keep them sorted."""
    others = state.voters[:index] + state.voters[index + 1 :]
    return state._replace(voters=tuple(sorted((*others, voter))))
