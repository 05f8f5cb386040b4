"""Calls to other daemons, each in a greenlet of its own that reports to a mailbox."""

from collections.abc import Callable

import gevent
from returns.pipeline import is_successful

from fireflylink_core import BaseClock, EndorseRequest, Member, SyncRequest
from fireflylink_daemon._control_messages import EndorseAnswered, SyncAnswered, SyncFailed
from fireflylink_daemon._peers import PeerDirectory
from fireflylink_decisions.authority import EndorsementRound

PEER_TIMEOUT = 0.3
"""Seconds that a peer has to answer a control message."""

UNRESPONSIVE_PEER_PAUSE = 1.0
"""Seconds for which a peer that did not answer is asked only after the others."""


class PeerCalls:
    """Sends control messages without making the control task wait.

    A peer is sent one sync at a time. The answers reach the control task's mailbox by ``post``.
    """

    __slots__ = ("_busy", "_post", "_unresponsive_until", "clock", "peers")

    def __init__(
        self, clock: BaseClock, peers: PeerDirectory, post: Callable[[object], None]
    ) -> None:
        self.clock = clock
        self.peers = peers
        self._post = post
        self._busy: set[str] = set()
        self._unresponsive_until: dict[str, float] = {}

    def note_answer(self, peer: Member) -> None:
        """Notes that a peer answered a sync."""
        self._busy.discard(peer.instance_id)
        self._unresponsive_until.pop(peer.instance_id, None)

    def note_failure(self, peer: Member) -> None:
        """Notes that a peer did not answer a sync."""
        self._busy.discard(peer.instance_id)
        until = self.clock.now() + UNRESPONSIVE_PEER_PAUSE
        self._unresponsive_until[peer.instance_id] = until

    def ready(self, candidates: tuple[Member, ...]) -> tuple[Member, ...]:
        """Returns the candidates that are not being asked already, silent ones last."""
        now = self.clock.now()
        ranked = sorted(
            candidates,
            key=lambda member: self._unresponsive_until.get(member.instance_id, 0.0) > now,
        )
        return tuple(member for member in ranked if member.instance_id not in self._busy)

    def sync(self, candidates: tuple[Member, ...], request: SyncRequest) -> None:
        """Sends a sync to the first of the ready candidates that answers."""
        self._busy.add(candidates[0].instance_id)
        gevent.spawn(self._sync, candidates, request)

    def _sync(self, candidates: tuple[Member, ...], request: SyncRequest) -> None:
        for member in candidates:
            sent = self.clock.now()
            result = self.peers.channel(member).sync(request, PEER_TIMEOUT)
            if is_successful(result):
                self._post(SyncAnswered(member, sent, result.unwrap()))
                return
            self._post(SyncFailed(member))

    def endorse(
        self, member: Member, request: EndorseRequest, endorsement_round: EndorsementRound | None
    ) -> None:
        """Asks a voter for an endorsement, or what it knows when the version is 0."""
        gevent.spawn(self._endorse, member, request, endorsement_round)

    def _endorse(
        self, member: Member, request: EndorseRequest, endorsement_round: EndorsementRound | None
    ) -> None:
        asked = self.clock.now()
        result = self.peers.channel(member).endorse(request, PEER_TIMEOUT)
        if is_successful(result):
            reply = result.unwrap()
            self._post(EndorseAnswered(request.table_id, asked, reply, endorsement_round))
