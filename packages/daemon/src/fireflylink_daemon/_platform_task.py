"""The task that talks to the platform's key-value service and instance list."""

import uuid
from collections.abc import Callable

import gevent
from returns.pipeline import is_successful

from fireflylink_core import BaseClock, BaseValue, OwnershipTable
from fireflylink_daemon._control_messages import (
    InstancesRead,
    PlatformFailed,
    PlatformRead,
    TableWritesEnded,
    TableWritten,
)
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._task import BaseTask
from fireflylink_documents import DocumentSigner, encode_table
from fireflylink_platform_client import (
    BaseInstanceListClient,
    BaseKeyValueClient,
    Entry,
    OutcomeUnknownError,
)

CONFIGURATION_KEY = "config/current"
OWNERSHIP_PREFIX = "ownership/"
WATCH_TIMEOUT = 30.0
INSTANCE_PERIOD = 2.0
FIRST_RETRY_DELAY = 0.2
LAST_RETRY_DELAY = 2.0
READ_BACK_ATTEMPTS = 10


def new_write_id() -> str:
    """Returns an identifier that is unique to one write of a table."""
    return uuid.uuid4().hex


class ReadAll(BaseValue):
    """Asks for a read of the configuration and every table."""

    __slots__ = ()


class WriteTables(BaseValue):
    """Asks for compare-and-swap writes of tables, in this order, each at its expected revision.

    The first write that is refused ends the sequence.
    """

    __slots__ = ("revisions", "table_id", "tables")

    def __init__(
        self, table_id: str, tables: tuple[OwnershipTable, ...], revisions: tuple[int, ...]
    ) -> None:
        self.table_id = table_id
        self.tables = tables
        self.revisions = revisions


class SetWatching(BaseValue):
    """Starts or stops the watches; only roots watch, so that calls grow with data centres."""

    __slots__ = ("enabled",)

    def __init__(self, enabled: bool) -> None:
        self.enabled = enabled


