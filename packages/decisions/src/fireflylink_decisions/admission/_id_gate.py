"""At-most-once execution of the non-idempotent requests of a server group."""

from collections.abc import Iterable

from returns.result import Success

from fireflylink_core import BaseReply, CallerRequest, NotRun, OutcomeUnknown
from fireflylink_decisions.admission._admission_values import ShardHandover
from fireflylink_decisions.admission._answer_store import AnswerStore, HeldAnswer
from fireflylink_decisions.admission._fingerprint import fingerprint_of
from fireflylink_decisions.admission._request_id import parse_request_id
from fireflylink_decisions.admission._request_id_memory import RequestIdMemory
from fireflylink_decisions.retries import CallResult

BAD_ID = NotRun("invalid-request-id", "The request id is not a UUID of version 7.", 400)


class IdGate:
    """Lets a non-idempotent request pass only if no request with its id can have run.

    A repeated request whose first run was answered gets that answer again while it is held.
    """

    __slots__ = ("answers", "memory")

    def __init__(self, memory: RequestIdMemory) -> None:
        self.memory = memory
        self.answers = AnswerStore()

    def check(self, request: CallerRequest, shard_index: int, wall_ms: int) -> int | BaseReply:
        """Returns the number of the request id, or the reply when the request must not run."""
        parsed = parse_request_id(request.request_id)
        if not isinstance(parsed, Success):
            return BAD_ID
        number: int = parsed.unwrap()
        reply = self.memory.check(shard_index, number, wall_ms)
        if reply is None:
            return number
        if isinstance(reply, OutcomeUnknown) and number in self.answers.answers:
            held = self.answers.find(number, fingerprint_of(request), request.tenant)
            return held if held is not None else reply
        return reply

    def settle(
        self, request: CallerRequest, shard_index: int, number: int, result: CallResult
    ) -> None:
        """Notes how the call of a request ended."""
        if result.certainly_not_run:
            self.memory.forget(shard_index, number)
            return
        self.memory.ended(shard_index, number)
        if result.answer is not None:
            held = HeldAnswer(result.answer, fingerprint_of(request), request.tenant)
            self.answers.hold(number, held)

    def forget(self, shard_index: int, number: int) -> None:
        """Allows the id of a request that left the queue without running; 0 stands for none."""
        if number:
            self.memory.forget(shard_index, number)

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
