"""Admission of the requests of one server group, as its gateway task uses it."""

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from fireflylink_core import BaseFireflylinkError, CallerRequest
from fireflylink_decisions.admission import _replies as replies
from fireflylink_decisions.admission._admission_values import Handover, ShardHandover
from fireflylink_decisions.admission._request_admission import NO_SHARD, RequestAdmission, Started
from fireflylink_decisions.admission._waiting_requests import Reply
from fireflylink_decisions.routing import GroupReport


class StillRunningError(BaseFireflylinkError):
    """Shards cannot be handed over while requests for them are in flight."""


class GatewayAdmission(RequestAdmission):
    """Decides for one server group which request starts when and on which server.

    The gateway task offers each request, starts what is admitted and reports every end. Requests
    that wait are admitted by later calls; while ``needs_expiry``, the task calls ``expire`` and
    ``start_waiting`` every few milliseconds, which return the replies of requests that will not
    start and the requests that start because time has passed.

    Example::

        decision = admission.offer(request, call_id, now, wall_ms)
        if isinstance(decision, Admitted):
            ...  # send it to decision.server_id
        for admitted in admission.finish(call_id, result, now):
            ...
    """

    __slots__ = ()

    @property
    def idle(self) -> bool:
        """Whether no request is in flight or waits."""
        delegated = self.delegation is not None and self.delegation.calls
        return not (self.servers.calls or delegated or len(self.waiting) or self.waiting.unsent)

    @property
    def awaits_former(self) -> tuple[str, ...]:
        """The servers that still run requests of a former gateway."""
        return tuple(s.server_id for s in self.servers.limiters if s.foreign)

    def stop_admitting(
        self, reason: str, shard_indexes: Iterable[int] | None = None
    ) -> tuple[Reply, ...]:
        """Admits nothing more, or nothing for some shards, and returns replies for what waits.

        ``reason`` is ``moved`` for a handover and ``leaving`` for a drain.
        """
        indexes = None if shard_indexes is None else frozenset(shard_indexes)
        self.shards.stop(reason, indexes)
        self.waiting.stop(
            lambda call: indexes is None or call.shard_index in indexes,
            replies.STOP_REPLIES[reason],
        )
        return self.waiting.take_unsent()

    def idle_for(self, shard_indexes: Iterable[int]) -> bool:
        """Tells whether no request of some shards is in flight."""
        indexes = frozenset(shard_indexes)
        delegated = {} if self.delegation is None else self.delegation.calls
        calls = (*self.servers.calls.values(), *delegated.values())
        return all(call.shard_index not in indexes for call in calls)

    def requests(self) -> tuple[CallerRequest, ...]:
        """Returns the requests that are in flight or wait."""
        queued = (entry.request for entry in self.waiting.queue.entries.values())
        alone = (entry.request for entry in self.waiting.isolation.waiting.values())
        running = (call.request for call in self.servers.calls.values())
        return (*running, *queued, *alone)

    def fold_exception(self, exception_index: int, shard_index: int) -> None:
        """Takes the request ids of an ended single-key exception back into its shard."""
        memory = self.id_gate.memory
        for known in memory.export_shards((exception_index,)):
            memory.import_shard(ShardHandover(shard_index, known.floor_ms, known.request_ids))
        memory.drop_shards((exception_index,))

    def export_handover(self, shard_indexes: Iterable[int]) -> Result[Handover, StillRunningError]:
        """Returns what the next gateway of some shards has to know, and holds them no longer.

        After ``stop_admitting`` without shards, the servers of the group go with them.
        """
        indexes = tuple(shard_indexes)
        whole_group = bool(self.shards.stopped)
        idle = self.idle if whole_group else self.idle_for(indexes)
        if not idle:
            return Failure(StillRunningError("requests are still in flight"))
        shards = self.shards.release(indexes, self.service.shard_count)
        servers = self.servers.export()
        return Success(Handover(self.service.name, shards, servers, whole_group))

    def drop_shards(self, shard_indexes: Iterable[int]) -> None:
        """Forgets the ids of shards that another gateway has taken over without a handover."""
        indexes = tuple(shard_indexes)
        self.shards.stop("moved", indexes)
        self.id_gate.memory.drop_shards(indexes)

    def expect_handover(self, shard_indexes: Iterable[int], whole_group: bool = False) -> None:
        """Lets requests of some shards wait until the former gateway hands them over.

        With ``whole_group`` the servers are awaited as well, so that no request starts.
        """
        self.shards.expect((*shard_indexes, NO_SHARD) if whole_group else shard_indexes)

    def import_handover(self, handover: Handover, now: float, wall_ms: int) -> tuple[Started, ...]:
        """Takes over shards and returns the requests that waited for them and start now."""
        self.servers.adopt(handover.servers, now)
        indexes = self.shards.receive(handover.shards)
        if handover.whole_group:
            indexes = self.shards.hold((*indexes, NO_SHARD))
        return self.offer_held(indexes, now, wall_ms)

    def start_term(
        self, shard_indexes: Iterable[int], now: float, wall_ms: int, whole_group: bool = False
    ) -> tuple[Started, ...]:
        """Takes over shards without a handover; required whenever shards are gained that way.

        Returns the requests that waited for them and start now.
        """
        indexes = self.shards.start_term(shard_indexes, wall_ms)
        if whole_group:
            indexes = self.shards.hold((*indexes, NO_SHARD))
        return self.offer_held(indexes, now, wall_ms)

    def report(self, group_id: str, now: float) -> GroupReport:
        """Returns the load of the group, for Sync and for replies to other daemons."""
        servers = self.servers
        in_flight = len(servers.calls) + len(self.waiting.queue)
        capacity = 0 if self.shards.stopped else servers.capacity(now)
        return GroupReport(group_id, in_flight, capacity, servers.service_time.mean, now)

    def offer_held(
        self, shard_indexes: tuple[int, ...], now: float, wall_ms: int
    ) -> tuple[Started, ...]:
        """Offers the requests that waited for shards."""
        return self.started_of(
            self.offer(call.request, call.call_id, now, wall_ms, call.shard_index)
            for call in self.waiting.take_held(shard_indexes)
        )
