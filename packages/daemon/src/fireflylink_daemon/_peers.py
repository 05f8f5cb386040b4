"""Connections for control messages to other daemons."""

from fireflylink_core import Member
from fireflylink_protocol import PeerChannel, PeerCredentials


class PeerDirectory:
    """Opens a channel to a daemon when it is first needed and replaces it when its address changes.

    Owned by the control task; the calls on a channel may be made by short-lived greenlets.
    """

    __slots__ = ("_channels", "credentials")

    def __init__(self, credentials: PeerCredentials | None) -> None:
        self.credentials = credentials
        self._channels: dict[str, PeerChannel] = {}

    def channel(self, member: Member) -> PeerChannel:
        """Returns the channel to a daemon."""
        channel = self._channels.get(member.instance_id)
        if channel is not None and _same_address(channel.peer, member):
            return channel
        if channel is not None:
            channel.close()
        channel = PeerChannel(member, self.credentials)
        self._channels[member.instance_id] = channel
        return channel

    def retain(self, instance_ids: set[str]) -> None:
        """Closes the channels to daemons that are not members any more."""
        for instance_id in set(self._channels) - instance_ids:
            self._channels.pop(instance_id).close()

    def close(self) -> None:
        """Closes every channel."""
        self.retain(set())


def _same_address(one: Member, other: Member) -> bool:
    return (one.host, one.control_port) == (other.host, other.control_port)
