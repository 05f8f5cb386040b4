"""A key-value store in memory that counts the calls which daemons make to the platform."""

import collections
from collections.abc import Callable

from fireflylink_core import BaseClock, Member, OwnershipTable
from fireflylink_daemon.control import (
    CONFIGURATION_KEY,
    OWNERSHIP_PREFIX,
    BaseTask,
    InstancesRead,
    PlatformRead,
    ReadAll,
    SetWatching,
    TableWritesEnded,
    TableWritten,
    WriteTables,
)
from fireflylink_documents import DocumentSigner, encode_table
from fireflylink_platform_client import Entry

WATCHES_OF_A_ROOT = 2
READS_OF_A_FULL_READ = 2


class SimulatedPlatform:
    """Entries, watching daemons and the number of calls of each kind."""

    __slots__ = ("calls", "entries", "members", "revision", "signer", "watchers")

    def __init__(self, signer: DocumentSigner) -> None:
        self.signer = signer
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.watchers: dict[str, BaseTask] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self.members: tuple[Member, ...] = ()

    def put(self, key: str, value: bytes, now: float) -> Entry:
        """Stores an entry and answers the waiting watches."""
        self.revision += 1
        entry = Entry(key, value, self.revision)
        self.entries[key] = entry
        for control in self.watchers.values():
            self.calls["watch"] += 1
            control.post(PlatformRead(now, (entry,), complete=False))
        return entry

    def revision_of(self, key: str) -> int:
        """Returns the revision of an entry, 0 when it does not exist."""
        entry = self.entries.get(key)
        return entry.revision if entry is not None else 0


class SimulatedPlatformTask(BaseTask):
    """Answers the control task of one daemon as its platform task would, without waiting."""

    __slots__ = ("control", "platform")

    def __init__(self, clock: BaseClock, platform: SimulatedPlatform, control: BaseTask) -> None:
        super().__init__("platform", clock)
        self.platform = platform
        self.control = control
        self.control.post(InstancesRead(platform.members))

    def next_wake(self) -> float:
        return float("inf")

    def wake(self) -> None:
        """Reads the instance list, as the task of a root does each period."""
        self.platform.calls["read"] += 1
        self.control.post(InstancesRead(self.platform.members))

    def post(self, message: object) -> None:
        self.receive(message)

    def receive(self, message: object) -> object:
        handlers: dict[type, Callable[..., None]] = {
            ReadAll: self._read_all,
            SetWatching: self._set_watching,
            WriteTables: self._write_tables,
        }
        handlers[type(message)](message)
        return None

    def _read_all(self, _message: ReadAll) -> None:
        self.platform.calls["read"] += READS_OF_A_FULL_READ
        entries = tuple(self.platform.entries.values())
        self.control.post(PlatformRead(self.clock.now(), entries, complete=True))

    def _set_watching(self, message: SetWatching) -> None:
        if message.enabled:
            self.platform.watchers[self.control_id] = self.control
            self._read_all(ReadAll())
            self.wake()
        else:
            self.platform.watchers.pop(self.control_id, None)

    @property
    def control_id(self) -> str:
        """Identifies the control task among the watching ones."""
        return str(id(self.control))

    def _write_tables(self, message: WriteTables) -> None:
        for table, revision in zip(message.tables, message.revisions, strict=True):
            self.platform.calls["write"] += 1
            if not self._write_table(table, revision):
                self.control.post(TableWritesEnded(message.table_id, False, "conflict"))
                return
        self.control.post(TableWritesEnded(message.table_id, True))

    def _write_table(self, table: OwnershipTable, revision: int) -> bool:
        key = OWNERSHIP_PREFIX + table.table_id
        if self.platform.revision_of(key) != revision:
            return False
        signed = self.platform.signer.sign(encode_table(table))
        entry = self.platform.put(key, signed, self.clock.now())
        self.control.post(TableWritten(table, signed, entry.revision))
        return True


def put_configuration(platform: SimulatedPlatform, payload: bytes, now: float) -> None:
    """Stores a configuration as the operators' command does."""
    platform.calls["write"] += 1
    platform.put(CONFIGURATION_KEY, platform.signer.sign(payload), now)
