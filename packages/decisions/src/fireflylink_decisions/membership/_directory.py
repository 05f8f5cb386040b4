"""The members of the system as one daemon knows them."""

from collections.abc import Iterable

import xxhash

from fireflylink_core import Member, MemberState

MEMBER_LOSS_TIMEOUT = 1.0
"""Seconds without a message after which the root of a data centre counts a member as lost."""


def members_digest(members: Iterable[Member]) -> int:
    """Returns a 64-bit digest of a member list, independent of its order."""
    lines = sorted(repr(member) for member in members)
    return int(xxhash.xxh64_intdigest("\n".join(lines).encode()))


class MemberDirectory:
    """Merges the platform's lagging instance list with what daemons say themselves.

    A daemon's own word is newer than the list: a member that announced that it leaves stays leaving
    although the list still calls it live. A member that the list does not name yet is kept while it
    is heard from.
    """

    __slots__ = ("_announced", "_digest", "_heard", "_listed", "_sorted", "_watched_since")

    def __init__(self) -> None:
        self._listed: dict[str, Member] = {}
        self._announced: dict[str, Member] = {}
        self._heard: dict[str, float] = {}
        self._watched_since: dict[str, float] = {}
        # Kept until a member changes: both were most of a relay's processor time when made anew
        # for each sync message.
        self._sorted: dict[str | None, tuple[Member, ...]] = {}
        self._digest: int | None = None

    def take_list(self, members: Iterable[Member], now: float) -> None:
        """Takes the platform's instance list, or the list that a parent sent."""
        listed = {member.instance_id: member for member in members}
        if listed != self._listed:
            self._listed = listed
            self._forget_sorted()
        for instance_id in self._listed:
            self._watched_since.setdefault(instance_id, now)

    def hear(self, member: Member, now: float) -> None:
        """Takes a message from a daemon about itself."""
        if self._announced.get(member.instance_id) != member:
            self._announced[member.instance_id] = member
            self._forget_sorted()
        self.hear_of(member.instance_id, now)

    def hear_of(self, instance_id: str, now: float) -> None:
        """Notes that a relay has heard from a daemon."""
        self._heard[instance_id] = now
        self._watched_since.setdefault(instance_id, now)

    def restart_watch(self, now: float) -> None:
        """Gives each member a full timeout, because this daemon only now became the root."""
        for instance_id in self._watched_since:
            self._watched_since[instance_id] = now

    def find(self, instance_id: str) -> Member | None:
        """Returns a member by its instance id."""
        return self._announced.get(instance_id) or self._listed.get(instance_id)

    def members(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Returns the known members, of one data centre or of all, in the order of their ids."""
        if data_centre not in self._sorted:
            self._sorted[data_centre] = self._sort(data_centre)
        return self._sorted[data_centre]

    def digest(self) -> int:
        """Returns the digest of all known members."""
        if self._digest is None:
            self._digest = members_digest(self.members())
        return self._digest

    def _forget_sorted(self) -> None:
        self._sorted = {}
        self._digest = None

    def _sort(self, data_centre: str | None) -> tuple[Member, ...]:
        known = {**self._listed, **self._announced}
        found = [
            member
            for member in known.values()
            if data_centre is None or member.data_centre == data_centre
        ]
        return tuple(sorted(found, key=lambda member: member.instance_id))

    def lost(self, now: float, watched: Iterable[str]) -> frozenset[str]:
        """Returns which of the watched daemons have been silent for too long."""
        return frozenset(instance_id for instance_id in watched if self._silent(instance_id, now))

    def _silent(self, instance_id: str, now: float) -> bool:
        since = max(
            self._heard.get(instance_id, 0.0),
            self._watched_since.setdefault(instance_id, now),
        )
        return now - since >= MEMBER_LOSS_TIMEOUT

    def live(self, data_centre: str, now: float) -> tuple[Member, ...]:
        """Returns the members of a data centre that are heard from and do not leave."""
        return tuple(
            member
            for member in self.members(data_centre)
            if member.state is MemberState.LIVE and not self._silent(member.instance_id, now)
        )

    def forget_unlisted(self, now: float, retention: float) -> None:
        """Drops members that the list does not name and that were silent for ``retention`` s."""
        for instance_id in list(self._announced):
            silent = now - self._heard.get(instance_id, 0.0) >= retention
            if silent and instance_id not in self._listed:
                del self._announced[instance_id]
                self._forget_sorted()
                self._heard.pop(instance_id, None)
                self._watched_since.pop(instance_id, None)
