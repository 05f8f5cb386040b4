"""Release notes as JSON documents."""

import hashlib
from typing import Any

from returns.result import Result

from fireflylink_core import NoteAdditions, NoteChanges, NoteWithdrawals, ReleaseNote
from fireflylink_documents._configuration import entries_fields, read_entries
from fireflylink_documents._entries import (
    DATA_CENTRE_READERS,
    MAX_NAME_LENGTH,
    SERVER_READERS,
    SERVICE_READERS,
    FieldReaders,
    ranges_fields,
    read_given,
)
from fireflylink_documents._errors import DocumentError
from fireflylink_documents._fields import FieldReader, read_fields
from fireflylink_documents._json import dump_json

MAX_SUMMARY_LENGTH = 300
SECTIONS = ("data_centres", "services", "servers")


def encode_note(note: ReleaseNote) -> bytes:
    """Returns the JSON payload of a release note, without its digest."""
    changed = {section: _changes_fields(getattr(note.changed, section)) for section in SECTIONS}
    withdrawn = {section: list(getattr(note.withdrawn, section)) for section in SECTIONS}
    return dump_json(
        {
            "note_id": note.note_id,
            "author": note.author,
            "for_version": note.for_version,
            "summary": note.summary,
            "added": entries_fields(note.added),
            "changed": changed,
            "withdrawn": withdrawn,
        }
    )


def decode_note(payload: bytes) -> Result[ReleaseNote, DocumentError]:
    """Returns the release note of a JSON payload.

    The digest covers what the author wrote, not the order of fields or the white space.
    """
    return read_fields(payload, _read_note)


def _read_note(fields: FieldReader) -> ReleaseNote:
    return ReleaseNote(
        note_id=fields.text("note_id", max_length=MAX_NAME_LENGTH),
        author=fields.text("author", max_length=MAX_NAME_LENGTH),
        for_version=fields.integer("for_version", 0),
        summary=fields.text("summary", max_length=MAX_SUMMARY_LENGTH),
        digest=hashlib.sha256(dump_json(fields.fields)).hexdigest(),
        added=NoteAdditions(**read_entries(fields.child("added", {}))),
        changed=_read_changes(fields.child("changed", {})),
        withdrawn=_read_withdrawals(fields.child("withdrawn", {})),
    )


def _read_changes(fields: FieldReader) -> NoteChanges:
    return NoteChanges(
        data_centres=_read_section(fields, "data_centres", DATA_CENTRE_READERS),
        services=_read_section(fields, "services", SERVICE_READERS),
        servers=_read_section(fields, "servers", SERVER_READERS),
    )


def _read_section(
    fields: FieldReader, section: str, readers: FieldReaders
) -> dict[str, dict[str, Any]]:
    entries = fields.children_by_name(section, {})
    return {name: _read_entry_changes(entries[name], readers) for name in entries}


def _read_entry_changes(fields: FieldReader, readers: FieldReaders) -> dict[str, Any]:
    if not fields.fields:
        raise DocumentError(fields.path, f"must name a field: {', '.join(readers)}")
    return read_given(fields, readers)


def _read_withdrawals(fields: FieldReader) -> NoteWithdrawals:
    return NoteWithdrawals(**{section: fields.texts(section, ()) for section in SECTIONS})


def _changes_fields(section: Any) -> dict[str, dict[str, Any]]:
    return {
        name: {field: _plain(field, value) for field, value in changes.items()}
        for name, changes in section.items()
    }


def _plain(field: str, value: Any) -> Any:
    """Returns a field's value in the types of JSON."""
    if field == "ranges":
        return ranges_fields(value)
    if isinstance(value, tuple):
        return list(value)
    return getattr(value, "value", value)
