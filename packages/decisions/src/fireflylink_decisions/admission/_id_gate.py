"""At-most-once execution of the non-idempotent requests of a server group."""

from collections.abc import Iterable

from fireflylink_core import BaseReply, NotRun
from fireflylink_decisions.admission._admission_values import ShardHandover
from fireflylink_decisions.admission._answer_store import AnswerStore, HeldAnswer
from fireflylink_decisions.admission._call import Call
from fireflylink_decisions.admission._request_id import number_of
from fireflylink_decisions.admission._request_id_memory import RequestIdMemory
from fireflylink_decisions.retries import CallResult

MILLISECONDS_PER_SECOND = 1000.0
BAD_ID = NotRun("invalid-request-id", "The request id is not a UUID of version 7.", 400)


class IdGate:
    """Lets a non-idempotent request pass only if no request with its id can have run.

    A repeated request whose first run was answered gets that answer again while it is held.
    """

    __slots__ = ("answers", "memory")

    def __init__(self, memory: RequestIdMemory) -> None:
        self.memory = memory
        self.answers = AnswerStore()

    def check(self, call: Call, now: float, wall_ms: int) -> BaseReply | None:
        """Returns why a request must not run, or None when it may.

        Notes the number of its id, and when it may start if the id is ahead of the clock.
        """
        request = call.request
        number = number_of(request.request_id)
        if not number:
            return BAD_ID
        call.request_number = number
        reply = self.memory.check(call.shard_index, number, wall_ms)
        if reply is None:
            early_ms = self.memory.early_ms(number, wall_ms)
            if early_ms > 0:
                call.due_at = now + early_ms / MILLISECONDS_PER_SECOND
            return None
        held = self.answers.find(number, request)
        return reply if held is None else held

    def remember(self, call: Call) -> None:
        """Notes that a request that has an id was accepted."""
        if call.request_number:
            self.memory.remember(call.shard_index, call.request_number)

    def settle(self, call: Call, result: CallResult) -> None:
        """Notes how the call of a request ended."""
        if not call.request_number:
            return
        if result.certainly_not_run:
            self.memory.forget(call.shard_index, call.request_number)
            return
        self.memory.ended(call.shard_index, call.request_number)
        if result.answer is not None:
            self.answers.hold(call.request_number, HeldAnswer(result.answer, call.request))

    def forget(self, call: Call) -> None:
        """Allows the id of a request that left the queue without running."""
        if call.request_number:
            self.memory.forget(call.shard_index, call.request_number)

    def export(self, shard_indexes: Iterable[int], shard_count: int) -> tuple[ShardHandover, ...]:
        """Returns what is known about shards and exceptions.

        An exception that had no record of its own was part of the shard of its key.
        """
        exported = []
        for index in shard_indexes:
            source = index if index in self.memory.shards else index % shard_count
            if source in self.memory.shards:
                handover = self.memory.export_shard(source)
                exported.append(ShardHandover(index, handover.floor_ms, handover.request_ids))
        return tuple(exported)
