"""Which shards the gateways of one daemon may serve, and which they have to release."""

from collections.abc import Callable, Mapping

from fireflylink_core import BaseValue
from fireflylink_decisions.activation._handovers import HandoverBook
from fireflylink_decisions.activation._shard_view import ShardPhase, ShardView
from fireflylink_decisions.authority import FENCE_WAIT, AuthorityBook
from fireflylink_decisions.ownership import NO_RELEASE

FIRST_VERSION = 1

ShardIdentity = tuple[tuple[str, int], bool]


class Release(BaseValue):
    """A shard that this daemon served and that its newest table gives to another term."""

    __slots__ = ("former", "successor")

    def __init__(self, former: ShardView, successor: ShardView | None) -> None:
        self.former = former
        self.successor = successor


class ShardActivation:
    """Follows the tables and decides for each shard of this daemon whether it may be served.

    A shard is served once nothing of an earlier owner or gateway can be left: the table version
    that gave it here is settled, or the former gateway released it, or only the gateway changed and
    every server of the group refuses the former one by its grant. A daemon that just started waits
    ``FENCE_WAIT``, because the same instance may have acted before and forgotten what it released.

    ``servers_check_grants`` tells whether all servers of a group check grants.
    """

    __slots__ = (
        "_phases",
        "_views",
        "handovers",
        "instance_id",
        "releasing",
        "servers_check_grants",
        "started",
    )

    def __init__(
        self,
        instance_id: str,
        started: float,
        servers_check_grants: Callable[[tuple[str, ...]], bool],
    ) -> None:
        self.instance_id = instance_id
        self.started = started
        self.servers_check_grants = servers_check_grants
        self.handovers = HandoverBook()
        self.releasing: dict[ShardIdentity, ShardView] = {}
        self._views: dict[ShardIdentity, ShardView] = {}
        self._phases: dict[ShardIdentity, ShardPhase] = {}

    def take_views(
        self, views: Mapping[ShardIdentity, ShardView], now: float
    ) -> tuple[ShardView, ...]:
        """Takes the shards that the newest tables give to this daemon.

        Returns those that it served under another term and now has to release.
        """
        released = []
        for identity, former in self._views.items():
            current = views.get(identity)
            same_term = current is not None and current.term == former.term
            if not same_term and self._phases[identity] is ShardPhase.SERVING:
                self.releasing[identity] = former
                released.append(former)
        phases = {}
        for identity, view in views.items():
            held = self._views.get(identity)
            kept = held is not None and held.term == view.term
            phases[identity] = self._phases[identity] if kept else ShardPhase.WAITING
        self._views = dict(views)
        self._phases = phases
        return tuple(released)

    def finish_release(self, identity: ShardIdentity) -> None:
        """Notes that nothing of a former term is left here."""
        self.releasing.pop(identity, None)

    def activate(
        self,
        book: AuthorityBook,
        settled: Mapping[str, int],
        held_versions: Mapping[str, int],
        now: float,
    ) -> tuple[ShardView, ...]:
        """Returns the waiting shards that may be served from now on.

        ``held_versions`` are the versions of the tables that are held here.
        """
        if now < self.started + FENCE_WAIT:
            return ()
        activated = []
        for identity, view in self._views.items():
            waits = self._phases[identity] is ShardPhase.WAITING and identity not in self.releasing
            if waits and self._may_serve(view, book, settled, held_versions, now):
                self._phases[identity] = ShardPhase.SERVING
                activated.append(view)
        return tuple(activated)

    def _may_serve(
        self,
        view: ShardView,
        book: AuthorityBook,
        settled: Mapping[str, int],
        held_versions: Mapping[str, int],
        now: float,
    ) -> bool:
        held_version = held_versions.get(view.table_id, 0)
        if book.deadline(view.table_id, view.fence_version, held_version) <= now:
            return False
        return self.is_handed_over(view) or (
            self._owner_is_fenced(view, settled) and self._gateway_is_fenced(view, settled)
        )

    def is_entitled(self, view: ShardView, settled: Mapping[str, int]) -> bool:
        """Tells whether this daemon may release a shard.

        A gateway that started only because servers refuse the former one could otherwise release a
        shard that the former one still serves.
        """
        if self.is_handed_over(view):
            return True
        return settled.get(view.table_id, 0) >= view.fence_version and self._owner_is_fenced(
            view, settled
        )

    def _owner_is_fenced(self, view: ShardView, settled: Mapping[str, int]) -> bool:
        return all(settled.get(table_id, 0) >= version for table_id, version in view.settle_first)

    def _gateway_is_fenced(self, view: ShardView, settled: Mapping[str, int]) -> bool:
        group = view.group
        if group.previous_gateway is None or group.changed_version <= FIRST_VERSION:
            return True
        if settled.get(view.table_id, 0) >= group.changed_version:
            return True
        # A former gateway that is not lost hands over the ids of the requests that it admitted.
        releases = group.previous_gateway != NO_RELEASE
        return not releases and self.servers_check_grants(group.server_ids)

    def is_handed_over(self, view: ShardView) -> bool:
        """Tells whether the former gateway released the shard for this term."""
        return self.handovers.is_released(
            view.shard, view.exception, view.record.epoch, view.group.gateway_epoch
        )

    def phase(self, identity: ShardIdentity) -> ShardPhase | None:
        """Returns the phase of a shard, None when it is not this daemon's."""
        if identity in self.releasing and identity not in self._views:
            return ShardPhase.RELEASING
        return self._phases.get(identity)

    def view(self, identity: ShardIdentity) -> ShardView | None:
        """Returns a shard of this daemon."""
        return self._views.get(identity)

    def views(self) -> tuple[ShardView, ...]:
        """Returns every shard of this daemon."""
        return tuple(self._views.values())
