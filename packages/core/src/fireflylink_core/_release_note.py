"""Release notes: what operators add, change and withdraw in one step."""

from collections.abc import Mapping
from typing import Any

from fireflylink_core._configuration import BackendServer, DataCentre, Service
from fireflylink_core._value import BaseValue

FieldChanges = Mapping[str, Any]
"""New values of the fields that a note changes, in the types of the entry's own fields."""


class NoteAdditions(BaseValue):
    """Entries that a release note adds, by name."""

    __slots__ = ("data_centres", "servers", "services")

    def __init__(
        self,
        data_centres: Mapping[str, DataCentre],
        services: Mapping[str, Service],
        servers: Mapping[str, BackendServer],
    ) -> None:
        self.data_centres = data_centres
        self.services = services
        self.servers = servers


class NoteChanges(BaseValue):
    """New field values of entries that exist, by name."""

    __slots__ = ("data_centres", "servers", "services")

    def __init__(
        self,
        data_centres: Mapping[str, FieldChanges],
        services: Mapping[str, FieldChanges],
        servers: Mapping[str, FieldChanges],
    ) -> None:
        self.data_centres = data_centres
        self.services = services
        self.servers = servers


class NoteWithdrawals(BaseValue):
    """Names of the entries that a release note withdraws."""

    __slots__ = ("data_centres", "servers", "services")

    def __init__(
        self,
        data_centres: tuple[str, ...] = (),
        services: tuple[str, ...] = (),
        servers: tuple[str, ...] = (),
    ) -> None:
        self.data_centres = data_centres
        self.services = services
        self.servers = servers


class ReleaseNote(BaseValue):
    """A change of the configuration, written for one version of it.

    ``note_id`` is unique to the note, so that a note that is applied twice is one change.
    ``digest`` identifies the content, so that another note under the same id is recognised.
    """

    __slots__ = (
        "added",
        "author",
        "changed",
        "digest",
        "for_version",
        "note_id",
        "summary",
        "withdrawn",
    )

    def __init__(
        self,
        note_id: str,
        author: str,
        for_version: int,
        summary: str,
        digest: str,
        added: NoteAdditions | None = None,
        changed: NoteChanges | None = None,
        withdrawn: NoteWithdrawals | None = None,
    ) -> None:
        self.note_id = note_id
        self.author = author
        self.for_version = for_version
        self.summary = summary
        self.digest = digest
        self.added = added or NoteAdditions({}, {}, {})
        self.changed = changed or NoteChanges({}, {}, {})
        self.withdrawn = withdrawn or NoteWithdrawals()
