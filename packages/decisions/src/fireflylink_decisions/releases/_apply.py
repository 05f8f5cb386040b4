"""Applying a release note to a configuration."""

from returns.result import Failure, Result, Success

from fireflylink_core import AppliedNote, Configuration, ReleaseNote
from fireflylink_decisions.releases._checks import configuration_problems
from fireflylink_decisions.releases._edits import SECTIONS, edit_problems, edited
from fireflylink_decisions.releases._errors import (
    NoteError,
    NoteIdReusedError,
    VersionConflictError,
)

MAX_APPLIED_NOTES = 200


def apply_note(
    configuration: Configuration, note: ReleaseNote, now_ms: int
) -> Result[Configuration, NoteError]:
    """Returns the next version of the configuration, with a release note's whole change.

    ``now_ms`` is wall-clock time in milliseconds. A note that was applied before gives the
    configuration unchanged. A note that is refused changes nothing.

    Example::

        apply_note(configuration, note, clock.wall_ms()).map(encode_configuration)
    """
    applied = find_applied(configuration, note.note_id)
    if applied is not None:
        if applied.digest != note.digest:
            return Failure(NoteIdReusedError(note, applied))
        return Success(configuration)
    if note.for_version != configuration.version:
        return Failure(version_conflict(configuration, note))
    problems = tuple(edit_problems(configuration, note))
    if problems:
        return Failure(NoteError(problems))
    changed = _changed_configuration(configuration, note, now_ms)
    problems = tuple(configuration_problems(changed))
    if problems:
        return Failure(NoteError(problems))
    return Success(changed)


def find_applied(configuration: Configuration, note_id: str) -> AppliedNote | None:
    """Returns the record of an applied note, if it is among the latest."""
    for applied in configuration.applied_notes:
        if applied.note_id == note_id:
            return applied
    return None


def version_conflict(configuration: Configuration, note: ReleaseNote) -> VersionConflictError:
    """Returns the error that names the notes applied since the note was written."""
    others = tuple(
        applied for applied in configuration.applied_notes if applied.version > note.for_version
    )
    return VersionConflictError(note, configuration.version, others)


def _changed_configuration(
    configuration: Configuration, note: ReleaseNote, now_ms: int
) -> Configuration:
    version = configuration.version + 1
    applied = AppliedNote(note.note_id, version, note.author, now_ms, note.summary, note.digest)
    notes = (*configuration.applied_notes, applied)
    sections = {section: edited(configuration, note, section) for section in SECTIONS}
    return Configuration(version=version, applied_notes=notes[-MAX_APPLIED_NOTES:], **sections)
