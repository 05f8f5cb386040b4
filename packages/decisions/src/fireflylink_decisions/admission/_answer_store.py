"""Answers of non-idempotent requests, held for callers that repeat a request."""

from collections import OrderedDict

from fireflylink_core import BackendAnswer, CallerRequest

MAX_ANSWERS = 1_024
MAX_ANSWER_STORE_BYTES = 4 << 20
MAX_HELD_ANSWER_BYTES = 16 << 10
SAME_FIELDS = ("tenant", "service", "method", "key", "query", "body")


class HeldAnswer:
    """An answer and the request that it belongs to."""

    __slots__ = ("answer", "request", "size")

    def __init__(self, answer: BackendAnswer, request: CallerRequest) -> None:
        self.answer = answer
        self.request = request
        self.size = len(answer.body) + len(request.body)


class AnswerStore:
    """Holds recent answers by request id, bounded in number and bytes, oldest dropped first.

    An answer is returned only to the same tenant and for the same request, so that a caller that
    uses an id twice never gets the response to another request.
    """

    __slots__ = ("answers", "held_bytes")

    def __init__(self) -> None:
        self.answers: OrderedDict[int, HeldAnswer] = OrderedDict()
        self.held_bytes = 0

    def hold(self, request_id: int, held: HeldAnswer) -> None:
        """Keeps an answer unless it is too large."""
        if held.size > MAX_HELD_ANSWER_BYTES or request_id in self.answers:
            return
        self.answers[request_id] = held
        self.held_bytes += held.size
        while len(self.answers) > MAX_ANSWERS or self.held_bytes > MAX_ANSWER_STORE_BYTES:
            self.held_bytes -= self.answers.popitem(last=False)[1].size

    def find(self, request_id: int, request: CallerRequest) -> BackendAnswer | None:
        """Returns the answer that the same request got before, if it is still held."""
        held = self.answers.get(request_id)
        if held is None:
            return None
        same = all(getattr(held.request, field) == getattr(request, field) for field in SAME_FIELDS)
        return held.answer if same else None
