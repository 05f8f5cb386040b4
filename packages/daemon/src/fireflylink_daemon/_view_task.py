"""The task that applies updates from the store to the state of the request path."""

from typing import TypeVar

from returns.result import Result, Success

from fireflylink_core import BaseClock, OwnershipTable
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._messages import (
    DeciderChanged,
    MemberRecordMissing,
    ServerLeaving,
    ServersChanged,
    StoreCallStatus,
    StoreReadFailed,
    StoreReadSucceeded,
    TableStored,
    UpdatesRead,
)
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_daemon._task import BaseTask
from fireflylink_decisions.servers import RegistrationOrigin
from fireflylink_protocol import (
    DECIDER_KEY,
    MEMBERS_PREFIX,
    OWNERSHIP_PREFIX,
    CrashNotice,
    GrantNotice,
    MemberRecord,
    RecordError,
    decode_member,
    decode_table,
    member_key,
)
from fireflylink_store import (
    BaseUpdate,
    ConfigurationUpdate,
    EvacuationUpdate,
    RecordUpdate,
    ServerRemoved,
    ServerUpdate,
    UnreadableItem,
)

REFRESH_INTERVAL_SECONDS = 0.2
"""How often the state that depends on the time is refreshed: servers whose grace or drain time has
ended, and idle connections."""

Decoded = TypeVar("Decoded")


