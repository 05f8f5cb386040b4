"""A store and daemons in memory with fault switches, and a way to run commands against them."""

import io
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import pytest
from returns.result import Failure, Result, Success

from fireflylink_core import SystemClock
from fireflylink_documents import DocumentSigner
from fireflylink_operator_client import (
    BaseDaemonReader,
    BaseStore,
    DaemonAddress,
    DaemonError,
    DaemonRefusedError,
    FixedDirectory,
    Repository,
    Session,
    StoreConflictError,
    StoredEntry,
    StoreError,
    StoreOutcomeUnknownError,
    StoreSnapshot,
    StoreUnavailableError,
    run,
)

CLUSTER_KEY = b"0123456789abcdef0123456789abcdef"


class MemoryStore(BaseStore):
    """A store whose next writes may fail and whose reads may fail for a while.

    ``write_faults`` are consumed one for each write of the configuration. ``before_write`` runs
    before each write, as a racing operator would.
    """

    __slots__ = ("before_write", "entries", "failed_reads", "revision", "write_faults", "writes")

    REFUSE = "refuse"
    LOSE_REQUEST = "lose request"
    LOSE_REPLY = "lose reply"

    def __init__(self) -> None:
        self.entries: dict[str, StoredEntry] = {}
        self.revision = 0
        self.write_faults: list[str] = []
        self.failed_reads = 0
        self.before_write: list[Callable[[], object]] = []
        self.writes: list[str] = []

    def read(self, key: str) -> Result[StoredEntry | None, StoreError]:
        if self.failed_reads:
            self.failed_reads -= 1
            return Failure(StoreUnavailableError("no reply"))
        return Success(self.entries.get(key))

    def read_prefix(self, prefix: str) -> Result[StoreSnapshot, StoreError]:
        found = tuple(entry for entry in self.entries.values() if entry.key.startswith(prefix))
        return Success(StoreSnapshot(self.revision, found))

    def write(self, key: str, value: bytes, expected_revision: int) -> Result[int, StoreError]:
        if self.before_write:
            self.before_write.pop(0)()
        fault = self.write_faults.pop(0) if self.write_faults else ""
        if fault == self.REFUSE:
            return Failure(StoreUnavailableError("connection refused"))
        if fault == self.LOSE_REQUEST:
            return Failure(StoreOutcomeUnknownError("no reply"))
        entry = self.entries.get(key)
        if (entry.revision if entry else 0) != expected_revision:
            return Failure(StoreConflictError(f"{key}: other revision"))
        self.put(key, value)
        if fault == self.LOSE_REPLY:
            return Failure(StoreOutcomeUnknownError("no reply"))
        return Success(self.revision)

    def put(self, key: str, value: bytes) -> None:
        """Stores a value unconditionally."""
        self.revision += 1
        self.entries[key] = StoredEntry(key, value, self.revision)
        self.writes.append(key)

    def watch(
        self, prefix: str, after_revision: int, timeout: float
    ) -> Result[StoreSnapshot, StoreError]:
        gevent.sleep(0.01)
        entries = self.read_prefix(prefix).unwrap().entries
        later = tuple(entry for entry in entries if entry.revision > after_revision)
        return Success(StoreSnapshot(self.revision, later))


class MemoryDaemons(BaseDaemonReader):
    """Daemons that answer from dictionaries; a daemon without an entry does not answer."""

    __slots__ = ("refusals", "replies")

    def __init__(self) -> None:
        self.refusals: dict[str, str] = {}
        self.replies: dict[tuple[str, str], Any] = {}

    def get(self, address: DaemonAddress, path: str) -> Result[bytes, DaemonError]:
        if address.instance_id in self.refusals:
            return Failure(DaemonRefusedError(self.refusals[address.instance_id]))
        reply = self.replies.get((address.instance_id, path.partition("?")[0]))
        if reply is None:
            return Failure(DaemonError("timed out"))
        return Success(reply if isinstance(reply, bytes) else json.dumps(reply).encode())

    def set_status(self, instance_id: str, version: int, **changes: Any) -> None:
        """Makes a daemon answer with a version in force."""
        data_centre = instance_id.rpartition("-")[0]
        status = {
            "instance_id": instance_id,
            "data_centre": data_centre,
            "root": f"{data_centre}-1",
            "configuration_version": version,
            "in_force": {"version": version, "members": 2, "confirmed": 2, "lagging": []},
            "tables": {f"{data_centre}.keep": {"version": 3, "settled": 3, "authority_ms": 1800}},
            "platform_reachable": True,
            "members": [f"{data_centre}-1", f"{data_centre}-2"],
            "leaving": False,
        }
        self.replies[instance_id, "/operator/status"] = {**status, **changes}


