"""Renewal of the grants of backend servers."""

from collections.abc import Callable

import gevent
from returns.pipeline import is_successful

from fireflylink_backend_client import BackendReplyLost, GrantCommand, ServerStatus
from fireflylink_core import BaseClock, BaseValue
from fireflylink_daemon._group_gateway import BasePermission, GroupGateway
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._server_link import GRANT_TIMEOUT, ServerLink
from fireflylink_decisions.activation import ShardView
from fireflylink_decisions.limits import ReportedState


class GrantAnswered(BaseValue):
    """A server confirmed a grant, or refused it or did not answer (``status`` is None)."""

    __slots__ = ("granted", "group_id", "problem", "server_id", "status")

    def __init__(
        self,
        group_id: str,
        server_id: str,
        status: ServerStatus | None,
        granted: tuple[ShardView, ...],
        problem: str = "",
    ) -> None:
        self.group_id = group_id
        self.server_id = server_id
        self.status = status
        self.granted = granted
        self.problem = problem


class GrantDesk:
    """Sends grants and takes the servers' answers.

    Owned by the gateway task, whose mailbox receives the answers through ``post``. A grant never
    ends later than the gateway's own authority, which ``permission`` tells.
    """

    __slots__ = ("_instance_id", "_permission", "_post", "clock")

    def __init__(
        self,
        instance_id: str,
        clock: BaseClock,
        post: Callable[[object], None],
        permission: BasePermission,
    ) -> None:
        self._instance_id = instance_id
        self._post = post
        self._permission = permission
        self.clock = clock

    def renew(self, group: GroupGateway, shards: tuple[ShardView, ...]) -> None:
        """Renews the grants of every server of a group."""
        for link in group.links.values():
            gevent.spawn(self._grant, group.group_id, link, shards)

    def _grant(self, group_id: str, link: ServerLink, shards: tuple[ShardView, ...]) -> None:
        now = self.clock.now()
        ends = {shard.identity: self._permission.deadline(shard) for shard in shards}
        current = tuple(shard for shard in shards if ends[shard.identity] > now)
        end = min((ends[shard.identity] for shard in current), default=0.0)
        command = GrantCommand(
            gateway=self._instance_id,
            gateway_epoch=max((shard.group.gateway_epoch for shard in shards), default=0),
            # Without a reading of the server's clock the grant has ended already; its reply
            # brings the reading.
            deadline_ms=link.clock.deadline_ms(end) if current else 0,
            shards=_epochs(current, exception=False),
            exceptions=_epochs(current, exception=True),
        )
        # The grant may take effect although its reply is lost.
        link.grant_end = max(link.grant_end, end)
        result = link.control.grant(command, self.clock.now() + GRANT_TIMEOUT)
        server_id = link.server.server_id
        if is_successful(result):
            confirmed = current if command.deadline_ms else ()
            self._post(GrantAnswered(group_id, server_id, result.unwrap(), confirmed))
        else:
            failure = result.failure()
            if isinstance(failure, BackendReplyLost):
                link.unanswered_grant_end = max(link.unanswered_grant_end, end)
            self._post(GrantAnswered(group_id, server_id, None, (), str(failure)))

    def take_answer(self, message: GrantAnswered, group: GroupGateway, link: ServerLink) -> bool:
        """Takes a server's answer; tells whether its clock was read for the first time."""
        if message.status is None:
            if not link.failed:
                log_problem("grant-failed", server=message.server_id, problem=message.problem)
            link.failed = True
            return False
        if link.failed:
            log_event("grant-resumed", server=message.server_id)
        first_reading = not link.clock.known
        status = message.status
        link.take_status(status)
        link.granted = {
            shard.identity: (shard.record.epoch, shard.group.gateway_epoch)
            for shard in message.granted
        }
        state = ReportedState(status.state.value)
        started = group.admission.observe(
            message.server_id,
            status.generation,
            state,
            self.clock.now(),
            status.sent_at,
            status.slots,
        )
        group.start_admitted(started)
        return first_reading


def _epochs(shards: tuple[ShardView, ...], exception: bool) -> tuple[tuple[int, int], ...]:
    return tuple(
        (shard.shard[1], shard.record.epoch) for shard in shards if shard.exception is exception
    )
