"""Release notes: checks, their effect on the configuration and a preview of it."""

from fireflylink_decisions.releases._apply import (
    MAX_APPLIED_NOTES,
    apply_note,
    find_applied,
    version_conflict,
)
from fireflylink_decisions.releases._errors import (
    NoteError,
    NoteIdReusedError,
    VersionConflictError,
)
from fireflylink_decisions.releases._owners import exception_owners, shard_owners
from fireflylink_decisions.releases._preview import preview
from fireflylink_decisions.releases._preview_values import (
    EntryChange,
    ForcedMoves,
    LoadShare,
    NotePreview,
    ServerLoad,
)

__all__ = [
    "MAX_APPLIED_NOTES",
    "EntryChange",
    "ForcedMoves",
    "LoadShare",
    "NoteError",
    "NoteIdReusedError",
    "NotePreview",
    "ServerLoad",
    "VersionConflictError",
    "apply_note",
    "exception_owners",
    "find_applied",
    "preview",
    "shard_owners",
    "version_conflict",
]