class CommandResult:
    """What a command printed and its exit status."""

    __slots__ = ("errors", "output", "status")

    def __init__(self, status: int, output: str, errors: str) -> None:
        self.status = status
        self.output = output
        self.errors = errors

    @property
    def document(self) -> Any:
        """The JSON that the command printed."""
        return json.loads(self.output)


class Fireflylink:
    """Runs commands against the store and the daemons in memory."""

    __slots__ = ("addresses", "daemons", "folder", "repository", "store")

    def __init__(self, store: MemoryStore, daemons: MemoryDaemons, folder: Path) -> None:
        self.store = store
        self.daemons = daemons
        self.folder = folder
        self.repository = Repository(store, DocumentSigner(CLUSTER_KEY))
        self.addresses = tuple(
            DaemonAddress(name, "127.0.0.1", 9000 + number, f"{name}-{number}")
            for name in ("kingston", "mandeville")
            for number in (1, 2)
        )

    def __call__(self, *arguments: str) -> CommandResult:
        output, errors = io.StringIO(), io.StringIO()
        status = run(arguments, self.connect, output, errors)
        return CommandResult(status, output.getvalue(), errors.getvalue())

    def connect(self, settings: str, emit: Any) -> Any:
        """Returns a session on the store and the daemons in memory."""
        directory = FixedDirectory(self.addresses)
        return Success(Session(self.repository, directory, self.daemons, SystemClock(), emit))

    def note(self, name: str, for_version: int, author: str = "dana", **parts: Any) -> str:
        """Writes a release note and returns the path of its file."""
        document = {
            "note_id": name,
            "author": author,
            "for_version": for_version,
            "summary": f"Summary of {name}",
            **parts,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document))
        return str(path)

    def server_fields(self, port: int, data_centre: str = "kingston") -> dict[str, Any]:
        """Returns the fields of a server of the service holds."""
        place = {"service": "holds", "data_centre": data_centre, "host": "127.0.0.1", "port": port}
        return {**place, "slots": 4, "connections": 110}

    def version(self) -> int:
        """Returns the version of the stored configuration."""
        return self.repository.read_current().unwrap().configuration.version


@pytest.fixture
def fireflylink(tmp_path: Path) -> Fireflylink:
    """The command line on a store that holds version 1, in force in both data centres."""
    client = Fireflylink(MemoryStore(), MemoryDaemons(), tmp_path)
    names = ("kingston", "mandeville")
    added = {
        "data_centres": {name: {"region": "jm-south"} for name in names},
        "services": {"holds": {"kind": "keyed", "data_centres": list(names), "shard_count": 8}},
        "servers": {
            "holds-1": client.server_fields(7001),
            "holds-2": client.server_fields(7002, "mandeville"),
        },
    }
    for name in names:
        client.daemons.set_status(f"{name}-1", 1)
        client.daemons.set_status(f"{name}-2", 1)
    assert client("apply", client.note("first", 0, added=added)).status == 0
    return client


@pytest.fixture
def drain_note(fireflylink: Fireflylink) -> str:
    """A note for version 1 that drains a server."""
    return fireflylink.note("drain", 1, changed={"servers": {"holds-1": {"state": "draining"}}})


@pytest.fixture
def in_force(fireflylink: Fireflylink) -> None:
    """Makes every daemon report that version 2 is in force."""
    for address in fireflylink.addresses:
        fireflylink.daemons.set_status(address.instance_id, 2)
