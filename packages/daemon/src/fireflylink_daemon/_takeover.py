"""The talk between a decider and those before it, which may not know that they are superseded."""

from collections.abc import Iterable

from fireflylink_core import BaseClock, DaemonAddress
from fireflylink_daemon._log import log_event
from fireflylink_daemon._messages import DeciderClaimReceived, DeciderRetiredReceived
from fireflylink_daemon._peers import PeerSocket
from fireflylink_decisions.ownership import KeyedService
from fireflylink_protocol import DeciderClaim, DeciderRetired


class Takeover:
    """Asks the former deciders to step down, and answers when this daemon is asked to.

    A decider that is cut off from the store does not learn there that another one was elected, and
    grants keys for seconds. The two can often still reach each other: the new decider sends its
    claim to the writer of each table that it takes over, until that daemon or a later process at
    its address answers. Keys move only then, or after the time for which the former decider may go
    on (see ``FormerDeciders``).

    Owned by ``OwnershipTask``. ``revision`` is that of the decider record by which this daemon
    decides, 0 if it does not; ``retired_before`` is the latest record that it has stepped down for.
    """

    __slots__ = ("address", "clock", "peers", "retired_before", "revision")

    def __init__(self, address: DaemonAddress, peers: PeerSocket, clock: BaseClock) -> None:
        self.address = address
        self.peers = peers
        self.clock = clock
        self.revision = 0
        self.retired_before = 0

    def send_claims(self, services: Iterable[KeyedService]) -> None:
        """Sends a claim to each former decider that has not answered so far.

        It is told only when all of its tables are replaced by this daemon's. Until then it may go
        on: without them this daemon cannot grant keys, and the store may be too slow to take them.
        """
        services = list(services)
        unready = {service.former_decider for service in services if not service.can_grant}
        former = {service.former_decider for service in services} - {None} - unready
        if self.address in former:
            # This daemon stopped its own commands when it was demoted, or it is a later process.
            self._record_stopped(self.address, services)
            former.discard(self.address)
        claim = DeciderClaim(self.address.instance, self.revision)
        for address in former:
            if address is not None and address.port:
                self.peers.send(claim, address.host, address.port)

    def record_retired(
        self, message: DeciderRetiredReceived, services: Iterable[KeyedService]
    ) -> None:
        """Records the answer of a former decider."""
        if not self.revision or message.notice.revision != self.revision:
            return
        services = list(services)
        for address in {service.former_decider for service in services}:
            if address is not None and (address.host, address.port) == message.sender:
                self._record_stopped(address, services)

    def must_step_down(self, message: DeciderClaimReceived) -> bool:
        """Whether this daemon decides, and the sender of a claim was elected after it."""
        return 0 < self.revision < message.claim.revision

    def answer(self, message: DeciderClaimReceived) -> None:
        """Answers a claim, if this daemon does not decide by the same record or a later one.

        To be called when its commands have stopped. It does not start to decide by an older record
        any more, which may have been written before the claim was sent.
        """
        claim = message.claim
        if self.revision >= claim.revision:
            log_event(
                "decider-claim-refused",
                claimant=claim.instance,
                claimed=claim.revision,
                revision=self.revision,
            )
            return
        self.retired_before = max(self.retired_before, claim.revision)
        self.peers.send(DeciderRetired(self.address.instance, claim.revision), *message.sender)

    def _record_stopped(self, address: DaemonAddress, services: list[KeyedService]) -> None:
        now = self.clock.now()
        for service in services:
            if service.former_decider == address:
                service.record_former_decider_stopped(now)
                tracker = service.grant_tracker
                remaining = 0.0 if tracker is None else tracker.former_deciders.end_at - now
                log_event(
                    "former-decider-stopped",
                    service=service.name,
                    former=address.instance,
                    others_may_grant_seconds=round(max(0.0, remaining), 3),
                )
