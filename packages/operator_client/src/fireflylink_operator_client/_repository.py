"""The documents that the command line reads and writes in the store."""

from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result, Success

from fireflylink_core import (
    EMPTY_CONFIGURATION,
    BaseValue,
    Configuration,
    OwnershipTable,
    ReleaseNote,
)
from fireflylink_documents import (
    DocumentError,
    DocumentSigner,
    decode_configuration,
    decode_note,
    decode_table,
    encode_configuration,
)
from fireflylink_operator_client._errors import ClientError, RefusedError, UnavailableError
from fireflylink_operator_client._store import BaseStore, StoredEntry, StoreError

CURRENT_KEY = "config/current"
HISTORY_PREFIX = "config/history/"
OWNERSHIP_PREFIX = "ownership/"

T = TypeVar("T")


class CurrentConfiguration(BaseValue):
    """The configuration in the store and the revision of its entry, 0 when there is none."""

    __slots__ = ("configuration", "revision")

    def __init__(self, configuration: Configuration, revision: int) -> None:
        self.configuration = configuration
        self.revision = revision


class Repository:
    """Reads and writes signed documents."""

    __slots__ = ("signer", "store")

    def __init__(self, store: BaseStore, signer: DocumentSigner) -> None:
        self.store = store
        self.signer = signer

    def read_current(self) -> Result[CurrentConfiguration, ClientError]:
        """Returns the configuration, the empty one when none was ever written."""
        found = self.store.read(CURRENT_KEY)
        if isinstance(found, Failure):
            return Failure(unavailable(found.failure()))
        entry = found.unwrap()
        if entry is None:
            return Success(CurrentConfiguration(EMPTY_CONFIGURATION, 0))
        return self.decode_current(entry)

    def decode_current(self, entry: StoredEntry) -> Result[CurrentConfiguration, ClientError]:
        """Returns the configuration that an entry holds."""
        decoded = self.decode(entry, decode_configuration)
        return decoded.map(lambda value: CurrentConfiguration(value, entry.revision))

    def write_current(
        self, configuration: Configuration, expected_revision: int
    ) -> Result[int, StoreError]:
        """Writes the configuration if the stored one has the expected revision."""
        document = self.signer.sign(encode_configuration(configuration))
        return self.store.write(CURRENT_KEY, document, expected_revision)

    def write_history(self, version: int, payload: bytes) -> Result[int, StoreError]:
        """Writes the note that made a version, as its author wrote it."""
        return self.store.write(f"{HISTORY_PREFIX}{version}", self.signer.sign(payload), 0)

    def read_history(self, version: int) -> Result[ReleaseNote | None, ClientError]:
        """Returns the note that made a version, ``None`` when it is not stored."""
        found = self.store.read(f"{HISTORY_PREFIX}{version}")
        if isinstance(found, Failure):
            return Failure(unavailable(found.failure()))
        entry = found.unwrap()
        if entry is None:
            return Success(None)
        return self.decode(entry, decode_note).map(lambda note: note)

    def read_tables(self) -> Result[dict[str, OwnershipTable], ClientError]:
        """Returns every ownership table by its identifier."""
        found = self.store.read_prefix(OWNERSHIP_PREFIX)
        if isinstance(found, Failure):
            return Failure(unavailable(found.failure()))
        tables: dict[str, OwnershipTable] = {}
        for entry in found.unwrap().entries:
            decoded = self.decode(entry, decode_table)
            if isinstance(decoded, Failure):
                return Failure(decoded.failure())
            table = decoded.unwrap()
            tables[table.table_id] = table
        return Success(tables)

    def decode(
        self, entry: StoredEntry, decode: Callable[[bytes], Result[T, DocumentError]]
    ) -> Result[T, ClientError]:
        """Returns the value of a signed document."""
        value = self.signer.verify(entry.value).bind(decode)
        return value.alt(lambda error: RefusedError(f"{entry.key}: {error}"))


def unavailable(error: StoreError) -> UnavailableError:
    """Returns the error for a read that failed."""
    return UnavailableError(f"platform unavailable: {error}")
