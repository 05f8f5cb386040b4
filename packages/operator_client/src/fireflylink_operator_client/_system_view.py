"""A decoded view of everything in the store."""

from returns.result import Failure, Result, Success

from fireflylink_core import (
    BackendServer,
    BaseClock,
    Configuration,
    OwnershipTable,
)
from fireflylink_operator_client._errors import OperatorError
from fireflylink_protocol import (
    DECIDER_KEY,
    MEMBERS_PREFIX,
    OWNERSHIP_PREFIX,
    MemberRecord,
    decode_member,
    decode_table,
)
from fireflylink_store import (
    BaseItemDecoder,
    BaseStore,
    BaseUpdate,
    ConfigurationUpdate,
    EvacuationUpdate,
    RecordUpdate,
    ServerUpdate,
    UnreadableItem,
)

ALL_ITEMS_PREFIX = ""
READ_TIMEOUT_SECONDS = 5.0


class SystemView:
    """The decoded contents of the store.

    Changes after ``revision`` may be included only in part. ``evacuated`` lists the data centres
    whose evacuation was requested. ``unreadable`` lists the operators' items and the server
    registrations that could not be decoded. Records of the daemons that could not be decoded are
    left out of the view.
    """

    __slots__ = (
        "configuration",
        "decider",
        "evacuated",
        "members",
        "revision",
        "servers",
        "tables",
        "unreadable",
    )

    def __init__(self, revision: int) -> None:
        self.revision = revision
        self.configuration: Configuration | None = None
        self.decider: MemberRecord | None = None
        self.members: list[MemberRecord] = []
        self.servers: list[BackendServer] = []
        self.evacuated: list[str] = []
        self.tables: dict[str, OwnershipTable] = {}
        self.unreadable: list[UnreadableItem] = []

    def apply(self, update: BaseUpdate) -> None:
        """Adds a decoded store item to the view."""
        if isinstance(update, ConfigurationUpdate):
            self.configuration = update.configuration
        elif isinstance(update, ServerUpdate):
            self.servers.append(update.server)
        elif isinstance(update, EvacuationUpdate) and update.requested:
            self.evacuated.append(update.data_centre)
        elif isinstance(update, UnreadableItem):
            self.unreadable.append(update)
        elif isinstance(update, RecordUpdate) and update.value is not None:
            self._apply_record(update.key, update.value)

    def _apply_record(self, key: str, value: bytes) -> None:
        if key.startswith(OWNERSHIP_PREFIX):
            table = decode_table(value).value_or(None)
            if table is not None:
                self.tables[table.service] = table
            return
        member = decode_member(value).value_or(None)
        if member is None:
            return
        if key == DECIDER_KEY:
            self.decider = member
        elif key.startswith(MEMBERS_PREFIX):
            self.members.append(member)


def read_system(
    store: BaseStore, decoder: BaseItemDecoder, clock: BaseClock
) -> Result[SystemView, OperatorError]:
    """Reads and decodes all items of the store."""
    result = store.list(ALL_ITEMS_PREFIX, clock.now() + READ_TIMEOUT_SECONDS)
    if not isinstance(result, Success):
        return Failure(OperatorError(f"the store cannot be read: {result.failure()}"))
    snapshot = result.unwrap()
    view = SystemView(snapshot.revision)
    for item in snapshot.items:
        for update in decoder.decode(item):
            view.apply(update)
    return Success(view)
