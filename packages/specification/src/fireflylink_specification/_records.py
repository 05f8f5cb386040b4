"""Records that disappear from a table: removed exceptions and services.

Version k of the table gives a key to an owner, or to nobody, by a record that an earlier or the
same version changed. A removed exception gives its key back to the record of the shard, which did
not change. Authority is abstracted as in the succession model.
"""

from abc import abstractmethod
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple

from fireflylink_specification._guards import Guard, Guards
from fireflylink_specification._model import BaseModel, Step
from fireflylink_specification._time import LONGEST_TERM, after_tick

NOBODY = -1
GATEWAYS = 2


class KeyRecord(NamedTuple):
    """The record that applies to the key; ``has_previous`` says whether it names who had it."""

    owner: int
    changed_version: int
    has_previous: bool = True
    after_settled: bool = False


class RecordsState(NamedTuple):
    """``authority_left`` has the longest authority for each version but the last."""

    written: int
    acknowledged: int
    authority_left: tuple[int, ...]
    known: tuple[int, ...]


class BaseRecordsModel(BaseModel[RecordsState]):
    """Two gateways that know versions of the table and act by the record that applies."""

    def __init__(self, guards: Guards) -> None:
        super().__init__(guards)
        self.records = self.versions()

    @abstractmethod
    def versions(self) -> tuple[KeyRecord, ...]:
        """Returns the record of the key in version 1, 2 and so on."""

    def initial(self) -> RecordsState:
        return RecordsState(1, 1, (LONGEST_TERM,) * (len(self.records) - 1), (1,) * GATEWAYS)

    def steps(self, state: RecordsState) -> Iterator[Step[RecordsState]]:
        yield "one tick passes", _after_tick(state)
        if state.written < len(self.records):
            must_wait = self.records[state.written].after_settled
            if not must_wait or self._is_settled(state, state.written):
                yield f"version {state.written + 1} is written", state._replace(
                    written=state.written + 1
                )
        for version in range(state.acknowledged + 1, state.written + 1):
            yield f"a majority of voters acknowledges version {version}", state._replace(
                acknowledged=version
            )
        for index in range(GATEWAYS):
            for version in range(state.known[index] + 1, state.written + 1):
                known = (*state.known[:index], version, *state.known[index + 1 :])
                yield f"gateway {index} learns version {version}", state._replace(known=known)

    def faults(self, state: RecordsState) -> Iterator[Step[RecordsState]]:
        yield from ()

    def properties(self) -> Mapping[str, Callable[[RecordsState], bool]]:
        return {"one owner": self._one_owner}

    def is_goal(self, state: RecordsState) -> bool:
        owner = self.records[-1].owner
        return state.known[owner] == len(self.records) and self._acts(state, owner)

    def _is_settled(self, state: RecordsState, version: int) -> bool:
        return state.acknowledged >= version and not any(state.authority_left[: version - 1])

    def _acts(self, state: RecordsState, index: int) -> bool:
        known = state.known[index]
        record = self.records[known - 1]
        if record.owner != index:
            return False
        usable = range(record.changed_version, known + 1)
        if not any(self._has_authority(state, version) for version in usable):
            return False
        if not record.has_previous and not self.in_force.has(Guard.NEW_RECORD_WAITS):
            return True
        return self._is_settled(state, record.changed_version)

    def _has_authority(self, state: RecordsState, version: int) -> bool:
        return version == len(self.records) or state.authority_left[version - 1] > 0

    def _one_owner(self, state: RecordsState) -> bool:
        return sum(self._acts(state, index) for index in range(GATEWAYS)) <= 1


class RemovedExceptionModel(BaseRecordsModel):
    """The exception that gave the key to gateway 1 is removed; its shard belongs to gateway 0."""

    name = "removed exception"
    bounds = "2 gateways, 3 versions"
    guards = (Guard.EXCEPTION_MERGED_FIRST,)

    def versions(self) -> tuple[KeyRecord, ...]:
        by_exception = KeyRecord(owner=1, changed_version=1)
        by_shard = KeyRecord(owner=0, changed_version=1)
        if not self.in_force.has(Guard.EXCEPTION_MERGED_FIRST):
            return by_exception, by_shard
        merged = KeyRecord(owner=0, changed_version=2)
        return by_exception, merged, by_shard._replace(after_settled=True)


class ReAddedServiceModel(BaseRecordsModel):
    """The service of the key is removed and added again, with another owner."""

    name = "service removed and added again"
    bounds = "2 gateways, 3 versions"
    guards = (Guard.NEW_RECORD_WAITS,)

    def versions(self) -> tuple[KeyRecord, ...]:
        return (
            KeyRecord(owner=1, changed_version=1),
            KeyRecord(owner=NOBODY, changed_version=2),
            KeyRecord(owner=0, changed_version=3, has_previous=False),
        )


def _after_tick(state: RecordsState) -> RecordsState:
    authority_left = tuple(
        after_tick(left) if state.acknowledged > version else left
        for version, left in enumerate(state.authority_left, 1)
    )
    return state._replace(authority_left=authority_left)