class PlatformTask(BaseTask):
    """Reads, watches and writes at the platform and tells the control task what it learned.

    Each watch is a greenlet with a client of its own, because a waiting watch occupies the
    connection. ``open_client`` makes a key-value client, ``open_instances`` a client of the list.
    """

    __slots__ = (
        "_client",
        "_instances_at",
        "_open_client",
        "_read_all_at",
        "_retry_delay",
        "_watchers",
        "control",
        "instances",
        "signer",
    )

    def __init__(
        self,
        clock: BaseClock,
        signer: DocumentSigner,
        open_client: Callable[[], BaseKeyValueClient],
        instances: BaseInstanceListClient,
        control: BaseTask,
    ) -> None:
        super().__init__("platform", clock)
        self.signer = signer
        self._open_client = open_client
        self._client = open_client()
        self.instances = instances
        self.control = control
        self._watchers: list[gevent.Greenlet] = []
        self._read_all_at = clock.now()
        self._instances_at = clock.now()
        self._retry_delay = FIRST_RETRY_DELAY

    def next_wake(self) -> float:
        return min(self._read_all_at, self._instances_at)

    def wake(self) -> None:
        now = self.clock.now()
        if now >= self._read_all_at:
            self._read_all()
        if now >= self._instances_at:
            self._read_instances()

    def receive(self, message: object) -> object:
        if isinstance(message, WriteTables):
            self._write_tables(message)
        elif isinstance(message, ReadAll):
            self._read_all()
        elif isinstance(message, SetWatching):
            self._set_watching(message.enabled)
        return None

    # Reads

    def _read_all(self) -> None:
        started = self.clock.now()
        tables = self._client.read_prefix(OWNERSHIP_PREFIX)
        configuration = self._client.read(CONFIGURATION_KEY)
        if is_successful(tables) and is_successful(configuration):
            entries = list(tables.unwrap().entries)
            current = configuration.unwrap()
            if current is not None:
                entries.append(current)
            self.control.post(PlatformRead(started, tuple(entries), complete=True))
            self._read_all_at = float("inf")
            self._retry_delay = FIRST_RETRY_DELAY
            return
        failure = tables.failure() if not is_successful(tables) else configuration.failure()
        self.control.post(PlatformFailed(str(failure)))
        self._read_all_at = self.clock.now() + self._retry_delay
        self._retry_delay = min(self._retry_delay * 2, LAST_RETRY_DELAY)

    def _read_instances(self) -> None:
        result = self.instances.read()
        if is_successful(result):
            self.control.post(InstancesRead(result.unwrap()))
            # Daemons that do not watch get the list from their parent after the first read.
            waits = not self._watchers
            self._instances_at = float("inf") if waits else self.clock.now() + INSTANCE_PERIOD
        else:
            self._instances_at = self.clock.now() + INSTANCE_PERIOD

    def _set_watching(self, enabled: bool) -> None:
        if enabled and not self._watchers:
            self._watchers = [
                gevent.spawn(self._watch, CONFIGURATION_KEY),
                gevent.spawn(self._watch, OWNERSHIP_PREFIX),
            ]
            self._instances_at = self.clock.now()
            self._read_all_at = self.clock.now()
            log_event("platform-watch-started")
        elif not enabled and self._watchers:
            gevent.killall(self._watchers, block=False)
            self._watchers = []
            log_event("platform-watch-stopped")

    def _watch(self, prefix: str) -> None:
        client = self._open_client()
        revision = -1
        delay = FIRST_RETRY_DELAY
        try:
            while True:
                started = self.clock.now()
                if revision < 0:
                    result = client.read_prefix(prefix)
                else:
                    result = client.watch(prefix, revision, WATCH_TIMEOUT)
                if is_successful(result):
                    snapshot = result.unwrap()
                    revision = snapshot.revision
                    delay = FIRST_RETRY_DELAY
                    self.control.post(PlatformRead(started, snapshot.entries, complete=False))
                else:
                    self.control.post(PlatformFailed(str(result.failure())))
                    revision = -1
                    gevent.sleep(delay)
                    delay = min(delay * 2, LAST_RETRY_DELAY)
        finally:
            client.close()

    # Writes

    def _write_tables(self, message: WriteTables) -> None:
        for table, revision in zip(message.tables, message.revisions, strict=True):
            problem = self._write_table(table, revision)
            if problem:
                log_problem(
                    "table-write-failed",
                    table=table.table_id,
                    version=table.version,
                    problem=problem,
                )
                self.control.post(TableWritesEnded(message.table_id, False, problem))
                return
        self.control.post(TableWritesEnded(message.table_id, True))

    def _write_table(self, table: OwnershipTable, revision: int) -> str:
        signed = self.signer.sign(encode_table(table))
        key = OWNERSHIP_PREFIX + table.table_id
        result = self._client.write(key, signed, revision)
        if is_successful(result):
            self._confirm(table, signed, result.unwrap())
            return ""
        failure = result.failure()
        if isinstance(failure, OutcomeUnknownError):
            return self._read_back(table, signed, key)
        return str(failure)

    def _read_back(self, table: OwnershipTable, signed: bytes, key: str) -> str:
        """Finds out whether a write whose reply was lost took effect.

        A write that is still on its way could take effect after the read, but only at the revision
        that it expected; the entry is read until it has changed or the attempts are used up, and a
        write that was not seen is never reported as confirmed.
        """
        for _ in range(READ_BACK_ATTEMPTS):
            result = self._client.read(key)
            entry: Entry | None = result.value_or(None)
            if entry is not None and entry.value == signed:
                self._confirm(table, signed, entry.revision)
                return ""
            if is_successful(result):
                return "write did not take effect"
            gevent.sleep(FIRST_RETRY_DELAY)
        return "outcome of the write is unknown"

    def _confirm(self, table: OwnershipTable, signed: bytes, revision: int) -> None:
        log_event("table-written", table=table.table_id, version=table.version, revision=revision)
        self.control.post(TableWritten(table, signed, revision))

    def stop(self) -> None:
        gevent.killall(self._watchers, block=False)
        super().stop()
