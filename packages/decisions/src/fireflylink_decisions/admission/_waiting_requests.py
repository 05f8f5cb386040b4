"""Requests of a group that wait, and the replies of those that will not start."""

from collections.abc import Callable, Iterable

from fireflylink_core import BaseReply, NotRun
from fireflylink_decisions.admission import _replies as replies
from fireflylink_decisions.admission._call import Call
from fireflylink_decisions.admission._id_gate import IdGate
from fireflylink_decisions.admission._isolation import Isolation
from fireflylink_decisions.admission._poison_detector import PoisonDetector, Suspicion
from fireflylink_decisions.limits import FairQueue

EARLY_PER_QUEUED = 4
"""Bound of the requests that wait for the time of their id, as a multiple of the queue limit: they
wait for up to 2 s, and their servers are not to blame."""

Reply = tuple[str, BaseReply]
"""Call id and what its caller is told."""


class WaitingRequests:
    """Requests that wait for a slot, for a server of their own, for the handover of their shard
    (``held``) or for the time of their id (``early``).

    A request that leaves without having started gives its id back, so that its caller may repeat
    it, and its reply is kept in ``unsent`` until it is fetched.
    """

    __slots__ = ("counters", "early", "held", "id_gate", "isolation", "queue", "unsent")

    def __init__(self, limit: int, id_gate: IdGate, counters: dict[str, int]) -> None:
        self.queue: FairQueue[Call] = FairQueue(limit)
        self.isolation = Isolation()
        self.held: dict[str, Call] = {}
        self.early: dict[str, Call] = {}
        self.unsent: list[Reply] = []
        self.id_gate = id_gate
        self.counters = counters

    def __len__(self) -> int:
        return len(self.queue) + len(self.isolation.waiting) + len(self.held) + len(self.early)

    @property
    def any_startable(self) -> bool:
        """Whether a request waits that a free slot would start."""
        return bool(self.queue.entries or self.isolation.waiting)

    def push(self, call: Call) -> NotRun | None:
        """Queues a request, or returns why there is no room for it."""
        displaced = self.queue.push(call)
        if displaced is call:
            return replies.QUEUE_FULL
        if displaced is not None:
            self.give_up(displaced, replies.QUEUE_FULL)
        return None

    def pop(self, now: float) -> Call | None:
        """Takes the next request that can still be answered in time."""
        while True:
            call = self.queue.pop()
            if call is None or call.latest_start >= now:
                return call
            self.give_up(call, replies.OVERLOADED)

    def hold(self, call: Call) -> bool:
        """Keeps a request until its shard is handed over, or returns False without room."""
        if len(self.held) >= self.queue.limit:
            return False
        self.held[call.call_id] = call
        return True

    def take_held(self, shard_indexes: Iterable[int]) -> tuple[Call, ...]:
        """Takes out the requests that waited for the handover of shards."""
        indexes = frozenset(shard_indexes)
        taken = tuple(call for call in self.held.values() if call.shard_index in indexes)
        for call in taken:
            del self.held[call.call_id]
        return taken

    def hold_early(self, call: Call) -> bool:
        """Keeps a request until the time of its id, or returns False without room."""
        if len(self.early) >= EARLY_PER_QUEUED * self.queue.limit:
            return False
        self.early[call.call_id] = call
        return True

    def take_due(self, now: float) -> tuple[Call, ...]:
        """Takes out the requests that may start because the time of their id has come."""
        due = tuple(call for call in self.early.values() if call.due_at <= now)
        for call in due:
            del self.early[call.call_id]
        return due

    def remove(self, call_id: str) -> bool:
        """Drops a request whose caller has gone, and tells whether it waited."""
        call = self.take_out(call_id)
        if call is None:
            return False
        self.id_gate.forget(call)
        self.count("cancelled")
        return True

    def take_out(self, call_id: str) -> Call | None:
        """Takes a request out of wherever it waits."""
        held = self.held.pop(call_id, None) or self.early.pop(call_id, None)
        return held or self.queue.remove(call_id) or self.isolation.remove(call_id)

    def expire(self, now: float) -> None:
        """Gives up the requests that can no longer be answered before their deadline."""
        for call in self.queue.expire(now):
            self.give_up(call, replies.OVERLOADED)
        others = (*self.isolation.waiting.values(), *self.held.values(), *self.early.values())
        for call in others:
            if call.latest_start <= now:
                self.leave(call, replies.DEADLINE)

    def leave(self, call: Call, reply: NotRun) -> None:
        """Takes out a waiting request and gives it up.

        The id of a held request was not compared with those that have run, so its reply must not
        say more than that this gateway does not hold the shard.
        """
        told = replies.NOT_HELD if call.call_id in self.held else reply
        self.take_out(call.call_id)
        self.give_up(call, told)

    def stop(self, matches: Callable[[Call], bool], reply: NotRun) -> None:
        """Gives up the waiting requests that match."""
        waiting = (
            *self.queue.entries.values(),
            *self.isolation.waiting.values(),
            *self.held.values(),
            *self.early.values(),
        )
        for call in waiting:
            if matches(call):
                self.leave(call, reply)

    def review_suspects(self, poison: PoisonDetector, now: float) -> None:
        """Queues the suspects that have been cleared and gives up those that are blocked."""
        for call in tuple(self.isolation.waiting.values()):
            suspicion = poison.suspicion(call.fingerprint, now)
            if suspicion is Suspicion.SUSPECT:
                continue
            self.isolation.remove(call.call_id)
            refusal = replies.POISON if suspicion is Suspicion.BLOCKED else self.push(call)
            if refusal is not None:
                self.give_up(call, refusal)

    def give_up(self, call: Call, reply: BaseReply) -> None:
        """Notes the reply of a request that will not start."""
        self.id_gate.forget(call)
        self.count(getattr(reply, "reason", "replayed"))
        self.unsent.append((call.call_id, reply))

    def take_unsent(self) -> tuple[Reply, ...]:
        """Returns the replies that were not fetched yet."""
        unsent = tuple(self.unsent)
        self.unsent.clear()
        return unsent

    def count(self, reason: str) -> None:
        """Counts a decision by its reason."""
        self.counters[reason] = self.counters.get(reason, 0) + 1
