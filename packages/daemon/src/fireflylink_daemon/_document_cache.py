"""The newest authentic configuration and tables that a daemon has seen."""

from collections import OrderedDict

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
    apply_changes,
    apply_configuration_changes,
    configuration_changes,
    decode_changes,
    decode_configuration,
    decode_configuration_changes,
    decode_table,
    encode_changes,
    encode_configuration,
    encode_configuration_changes,
    encode_table,
    table_changes,
)

Document = Configuration | OwnershipTable
DocumentName = tuple[DocumentKind, str]

KEPT_VERSIONS = 16
"""Former versions kept to send a peer only what changed since the version that it has."""

KEPT_ENCODINGS = 64


class DocumentCache:
    """Keeps the highest version of each document and refuses those that are not authentic.

    A daemon never goes back to a lower version, whoever offers it. A peer that has a recent version
    is sent the changes since then, signed by this daemon under the cluster key; any other peer is
    sent the whole document.
    """

    __slots__ = ("_encodings", "_former", "_held", "configuration", "signer", "tables")

    def __init__(self, signer: DocumentSigner) -> None:
        self.signer = signer
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.tables: dict[str, OwnershipTable] = {}
        self._held: dict[DocumentName, Document] = {}
        self._former: dict[DocumentName, OrderedDict[int, Document]] = {}
        self._encodings: OrderedDict[tuple[DocumentName, int, int], bytes] = OrderedDict()

    def take(self, document: StoredDocument) -> Result[bool, DocumentError]:
        """Takes a document, or the changes of one, if it is newer; tells whether it was."""
        if document.version <= self.version(document.kind, document.name):
            return Success(False)
        payload = self.signer.verify(document.payload)
        if not is_successful(payload):
            return Failure(payload.failure())
        decoded = self._decode(document, payload.unwrap())
        if not is_successful(decoded):
            return Failure(decoded.failure())
        return self._store(document.kind, document.name, decoded.unwrap())

    def take_stored(
        self, kind: DocumentKind, name: str, signed: bytes
    ) -> Result[int, DocumentError]:
        """Takes a signed document as the platform stores it; returns its version."""
        payload = self.signer.verify(signed)
        if not is_successful(payload):
            return Failure(payload.failure())
        decoded = _decode_whole(kind, payload.unwrap())
        if not is_successful(decoded):
            return Failure(decoded.failure())
        value = decoded.unwrap()
        stored = self._store(kind, name, value)
        return stored.map(lambda _newer: int(value.version))

    def _decode(self, document: StoredDocument, payload: bytes) -> Result[Document, DocumentError]:
        if not document.base_version:
            return _decode_whole(document.kind, payload)
        held = self._held.get((document.kind, document.name))
        if isinstance(held, Configuration):
            changes = decode_configuration_changes(payload)
            return changes.bind(lambda found: apply_configuration_changes(held, found))
        if isinstance(held, OwnershipTable):
            return decode_changes(payload).bind(lambda found: apply_changes(held, found))
        return Failure(DocumentError("base_version", "is of a document that is not held"))

    def _store(self, kind: DocumentKind, name: str, value: Document) -> Result[bool, DocumentError]:
        if isinstance(value, OwnershipTable) and value.table_id != name:
            return Failure(DocumentError("table_id", f"is not {name}"))
        if value.version <= self.version(kind, name):
            return Success(False)
        key = (kind, name)
        former = self._held.get(key)
        if former is not None:
            kept = self._former.setdefault(key, OrderedDict())
            kept[former.version] = former
            while len(kept) > KEPT_VERSIONS:
                kept.popitem(last=False)
        self._held[key] = value
        if isinstance(value, Configuration):
            self.configuration = value
        else:
            self.tables[name] = value
        return Success(True)

    def version(self, kind: DocumentKind, name: str) -> int:
        """Returns the version held of a document, 0 for none."""
        held = self._held.get((kind, name))
        return int(held.version) if held is not None else 0

    def table_versions(self) -> tuple[tuple[str, int], ...]:
        """Returns the versions of the tables held, in the order of their ids."""
        return tuple((table_id, table.version) for table_id, table in sorted(self.tables.items()))

    def newer_than(
        self, configuration_version: int, table_versions: tuple[tuple[str, int], ...]
    ) -> tuple[StoredDocument, ...]:
        """Returns what a peer with these versions lacks."""
        known = dict(table_versions)
        newer = []
        for (kind, name), held in self._held.items():
            is_table = kind is DocumentKind.TABLE
            peer_version = known.get(name, 0) if is_table else configuration_version
            if held.version > peer_version:
                newer.append(self._document(kind, name, held, peer_version))
        return tuple(newer)

    def _document(
        self, kind: DocumentKind, name: str, held: Document, peer_version: int
    ) -> StoredDocument:
        former_versions = self._former.get((kind, name))
        former = former_versions.get(peer_version) if former_versions is not None else None
        base_version = int(former.version) if former is not None else 0
        memo = ((kind, name), base_version, int(held.version))
        signed = self._encodings.get(memo)
        if signed is None:
            signed = self.signer.sign(_encode(held, former))
            self._encodings[memo] = signed
            if len(self._encodings) > KEPT_ENCODINGS:
                self._encodings.popitem(last=False)
        return StoredDocument(kind, name, held.version, signed, base_version)


def _decode_whole(kind: DocumentKind, payload: bytes) -> Result[Document, DocumentError]:
    if kind is DocumentKind.CONFIGURATION:
        return decode_configuration(payload).map(_as_document)
    return decode_table(payload).map(_as_document)


def _as_document(value: Document) -> Document:
    return value


def _encode(held: Document, former: Document | None) -> bytes:
    if isinstance(held, Configuration):
        if isinstance(former, Configuration):
            return encode_configuration_changes(configuration_changes(former, held))
        return encode_configuration(held)
    if isinstance(former, OwnershipTable):
        return encode_changes(table_changes(former, held))
    return encode_table(held)
