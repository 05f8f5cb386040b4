"""Voters that restart with empty memory, are replaced, or end.

The model covers one table and all roots. A takeover rests on one property of the voters: once a
majority has acknowledged a version, no round for an earlier version that starts afterwards can
succeed. Rounds that started before expire within the fence wait; the takeover model covers those.
Only a round's own bound and the wait of a recovering voter are timed here. An old round is not
bounded in time, which can only add behaviours. Each subclass of the model is one scenario.
"""

from abc import abstractmethod
from collections.abc import Callable, Iterator, Mapping

from fireflylink_specification._guards import Guard, Guards
from fireflylink_specification._model import BaseModel, Step
from fireflylink_specification._time import after_tick
from fireflylink_specification._voters_state import (
    NO_ROUND,
    NOTHING,
    Daemon,
    Round,
    VoterList,
    VotersState,
    interchangeable_daemons,
    least_permutation,
)

ROUND_TICKS = 1
"""Longest time after its start at which a round still counts an acknowledgement."""

RECOVERY_TICKS = 1
"""Shortest fence wait between the start of a daemon and its questions to other voters."""


class BaseVotersModel(BaseModel[VotersState]):
    """Steps shared by all scenarios."""

    daemon_count: int
    restarts = 0
    ends = 0

    def __init__(self, guards: Guards) -> None:
        super().__init__(guards)
        self.lists = self.versions()
        self.classes = interchangeable_daemons(self.lists, self.daemon_count)

    @abstractmethod
    def versions(self) -> tuple[VoterList, ...]:
        """Returns the voters of version 1, 2 and so on."""

    def initial(self) -> VotersState:
        return VotersState(
            written=1,
            acknowledged=1,
            daemons=(Daemon(1),) * self.daemon_count,
            old_round=NO_ROUND,
            new_round=NO_ROUND,
            restarts_left=self.restarts,
            ends_left=self.ends,
        )

    def steps(self, state: VotersState) -> Iterator[Step[VotersState]]:
        yield "one tick passes", self._tick(state)
        yield from self._write_steps(state)
        yield from self._old_round_steps(state)
        yield from self._new_round_steps(state)
        for index, daemon in enumerate(state.daemons):
            if daemon.recovering and daemon.running:
                yield from self._recovery_steps(state, index, daemon)

    def faults(self, state: VotersState) -> Iterator[Step[VotersState]]:
        for index, daemon in enumerate(state.daemons):
            if state.restarts_left > 0 and daemon.running:
                yield f"daemon {index} restarts with empty memory", _with_daemon(
                    state, index, self._restarted()
                )._replace(restarts_left=state.restarts_left - 1)
            if state.ends_left > 0 and daemon.running:
                yield f"the instance of daemon {index} ends", _with_daemon(
                    state, index, Daemon(NOTHING, running=False)
                )._replace(ends_left=state.ends_left - 1)

    def representative(self, state: VotersState) -> VotersState:
        return least_permutation(state, self.classes)

    def properties(self) -> Mapping[str, Callable[[VotersState], bool]]:
        return {"no authority below an acknowledged version": self._no_stale_authority}

    def is_goal(self, state: VotersState) -> bool:
        return state.acknowledged == len(self.lists)

    def _restarted(self) -> Daemon:
        if not self.in_force.has(Guard.RECOVERING):
            return Daemon(NOTHING)
        wait = RECOVERY_TICKS if self.in_force.has(Guard.RECOVERY_WAIT) else 0
        return Daemon(NOTHING, recovering=True, wait_left=wait)

    def _tick(self, state: VotersState) -> VotersState:
        new_round = state.new_round
        if new_round.left and self.in_force.has(Guard.ROUND_BOUND):
            new_round = (
                new_round._replace(left=new_round.left - 1) if new_round.left > 1 else NO_ROUND
            )
        daemons = tuple(
            daemon._replace(wait_left=after_tick(daemon.wait_left)) for daemon in state.daemons
        )
        return state._replace(daemons=daemons, new_round=new_round)

    def _write_steps(self, state: VotersState) -> Iterator[Step[VotersState]]:
        if state.written == len(self.lists):
            return
        current, following = self.lists[state.written - 1], self.lists[state.written]
        clears = bool(current.previous) and not following.previous
        must_wait = clears and self.in_force.has(Guard.CLEAR_WHEN_SETTLED)
        if not must_wait or state.acknowledged >= state.written:
            yield f"version {state.written + 1} is written", state._replace(
                written=state.written + 1
            )

    def _old_round_steps(self, state: VotersState) -> Iterator[Step[VotersState]]:
        for version in range(1, state.acknowledged):
            if state.old_round.version != version:
                yield f"an old root starts a round for version {version}", state._replace(
                    old_round=Round(version)
                )
        current = state.old_round
        if current.version:
            for index in self._may_endorse(state, current):
                yield f"daemon {index} endorses version {current.version}", _with_daemon(
                    state, index, Daemon(current.version)
                )._replace(old_round=_endorsed(current, index))

    def _new_round_steps(self, state: VotersState) -> Iterator[Step[VotersState]]:
        current = state.new_round
        if state.acknowledged < state.written and current != Round(state.written, ROUND_TICKS):
            yield f"the new root starts a round for version {state.written}", state._replace(
                new_round=Round(state.written, ROUND_TICKS)
            )
        if not current.version:
            return
        for index in self._may_endorse(state, current):
            yield f"daemon {index} acknowledges version {current.version}", _with_daemon(
                state, index, Daemon(current.version)
            )._replace(new_round=_endorsed(current, index))
        yield from self._ended_steps(state, current)
        if self._is_enough(current):
            yield f"the new root counts a majority for version {current.version}", state._replace(
                new_round=NO_ROUND, old_round=NO_ROUND, acknowledged=current.version
            )

    def _ended_steps(self, state: VotersState, current: Round) -> Iterator[Step[VotersState]]:
        if not self.in_force.has(Guard.GONE_COUNTS):
            return
        members = self.lists[current.version - 1]
        for index in sorted((members.voters | members.previous) - current.endorsers):
            ended = not state.daemons[index].running
            if ended or not self.in_force.has(Guard.GONE_CONFIRMED):
                yield f"the new root counts daemon {index} as ended", state._replace(
                    new_round=_endorsed(current, index)
                )

    def _may_endorse(self, state: VotersState, current: Round) -> Iterator[int]:
        members = self.lists[current.version - 1]
        for index in sorted((members.voters | members.previous) - current.endorsers):
            daemon = state.daemons[index]
            if daemon.running and not daemon.recovering and daemon.known <= current.version:
                yield index

    def _is_enough(self, current: Round) -> bool:
        members = self.lists[current.version - 1]
        if not _has_majority(members.voters, current.endorsers):
            return False
        if not self.in_force.has(Guard.PREVIOUS_MAJORITY):
            return True
        return _has_majority(members.previous, current.endorsers)

    def _recovery_steps(
        self, state: VotersState, index: int, daemon: Daemon
    ) -> Iterator[Step[VotersState]]:
        yield f"daemon {index} recovers from the platform", _with_daemon(
            state, index, Daemon(state.written)
        )
        for version in sorted({peer.known for peer in state.daemons if peer.running}):
            if version > daemon.known:
                yield f"daemon {index} learns version {version} from a peer", _with_daemon(
                    state, index, self._learned(daemon, version)
                )
        if daemon.known == NOTHING:
            return
        members = self._recovery_list(daemon)
        if daemon.wait_left == 0:
            yield from self._ask_steps(state, index, daemon, members)
        if self._has_recovered(index, daemon, members):
            yield f"daemon {index} has recovered with version {daemon.known}", _with_daemon(
                state, index, Daemon(daemon.known)
            )

    def _ask_steps(
        self, state: VotersState, index: int, daemon: Daemon, members: frozenset[int]
    ) -> Iterator[Step[VotersState]]:
        for other in sorted(members - daemon.replies - {index}):
            peer = state.daemons[other]
            counts = not peer.recovering or not self.in_force.has(Guard.RECOVERED_PEERS)
            if peer.running and counts:
                learned = self._learned(daemon, max(daemon.known, peer.known))
                yield f"daemon {other} answers recovering daemon {index}", _with_daemon(
                    state, index, learned._replace(replies=daemon.replies | {other})
                )

    def _learned(self, daemon: Daemon, version: int) -> Daemon:
        first = daemon.first_learned
        if not first and not self.in_force.has(Guard.RECOVERY_LIST):
            first = version
        return daemon._replace(known=version, first_learned=first)

    def _recovery_list(self, daemon: Daemon) -> frozenset[int]:
        return self.lists[(daemon.first_learned or daemon.known) - 1].voters

    def _has_recovered(self, index: int, daemon: Daemon, members: frozenset[int]) -> bool:
        majority = len(members) // 2 + 1
        needed = len(members) - majority + 1
        if not self.in_force.has(Guard.RECOVERY_QUORUM):
            needed -= 1
        return len((daemon.replies & members) - {index}) >= needed

    def _no_stale_authority(self, state: VotersState) -> bool:
        current = state.old_round
        return not current.version or not self._is_enough(current)


def _has_majority(members: frozenset[int], endorsers: frozenset[int]) -> bool:
    return not members or len(members & endorsers) > len(members) // 2


def _endorsed(current: Round, index: int) -> Round:
    return current._replace(endorsers=current.endorsers | {index})


def _with_daemon(state: VotersState, index: int, daemon: Daemon) -> VotersState:
    daemons = (*state.daemons[:index], daemon, *state.daemons[index + 1 :])
    return state._replace(daemons=daemons)
