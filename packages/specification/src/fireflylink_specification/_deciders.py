"""Two deciders or operators that race with conflicting changes, and daemons that learn from peers.

The stored document is the sequence of the notes applied to it; its version is their number plus
one. Each writer has one note to apply. Replies and writes may be delayed or lost, and a writer that
has lost a reply reads back. One daemon learns documents from peers that may be stale.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from fireflylink_specification._guards import Guard
from fireflylink_specification._model import BaseModel, Step

Document = tuple[int, ...]
"""The notes applied, in order."""

WRITERS = 2
MOST_NOTES = 4
"""Bound on the length of a document; it only matters when a guard is removed."""

IDLE, WAITING, UNKNOWN, REPORTED = range(4)


class Writer(NamedTuple):
    """A writer: the document it computed its change from, its write and what became of it.

    ``delayed`` is the base of an earlier write that the writer gave up but that may still arrive.
    """

    phase: int = IDLE
    base: Document = ()
    in_network: bool = False
    applied: bool = False
    delayed: Document | None = None


class DecidersState(NamedTuple):
    """``told`` has every document that anyone was told of, ``highest`` the daemon's longest."""

    stored: Document
    writers: tuple[Writer, ...]
    told: frozenset[Document]
    known: Document
    highest: int


class DecidersModel(BaseModel[DecidersState]):
    """Safety: told versions keep their content, reported notes stay, each note applies once."""

    name = "racing deciders"
    bounds = "2 writers with 1 note each, 1 reading daemon"
    guards = (Guard.CAS_EXPECTED, Guard.READ_BACK, Guard.NOTE_ONCE, Guard.NEVER_BACK)

    def initial(self) -> DecidersState:
        return DecidersState((), (Writer(),) * WRITERS, frozenset({()}), (), 0)

    def steps(self, state: DecidersState) -> Iterator[Step[DecidersState]]:
        for index, writer in enumerate(state.writers):
            yield from self._write_steps(state, index, writer)
            yield from self._outcome_steps(state, index, writer)
        if state.stored not in state.told:
            yield "a watching daemon is told the stored document", _with_told(state, state.stored)
        for document in sorted(state.told):
            forward = len(document) > len(state.known)
            if forward or (document != state.known and not self.in_force.has(Guard.NEVER_BACK)):
                yield f"the daemon learns version {len(document) + 1} from a peer", state._replace(
                    known=document, highest=max(state.highest, len(document))
                )

    def faults(self, state: DecidersState) -> Iterator[Step[DecidersState]]:
        for index, writer in enumerate(state.writers):
            if writer.phase == WAITING:
                yield f"writer {index} gets no reply in time", _with_writer(
                    state, index, writer._replace(phase=UNKNOWN)
                )
            if writer.phase == UNKNOWN and writer.in_network:
                yield f"the write of writer {index} is lost", _with_writer(
                    state, index, writer._replace(in_network=False)
                )
            if writer.delayed is not None:
                yield f"the delayed write of writer {index} is lost", _with_writer(
                    state, index, writer._replace(delayed=None)
                )

    def properties(self) -> Mapping[str, Callable[[DecidersState], bool]]:
        return {
            "told versions keep their content": _told_is_kept,
            "reported notes stay applied": _reported_stays,
            "each note is applied once": _applied_once,
            "a daemon never goes back": _never_back,
        }

    def is_goal(self, state: DecidersState) -> bool:
        return all(writer.phase == REPORTED for writer in state.writers) and (
            state.known == state.stored
        )

    def _write_steps(
        self, state: DecidersState, index: int, writer: Writer
    ) -> Iterator[Step[DecidersState]]:
        if writer.phase == IDLE:
            if index in state.stored and self.in_force.has(Guard.NOTE_ONCE):
                yield f"writer {index} finds its note applied and reports it", _with_writer(
                    state, index, _next(writer, REPORTED)
                )
            else:
                yield f"writer {index} reads version {len(state.stored) + 1} and writes", (
                    _with_writer(state, index, _next(writer, WAITING, state.stored))
                )
        if writer.in_network:
            after = writer._replace(in_network=False)
            if self._takes_effect(state, writer.base):
                yield f"the platform applies the write of writer {index}", _with_writer(
                    state, index, after._replace(applied=True)
                )._replace(stored=(*writer.base, index))
            else:
                yield f"the platform refuses the write of writer {index}", _with_writer(
                    state, index, after
                )
        if writer.delayed is not None and self._takes_effect(state, writer.delayed):
            yield f"the platform applies the delayed write of writer {index}", _with_writer(
                state, index, writer._replace(delayed=None)
            )._replace(stored=(*writer.delayed, index))

    def _takes_effect(self, state: DecidersState, base: Document) -> bool:
        matches = base == state.stored or not self.in_force.has(Guard.CAS_EXPECTED)
        return matches and len(base) < MOST_NOTES

    def _outcome_steps(
        self, state: DecidersState, index: int, writer: Writer
    ) -> Iterator[Step[DecidersState]]:
        written = (*writer.base, index)
        if writer.phase == WAITING and not writer.in_network:
            if writer.applied:
                yield f"writer {index} receives its reply and reports", _with_told(
                    _with_writer(state, index, _next(writer, REPORTED)), written
                )
            else:
                yield f"writer {index} learns of the conflict", _with_writer(
                    state, index, _next(writer, IDLE)
                )
        if writer.phase != UNKNOWN:
            return
        if not self.in_force.has(Guard.READ_BACK):
            yield f"writer {index} assumes that its write took effect and reports", _with_told(
                _with_writer(state, index, writer._replace(phase=REPORTED)), written
            )
        elif state.stored == written:
            yield f"writer {index} reads its write id back and reports", _with_told(
                _with_writer(state, index, _next(writer, REPORTED)), written
            )
        elif state.stored != writer.base:
            yield f"writer {index} reads back a document of another write", _with_writer(
                state, index, _next(writer, IDLE)
            )
        else:
            yield f"writer {index} does not find its write id and writes again", _with_writer(
                state, index, _next(writer, WAITING, state.stored)
            )


def _next(writer: Writer, phase: int, base: Document = ()) -> Writer:
    """Returns the writer in its next phase; a write that it gave up may still be on its way."""
    delayed = writer.base if writer.in_network else writer.delayed
    return Writer(phase, base, in_network=phase == WAITING, delayed=delayed)


def _told_is_kept(state: DecidersState) -> bool:
    return all(state.stored[: len(document)] == document for document in state.told)


def _reported_stays(state: DecidersState) -> bool:
    return all(
        index in state.stored
        for index, writer in enumerate(state.writers)
        if writer.phase == REPORTED
    )


def _applied_once(state: DecidersState) -> bool:
    return len(set(state.stored)) == len(state.stored)


def _never_back(state: DecidersState) -> bool:
    return len(state.known) == state.highest


def _with_writer(state: DecidersState, index: int, writer: Writer) -> DecidersState:
    return state._replace(writers=(*state.writers[:index], writer, *state.writers[index + 1 :]))


def _with_told(state: DecidersState, document: Document) -> DecidersState:
    return state._replace(told=state.told | {document})
