"""The steps by which a gateway releases shards to their next owner."""

from collections.abc import Callable

import gevent
from returns.pipeline import is_successful

from fireflylink_backend_client import RevokeCommand
from fireflylink_core import BaseClock, BaseValue, HandoverRequest, HandoverShard, Member
from fireflylink_daemon._group_gateway import GroupGateway
from fireflylink_daemon._releases import (
    HANDOVER_RETRY_DELAY,
    PendingRelease,
    ShardIdentity,
    export,
    is_drained,
)
from fireflylink_daemon._server_link import GRANT_TIMEOUT, ServerLink
from fireflylink_daemon._view import View
from fireflylink_decisions.activation import ShardActivation

SendHandover = Callable[[Member, HandoverRequest], bool]


class RevokeAnswered(BaseValue):
    """A server took a shard out of its grant; ``running`` of its requests still run there."""

    __slots__ = ("identity", "running")

    def __init__(self, identity: ShardIdentity, running: int) -> None:
        self.identity = identity
        self.running = running


class HandoverAnswered(BaseValue):
    """A new gateway took released shards, or did not."""

    __slots__ = ("accepted", "identities")

    def __init__(self, identities: tuple[ShardIdentity, ...], accepted: bool) -> None:
        self.identities = identities
        self.accepted = accepted


class ReleaseDesk:
    """Completes releases: drain, fence at the server, majority, then tell the new gateway.

    Owned by the gateway task, whose mailbox receives the answers through ``post``.
    """

    __slots__ = ("_activation", "_instance_id", "_post", "_send", "clock", "pending")

    def __init__(
        self,
        instance_id: str,
        activation: ShardActivation,
        clock: BaseClock,
        post: Callable[[object], None],
        send: SendHandover,
    ) -> None:
        self._instance_id = instance_id
        self._activation = activation
        self._post = post
        self._send = send
        self.clock = clock
        self.pending: dict[ShardIdentity, PendingRelease] = {}

    def begin(self, release: PendingRelease, group: GroupGateway | None) -> None:
        """Stops the admission of requests for a shard that moves away."""
        self.pending[release.identity] = release
        if group is not None and release.single_key is None:
            index = release.former.shard[1]
            group.resolve(group.admission.stop_admitting("moved", (index,)))

    def progress(
        self, groups: dict[str, GroupGateway], view: View, now: float
    ) -> tuple[ShardIdentity, ...]:
        """Takes every release as far as it can go; returns those that have run out of time."""
        expired = []
        for identity, release in self.pending.items():
            group = groups.get(release.former.group.group_id)
            if now >= release.deadline or group is None:
                expired.append(identity)
            elif release.handover is None:
                self._complete(release, group, view, now)
        self._tell_successors(view, now)
        return tuple(expired)

    def _complete(
        self, release: PendingRelease, group: GroupGateway, view: View, now: float
    ) -> None:
        """Completes a release once nothing of the former term is left.

        A majority has to stand behind the change before it is released: otherwise this instance
        could restart, be told the former version by a stale peer, and act on it again.
        """
        former = release.former
        if not is_drained(group, release, now):
            return
        if not self._activation.is_entitled(former, view.settled):
            return
        authority = view.deadline(former.table_id, release.version, by_majority=True)
        if authority <= now or not self._is_fenced(group, release, view, now):
            return
        release.handover = export(group, release, self.clock.wall_ms())

    def _is_fenced(
        self, group: GroupGateway, release: PendingRelease, view: View, now: float
    ) -> bool:
        """Whether no server of the former group can take the shard for its own any more."""
        shard, exception = release.identity
        routes = view.routes.exceptions if exception else view.routes.shards
        route = routes.get(shard)
        stays = route is not None and route.group.group_id == release.former.group.group_id
        if stays or release.single_key is not None:
            return True
        checking = [link for link in group.links.values() if link.server.checks_grants]
        # A grant whose reply was lost may still arrive after the revocation.
        if release.revoked and all(link.unanswered_grant_end <= now for link in checking):
            return True
        if all(link.grant_end <= now for link in checking):
            return True
        if release.revoked:
            return False
        if not release.sending:
            release.sending = True
            for link in checking:
                gevent.spawn(self._revoke, link, release)
        return False

    def _revoke(self, link: ServerLink, release: PendingRelease) -> None:
        former = release.former
        index = former.shard[1]
        command = RevokeCommand(
            former.group.gateway_epoch,
            () if former.exception else (index,),
            (index,) if former.exception else (),
        )
        result = link.control.revoke(command, self.clock.now() + GRANT_TIMEOUT)
        running = result.unwrap() if is_successful(result) else -1
        self._post(RevokeAnswered(release.identity, running))

    def take_revoke_answer(self, message: RevokeAnswered) -> None:
        """Takes a server's answer; without one the release waits for the grant to end."""
        release = self.pending.get(message.identity)
        if release is not None:
            release.sending = False
            release.revoked = message.running == 0

    def _tell_successors(self, view: View, now: float) -> None:
        batches: dict[tuple[Member, str], list[tuple[ShardIdentity, HandoverShard]]] = {}
        for identity, release in self.pending.items():
            if release.sending or release.retry_at > now:
                continue
            target = release.successor(view)
            if target is not None:
                member, table_id, released = target
                release.sending = True
                batches.setdefault((member, table_id), []).append((identity, released))
        for (member, table_id), batch in batches.items():
            request = HandoverRequest(
                self._instance_id,
                table_id,
                view.tables[table_id].version,
                tuple(released for _, released in batch),
            )
            identities = tuple(identity for identity, _ in batch)
            gevent.spawn(self._hand_over, identities, member, request)

    def _hand_over(
        self, identities: tuple[ShardIdentity, ...], member: Member, request: HandoverRequest
    ) -> None:
        self._post(HandoverAnswered(identities, self._send(member, request)))

    def take_handover_answer(self, message: HandoverAnswered) -> tuple[ShardIdentity, ...]:
        """Takes a new gateway's answer; returns the shards that it has."""
        if message.accepted:
            return message.identities
        for identity in message.identities:
            release = self.pending.get(identity)
            if release is not None:
                release.sending = False
                release.retry_at = self.clock.now() + HANDOVER_RETRY_DELAY
        return ()

    def drop(self, identity: ShardIdentity) -> None:
        """Forgets a release."""
        self.pending.pop(identity, None)
