"""The command ``history``."""

import time

from absl import flags
from returns.result import Failure, Result, Success

from fireflylink_core import AppliedNote, ReleaseNote
from fireflylink_documents import encode_note, load_json
from fireflylink_operator_client._errors import ClientError, RefusedError, UsageError
from fireflylink_operator_client._output import Outcome, json_text, plain, table
from fireflylink_operator_client._session import Session
from fireflylink_operator_client._verbs._base import BaseVerb

DEFAULT_LIMIT = 20
MILLISECONDS_PER_SECOND = 1000


class HistoryVerb(BaseVerb):
    """Lists the latest notes, or shows one of them whole."""

    __slots__ = ()

    name = "history"
    optional_arguments = ("VERSION",)
    description = (
        "Lists the latest release notes, newest first. With VERSION it shows the whole note that "
        "made this version."
    )

    def define_flags(self, values: flags.FlagValues) -> None:
        flags.DEFINE_integer(
            "limit",
            DEFAULT_LIMIT,
            "How many notes to list.",
            lower_bound=1,
            flag_values=values,
        )

    def run(
        self, session: Session, arguments: tuple[str, ...], values: flags.FlagValues
    ) -> Result[Outcome, ClientError]:
        if arguments:
            return _one_note(session, arguments[0])
        current = session.repository.read_current()
        if isinstance(current, Failure):
            return Failure(current.failure())
        notes = current.unwrap().configuration.applied_notes
        return Success(_listed(notes[::-1][: values.limit]))


def _listed(notes: tuple[AppliedNote, ...]) -> Outcome:
    rows = [
        (note.version, local_time(note.applied_ms), note.author, note.note_id, note.summary)
        for note in notes
    ]
    lines = table(("version", "applied", "author", "note", "summary"), rows)
    return Outcome({"notes": plain(notes)}, lines or ["no note was applied yet"])


def _one_note(session: Session, argument: str) -> Result[Outcome, ClientError]:
    if not argument.isascii() or not argument.isdigit():
        return Failure(UsageError(f"VERSION must be a whole number, not {argument!r}"))
    version = int(argument)
    found = session.repository.read_history(version)
    if isinstance(found, Failure):
        return Failure(found.failure())
    note = found.unwrap()
    if note is None:
        return Failure(RefusedError(f"version {version}: its note is not in the history"))
    return Success(_shown(version, note))


def _shown(version: int, note: ReleaseNote) -> Outcome:
    document = load_json(encode_note(note))
    lines = [f"version {version}: note {note.note_id} by {note.author}", note.summary]
    for part in ("added", "changed", "withdrawn"):
        for section, entries in document[part].items():
            names = (
                entries.items() if isinstance(entries, dict) else ((name, "") for name in entries)
            )
            for name, fields in names:
                lines.append(
                    f"{part} {section} {name} {json_text(fields) if fields else ''}".rstrip()
                )
    return Outcome({"version": version, "note": document}, lines)


def local_time(wall_ms: int) -> str:
    """Returns a wall-clock time in milliseconds as local time."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(wall_ms // MILLISECONDS_PER_SECOND))