class ViewTask(BaseTask):
    """Applies updates from the store and notices from other daemons to ``RoutingState``.

    The view is what this daemon knows of the store's contents. The task posts what concerns key
    ownership to ``ownership_task``. ``decider_record`` is the member record of the decider (the
    elected leader that assigns keys to servers), None when there is none.
    """

    __slots__ = (
        "decider_record",
        "member_task",
        "next_refresh_at",
        "ownership_task",
        "routing_state",
    )

    def __init__(self, routing_state: RoutingState, clock: BaseClock) -> None:
        super().__init__("view", clock)
        self.routing_state = routing_state
        self.ownership_task: BaseTask | None = None
        self.member_task: BaseTask | None = None
        self.decider_record: MemberRecord | None = None
        self.next_refresh_at = 0.0

    def next_wake_at(self) -> float:
        return self.next_refresh_at

    def on_wake(self) -> None:
        self.next_refresh_at = self.clock.now() + REFRESH_INTERVAL_SECONDS
        self.routing_state.refresh()
        self.routing_state.drop_idle_connections()

    def receive(self, message: object) -> object:
        if isinstance(message, UpdatesRead):
            self._apply(message)
        elif isinstance(message, GrantNotice):
            self.routing_state.record_grant(message)
        elif isinstance(message, CrashNotice):
            self.routing_state.poison.record_crash(
                message.fingerprint, message.incarnation, self.clock.now()
            )
        elif isinstance(message, ServerLeaving):
            self.routing_state.mark_leaving(message.incarnation, message.announced_at)
            self._notify_ownership(ServersChanged())
        elif isinstance(message, StoreReadFailed):
            self.routing_state.directory.mark_store_unreachable()
        elif isinstance(message, StoreCallStatus):
            self.routing_state.store_calls_failing = message.failing
            log_event("store-doubted", doubted=message.failing)
        elif isinstance(message, StoreReadSucceeded):
            self.routing_state.directory.mark_store_reachable(self.clock.now())
        return None

    def _apply(self, message: UpdatesRead) -> None:
        if message.is_snapshot:
            self._remove_absent(message)
        origin = _registration_origin(message)
        for update in message.updates:
            self._apply_update(update, origin)
        self.routing_state.refresh()
        self._notify_ownership(ServersChanged())

    def _remove_absent(self, message: UpdatesRead) -> None:
        """Removes servers, evacuations and records that are not in a snapshot of the store.

        Servers and evacuations that a restored store lacks stay for a grace time.
        """
        updates = message.updates
        routing_state = self.routing_state
        server_ids = frozenset(
            update.server.server_id for update in updates if isinstance(update, ServerUpdate)
        )
        if message.is_restored:
            routing_state.mark_store_restored()
        routing_state.directory.record_listing(server_ids, self.clock.now(), message.is_restored)
        listed = {update.data_centre for update in updates if isinstance(update, EvacuationUpdate)}
        for data_centre in routing_state.directory.ended_evacuations(listed):
            routing_state.set_evacuated(data_centre, False)
        keys = {update.key for update in updates if isinstance(update, RecordUpdate)}
        members = {
            name: member
            for name, member in routing_state.members.items()
            if f"{MEMBERS_PREFIX}{name}" in keys
        }
        if members != routing_state.members:
            routing_state.set_members(members)
        if member_key(routing_state.settings.instance) not in keys and self.member_task:
            self.member_task.post(MemberRecordMissing(message.revision))
        if DECIDER_KEY not in keys:
            self._set_decider(None, message.revision)

    def _apply_update(self, update: BaseUpdate, origin: RegistrationOrigin) -> None:
        if isinstance(update, ServerUpdate):
            self.routing_state.register_server(update.server, origin)
        elif isinstance(update, ServerRemoved):
            self.routing_state.unregister_server(update.server_id)
        elif isinstance(update, ConfigurationUpdate):
            self.routing_state.set_configuration(update.configuration)
        elif isinstance(update, EvacuationUpdate):
            self.routing_state.set_evacuated(update.data_centre, update.requested)
        elif isinstance(update, RecordUpdate):
            self._apply_record(update)
        elif isinstance(update, UnreadableItem):
            log_problem(
                "item-unreadable", key=update.key, problem=update.problem, revision=update.revision
            )

    def _apply_record(self, update: RecordUpdate) -> None:
        if update.key == DECIDER_KEY:
            member = (
                _value_or_log(decode_member(update.value), update)
                if update.value is not None
                else None
            )
            self._set_decider(member, update.revision)
        elif update.key.startswith(MEMBERS_PREFIX):
            self._apply_member(update)
        elif update.key.startswith(OWNERSHIP_PREFIX) and update.value is not None:
            table: OwnershipTable | None = _value_or_log(decode_table(update.value), update)
            if table is not None:
                self.routing_state.set_table(table)
                self._notify_ownership(TableStored(table, update.revision))

    def _apply_member(self, update: RecordUpdate) -> None:
        name = update.key.removeprefix(MEMBERS_PREFIX)
        members = dict(self.routing_state.members)
        members.pop(name, None)
        if update.value is not None:
            member = _value_or_log(decode_member(update.value), update)
            if member is not None:
                members[name] = member
        if members != self.routing_state.members:
            self.routing_state.set_members(members)
        if (
            update.value is None
            and name == self.routing_state.settings.instance
            and self.member_task
        ):
            # The record may be deleted without any of the member task's calls failing.
            self.member_task.post(MemberRecordMissing(update.revision))

    def _set_decider(self, member: MemberRecord | None, revision: int) -> None:
        self.decider_record = member
        self._notify_ownership(DeciderChanged(member, revision))

    def _notify_ownership(self, message: object) -> None:
        if self.ownership_task is not None:
            self.ownership_task.post(message)


def _registration_origin(message: UpdatesRead) -> RegistrationOrigin:
    if message.is_restored:
        return RegistrationOrigin.RESTORED_SNAPSHOT
    return RegistrationOrigin.SNAPSHOT if message.is_snapshot else RegistrationOrigin.WRITE


def _value_or_log(result: Result[Decoded, RecordError], update: RecordUpdate) -> Decoded | None:
    """Returns the decoded record, or logs the error and returns None."""
    if isinstance(result, Success):
        value: Decoded = result.unwrap()
        return value
    log_problem(
        "record-unreadable", key=update.key, problem=result.failure(), revision=update.revision
    )
    return None
