"""Choice and replacement of the voters of a table."""

from fireflylink_core import DataCentreState, Isolation, rendezvous_score
from fireflylink_decisions.ownership._draft import PlanningDraft
from fireflylink_decisions.ownership._rule import BaseRule

MAX_VOTERS = 5


class VoterRule(BaseRule):
    """Replaces lost and leaving voters, a minority at a time.

    The replaced list stays in ``previous_voters`` until a version that has it is settled, and no
    voter is replaced before. A larger change could leave the old list without a majority of live
    voters, and the change would never be settled.
    """

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        own = draft.own
        if draft.state_of(draft.data_centre) is DataCentreState.LOST:
            return
        if own.previous_voters:
            if own.base is not None and draft.source.settled_version >= own.base.version:
                own.previous_voters = ()
            return
        wanted = choose_voters(draft, own.voters)
        if not wanted or set(wanted) == set(own.voters):
            return
        if own.base is not None:
            own.previous_voters = own.voters
            wanted = _limited_change(draft, own.voters, wanted)
        if wanted == own.voters:
            own.previous_voters = ()
        own.voters = wanted


def _limited_change(
    draft: PlanningDraft, current: tuple[str, ...], wanted: tuple[str, ...]
) -> tuple[str, ...]:
    """Returns the wanted voters with at most a minority of the current ones replaced."""
    removable = [voter for voter in current if voter not in wanted]
    removable.sort(key=lambda voter: (voter not in draft.source.lost_members, voter))
    limit = (len(current) - 1) // 2
    if limit == 0:
        # One of two voters has no minority; it can be replaced only while it still answers.
        limit = 1 if len(current) > 1 else 0
        removable = [voter for voter in removable if _answers(draft, voter)]
    removed = set(removable[:limit])
    kept = [voter for voter in current if voter not in removed]
    added = [voter for voter in wanted if voter not in current]
    size = max(len(wanted), len(kept))
    return tuple(kept + added[: size - len(kept)])


def _answers(draft: PlanningDraft, voter: str) -> bool:
    if voter in draft.source.lost_members:
        return False
    return any(member.instance_id == voter for member in draft.source.members)


def choose_voters(draft: PlanningDraft, current: tuple[str, ...]) -> tuple[str, ...]:
    """Returns up to ``MAX_VOTERS`` live members, current voters first in their order.

    For mode yield the table's own data centre gets at most a minority of the voters, so that it
    loses authority when it is cut off.
    """
    members = draft.live_members()
    if draft.isolation is Isolation.KEEP:
        members = [member for member in members if member.data_centre == draft.data_centre]
    by_centre: dict[str, list[str]] = {}
    for member in members:
        by_centre.setdefault(member.data_centre, []).append(member.instance_id)
    for name in by_centre:
        by_centre[name].sort(key=lambda voter: _preference(draft, current, voter))
    known = {member.instance_id for member in members}
    chosen = _spread(draft, by_centre)
    chosen += _unknown_remote(draft, current, members_known=known)[: MAX_VOTERS - len(chosen)]
    kept = [voter for voter in current if voter in chosen]
    return tuple(kept + [voter for voter in chosen if voter not in kept])


def _preference(
    draft: PlanningDraft, current: tuple[str, ...], voter: str
) -> tuple[bool, float, str]:
    return voter not in current, -rendezvous_score(voter, draft.own.table_id), voter


def _spread(draft: PlanningDraft, by_centre: dict[str, list[str]]) -> list[str]:
    """Takes voters from the data centres in turn, the own data centre first."""
    names = sorted(by_centre, key=lambda name: (name != draft.data_centre, name))
    total = min(MAX_VOTERS, sum(len(found) for found in by_centre.values()))
    limits = {name: len(by_centre[name]) for name in names}
    if len(names) > 1 and draft.data_centre in limits:
        limits[draft.data_centre] = min(limits[draft.data_centre], max(1, (total - 1) // 2))
    chosen: list[str] = []
    for turn in range(MAX_VOTERS):
        for name in names:
            if turn < limits[name] and len(chosen) < total:
                chosen.append(by_centre[name][turn])
    return chosen


def _unknown_remote(
    draft: PlanningDraft, current: tuple[str, ...], members_known: set[str]
) -> list[str]:
    """Returns the voters of a yield table about which the input says nothing.

    If no member of another data centre is known, a remote voter is not taken for lost.
    """
    remote_known = any(member.data_centre != draft.data_centre for member in draft.source.members)
    if draft.isolation is Isolation.KEEP or remote_known:
        return []
    listed = {member.instance_id for member in draft.source.members}
    return [
        voter
        for voter in current
        if voter not in members_known | listed and voter not in draft.source.lost_members
    ]
