"""Sending of what a relay knows of the store to its followers."""

from fireflylink_core import ChangeFragment
from fireflylink_daemon._peers import PeerSocket
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_decisions.relay import RelayRoles
from fireflylink_protocol import MemberRecord, RelayedChange, encode_changes


class RelaySender:
    """Sends batches of changes, and statements of what is known, to this daemon's followers.

    It belongs to the store reader. ``relayed_revision`` is up to where the followers have been
    sent all changes.
    """

    __slots__ = ("known_roles", "members_of_roles", "peers", "relayed_revision", "routing_state")

    def __init__(self, routing_state: RoutingState, peers: PeerSocket) -> None:
        self.routing_state = routing_state
        self.peers = peers
        self.relayed_revision = 0
        self.known_roles = RelayRoles(False)
        self.members_of_roles: dict[str, MemberRecord] | None = None

    def roles(self) -> RelayRoles:
        """Returns this daemon's part in the relaying, by the members that it knows."""
        members = self.routing_state.members
        if members is not self.members_of_roles:
            self.members_of_roles = members
            settings = self.routing_state.settings
            data_centres = {name: member.data_centre for name, member in members.items()}
            self.known_roles = RelayRoles.of(settings.instance, data_centres)
        return self.known_roles

    def send_batch(
        self,
        after: int,
        revision: int,
        changes: tuple[RelayedChange, ...],
        outages: int,
        contact_age_ms: int,
    ) -> None:
        """Sends the changes after one revision up to another on, if this daemon is a relay."""
        receivers = self.roles().batch_receivers
        if receivers and revision > after:
            instance = self.routing_state.settings.instance
            fragments = encode_changes(instance, after, revision, changes, outages, contact_age_ms)
            self.peers.send_fragments(fragments, receivers)
        self.relayed_revision = revision

    def send_statement(self, outages: int, contact_age_ms: int) -> None:
        """States to the followers up to which revision this relay knows everything."""
        followers = self.roles().followers
        if followers and self.relayed_revision:
            instance = self.routing_state.settings.instance
            revision = self.relayed_revision
            statement = ChangeFragment(
                instance, revision, revision, 0, 0, b"", outages, contact_age_ms
            )
            self.peers.send_fragments((statement,), followers)
