"""The newest authentic configuration and tables that a daemon has seen."""

from collections.abc import Callable

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from fireflylink_core import (
    EMPTY_CONFIGURATION,
    Configuration,
    DocumentKind,
    OwnershipTable,
    StoredDocument,
)
from fireflylink_documents import (
    DocumentError,
    DocumentSigner,
    decode_configuration,
    decode_table,
)


class DocumentCache:
    """Keeps the highest version of each document and refuses those that are not authentic.

    A daemon never goes back to a lower version, whoever offers it.
    """

    __slots__ = ("_documents", "configuration", "signer", "tables")

    def __init__(self, signer: DocumentSigner) -> None:
        self.signer = signer
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.tables: dict[str, OwnershipTable] = {}
        self._documents: dict[tuple[DocumentKind, str], StoredDocument] = {}

    def take(self, document: StoredDocument) -> Result[bool, DocumentError]:
        """Takes a document if it is newer; tells whether it was."""
        if document.version <= self.version(document.kind, document.name):
            return Success(False)
        payload = self.signer.verify(document.payload)
        if not is_successful(payload):
            return Failure(payload.failure())
        return self._store(document, payload.unwrap())

    def take_raw(self, kind: DocumentKind, name: str, signed: bytes) -> Result[bool, DocumentError]:
        """Takes a signed document as the platform stores it, without knowing its version."""
        if self.holds(kind, name, signed):
            return Success(False)
        payload = self.signer.verify(signed)
        if not is_successful(payload):
            return Failure(payload.failure())
        version = _decoder(kind)(payload.unwrap()).map(lambda value: int(value.version))
        if not is_successful(version):
            return Failure(version.failure())
        return self.take(StoredDocument(kind, name, version.unwrap(), signed))

    def _store(self, document: StoredDocument, payload: bytes) -> Result[bool, DocumentError]:
        decoded = _decoder(document.kind)(payload)
        if not is_successful(decoded):
            return Failure(decoded.failure())
        value = decoded.unwrap()
        if value.version != document.version:
            return Failure(DocumentError("version", "differs from the announced version"))
        if isinstance(value, Configuration):
            self.configuration = value
        else:
            if value.table_id != document.name:
                return Failure(DocumentError("table_id", "differs from the announced name"))
            self.tables[document.name] = value
        self._documents[(document.kind, document.name)] = document
        return Success(True)

    def holds(self, kind: DocumentKind, name: str, signed: bytes) -> bool:
        """Tells whether exactly this signed document is the one held."""
        held = self._documents.get((kind, name))
        return held is not None and held.payload == signed

    def version(self, kind: DocumentKind, name: str) -> int:
        """Returns the version held of a document, 0 for none."""
        held = self._documents.get((kind, name))
        return held.version if held is not None else 0

    def table_versions(self) -> tuple[tuple[str, int], ...]:
        """Returns the versions of the tables held, in the order of their ids."""
        return tuple((table_id, table.version) for table_id, table in sorted(self.tables.items()))

    def newer_than(
        self, configuration_version: int, table_versions: tuple[tuple[str, int], ...]
    ) -> tuple[StoredDocument, ...]:
        """Returns the documents of which a peer has a lower version or none."""
        known = dict(table_versions)
        newer = []
        for (kind, name), document in self._documents.items():
            is_table = kind is DocumentKind.TABLE
            peer_version = known.get(name, 0) if is_table else configuration_version
            if document.version > peer_version:
                newer.append(document)
        return tuple(newer)


def _decoder(
    kind: DocumentKind,
) -> Callable[
    [bytes], Result[Configuration, DocumentError] | Result[OwnershipTable, DocumentError]
]:
    if kind is DocumentKind.CONFIGURATION:
        return decode_configuration
    return decode_table
