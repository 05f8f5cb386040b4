"""Groups of servers and their gateways."""

from fireflylink_core import ServerGroup, Service, ServiceKind, rendezvous_score
from fireflylink_decisions.ownership._draft import PlanningDraft
from fireflylink_decisions.ownership._measure import server_fits
from fireflylink_decisions.ownership._records import NO_RELEASE, all_records
from fireflylink_decisions.ownership._rule import BaseRule

MAX_GROUP_SERVERS = 4
"""Servers of a pooled group; a larger group would concentrate load on one gateway."""


class GroupRule(BaseRule):
    """Creates groups for new servers and drops those of withdrawn servers."""

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        self._drop(draft)
        if not draft.local_members():
            return
        for service in draft.own_services():
            if draft.data_centre in service.data_centres:
                self._add(draft, service)

    def _drop(self, draft: PlanningDraft) -> None:
        """Drops withdrawn servers, and groups without servers once no record needs them."""
        needed = _needed_groups(draft)
        for group in sorted(draft.own.groups.values(), key=lambda found: found.group_id):
            service = draft.configuration.services.get(group.service)
            kept = [
                server_id
                for server_id in group.server_ids
                if service is not None
                and service.isolation is draft.isolation
                and server_fits(draft, service, draft.own.table_id, server_id)
            ]
            if not kept:
                if group.group_id not in needed:
                    del draft.own.groups[group.group_id]
            elif len(kept) < len(group.server_ids):
                # The other servers stay with the same gateway, so no new authority is needed.
                draft.own.groups[group.group_id] = group.replace(server_ids=tuple(kept))

    def _add(self, draft: PlanningDraft, service: Service) -> None:
        grouped = {
            server_id for group in draft.own.groups.values() for server_id in group.server_ids
        }
        new = [
            server.server_id
            for server in draft.configuration.servers_of(service.name)
            if server.data_centre == draft.data_centre and server.server_id not in grouped
        ]
        if service.kind is ServiceKind.KEYED:
            for server_id in new:
                self._create(draft, service, server_id, (server_id,))
            return
        for members in self._pooled(draft, service, new):
            number = 1
            while self._pooled_id(draft, service, number) in draft.own.groups:
                number += 1
            self._create(draft, service, self._pooled_id(draft, service, number), members)

    def _pooled_id(self, draft: PlanningDraft, service: Service, number: int) -> str:
        return f"{service.name}.{draft.data_centre}.{number}"

    def _pooled(
        self, draft: PlanningDraft, service: Service, new: list[str]
    ) -> list[tuple[str, ...]]:
        """Fills up groups that have room and cuts the other servers into even groups."""
        left = list(new)
        for group in sorted(draft.own.groups.values(), key=lambda found: found.group_id):
            room = MAX_GROUP_SERVERS - len(group.server_ids)
            if group.service != service.name or room <= 0 or not left:
                continue
            draft.own.groups[group.group_id] = group.replace(
                server_ids=group.server_ids + tuple(left[:room]),
                gateway_epoch=_gateway_epoch(draft, tuple(left[:room])),
                changed_version=draft.own.version,
            )
            left = left[room:]
        count = -(-len(left) // MAX_GROUP_SERVERS)
        return [tuple(left[start::count]) for start in range(count)]

    def _create(
        self, draft: PlanningDraft, service: Service, group_id: str, server_ids: tuple[str, ...]
    ) -> None:
        draft.own.groups[group_id] = ServerGroup(
            group_id,
            service.name,
            server_ids,
            least_loaded_gateway(draft, group_id),
            _gateway_epoch(draft, server_ids),
            draft.own.version,
        )


def _needed_groups(draft: PlanningDraft) -> set[str]:
    """Returns the groups that a record names as its owner or as one that may still hold it."""
    needed: set[str] = set()
    for table in draft.tables.values():
        for _, _, record in all_records(table):
            needed.add(record.group_id)
            if record.previous_group is not None:
                unsettled = record.changed_version > draft.source.settled_version
                if unsettled or table is not draft.own:
                    needed.add(record.previous_group)
    return needed


def _gateway_epoch(draft: PlanningDraft, server_ids: tuple[str, ...]) -> int:
    """Returns an epoch above all that a server may have seen from earlier groups."""
    seen = [
        group.gateway_epoch
        for table in draft.tables.values()
        for group in table.groups.values()
        if set(group.server_ids) & set(server_ids)
    ]
    return max(draft.own.version, max(seen, default=0) + 1)


def gateway_counts(draft: PlanningDraft) -> dict[str, int]:
    """Counts the groups of each live local member in all tables of the data centre."""
    counts = dict.fromkeys(draft.local_members(), 0)
    for table in draft.tables.values():
        for group in table.groups.values():
            if group.gateway in counts:
                counts[group.gateway] += 1
    return counts


def least_loaded_gateway(draft: PlanningDraft, group_id: str) -> str:
    """Returns the live local member with the fewest groups."""
    counts = gateway_counts(draft)
    return min(counts, key=lambda name: (counts[name], -rendezvous_score(name, group_id), name))


class GatewayRule(BaseRule):
    """Replaces gateways that are lost or leave, and evens out their numbers of groups."""

    __slots__ = ()

    def apply(self, draft: PlanningDraft) -> None:
        live = set(draft.local_members())
        if not live:
            return
        for group_id in sorted(draft.own.groups):
            if draft.own.groups[group_id].gateway not in live:
                self._replace(draft, group_id)
        self._even_out(draft)

    def _even_out(self, draft: PlanningDraft) -> None:
        """Moves one gateway at a time, once all earlier changes of gateways are settled."""
        settled = draft.source.settled_version
        groups = draft.own.groups
        if draft.own.previous_voters or any(
            group.changed_version > settled for group in groups.values()
        ):
            return
        counts = gateway_counts(draft)
        for group_id in sorted(groups):
            count = counts[groups[group_id].gateway]
            if count == max(counts.values()) and count - min(counts.values()) >= 2:
                self._replace(draft, group_id)
                return

    def _replace(self, draft: PlanningDraft, group_id: str) -> None:
        group = draft.own.groups[group_id]
        unsettled = group.changed_version > draft.source.settled_version
        several = unsettled and group.previous_gateway is not None
        # A lost gateway releases nothing. One that leaves or is relieved hands over what it knows
        # about request ids, and its successor waits for that.
        lost = group.gateway in draft.source.lost_members
        former = NO_RELEASE if several or lost else group.gateway
        draft.own.groups[group_id] = group.replace(
            gateway=least_loaded_gateway(draft, group_id),
            gateway_epoch=group.gateway_epoch + 1,
            changed_version=draft.own.version,
            previous_gateway=former,
        )
