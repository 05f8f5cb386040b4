"""The commands ``validate`` and ``preview``."""

from absl import flags
from returns.result import Failure, Result, Success

from fireflylink_core import BaseValue, Configuration, ReleaseNote
from fireflylink_decisions.releases import NotePreview, apply_note, preview
from fireflylink_operator_client._errors import ClientError
from fireflylink_operator_client._note_writer import client_error
from fireflylink_operator_client._output import Outcome, percent, plain, table
from fireflylink_operator_client._session import Session
from fireflylink_operator_client._verbs._base import BaseVerb, load_note

MAX_SHOWN_SHARDS = 8


class CheckedNote(BaseValue):
    """A note that applies to the stored configuration, and what it leads to."""

    __slots__ = ("configuration", "new_configuration", "note")

    def __init__(
        self, note: ReleaseNote, configuration: Configuration, new_configuration: Configuration
    ) -> None:
        self.note = note
        self.configuration = configuration
        self.new_configuration = new_configuration

    @property
    def repeated(self) -> bool:
        """Whether the note was applied before."""
        return self.configuration.version == self.new_configuration.version


def check_note(session: Session, path: str) -> Result[CheckedNote, ClientError]:
    """Checks a note against the stored configuration without writing anything."""
    loaded = load_note(path)
    if isinstance(loaded, Failure):
        return Failure(loaded.failure())
    note, _ = loaded.unwrap()
    found = session.repository.read_current()
    if isinstance(found, Failure):
        return Failure(found.failure())
    configuration = found.unwrap().configuration
    applied = apply_note(configuration, note, session.clock.wall_ms())
    if isinstance(applied, Failure):
        return Failure(client_error(applied.failure()))
    return Success(CheckedNote(note, configuration, applied.unwrap()))


class ValidateVerb(BaseVerb):
    """Tells whether a note would be accepted."""

    __slots__ = ()

    name = "validate"
    arguments = ("NOTE",)
    description = (
        "Checks a release note against the configuration in force, without writing anything. NOTE "
        "is a file, or - for standard input. Every problem is printed on a line of its own."
    )

    def run(
        self, session: Session, arguments: tuple[str, ...], values: flags.FlagValues
    ) -> Result[Outcome, ClientError]:
        return check_note(session, arguments[0]).map(_validated)


def _validated(checked: CheckedNote) -> Outcome:
    note = checked.note
    document = {
        "note_id": note.note_id,
        "valid": True,
        "already_applied": checked.repeated,
        "version": checked.new_configuration.version,
    }
    line = f"note {note.note_id} is valid and would make version {note.for_version + 1}"
    if checked.repeated:
        line = f"note {note.note_id} was applied before; applying it again changes nothing"
    return Outcome(document, [line])


class PreviewVerb(BaseVerb):
    """Shows what a note would change."""

    __slots__ = ()

    name = "preview"
    arguments = ("NOTE",)
    description = (
        "Shows what a release note would change, without writing anything: the entries, the shards "
        "that need another owner with the number of servers that may take them, and the part of "
        "each service's shards by data centre now, after these moves and once rebalancing ended."
    )

    def run(
        self, session: Session, arguments: tuple[str, ...], values: flags.FlagValues
    ) -> Result[Outcome, ClientError]:
        checked = check_note(session, arguments[0])
        if isinstance(checked, Failure):
            return Failure(checked.failure())
        return session.repository.read_tables().map(
            lambda tables: _previewed(
                preview(checked.unwrap().configuration, checked.unwrap().new_configuration, tables)
            )
        )


def _previewed(result: NotePreview) -> Outcome:
    lines = [f"version {result.from_version} -> {result.to_version}"]
    for heading, rows in (
        ("Entries", _entry_lines(result)),
        ("Shards that must move", _move_lines(result)),
        ("Part of the shards by data centre", _share_lines(result)),
        ("Largest part on one server", _load_lines(result)),
    ):
        lines += ["", f"{heading}:", *(rows or ["none"])]
    return Outcome(plain(result), lines, warnings=result.warnings)


def _entry_lines(result: NotePreview) -> list[str]:
    rows = [
        (entry.action, entry.section, entry.name, "; ".join(entry.details))
        for entry in result.entries
    ]
    return table(("action", "section", "name", "fields"), rows)


def _move_lines(result: NotePreview) -> list[str]:
    rows = [
        (
            moves.service,
            ", ".join(moves.from_servers) or "(no owner)",
            len(moves.indexes),
            _shown_indexes(moves.indexes),
            moves.exceptions,
            moves.candidates,
        )
        for moves in result.forced_moves
    ]
    return table(("service", "from", "shards", "indexes", "single keys", "candidates"), rows)


def _share_lines(result: NotePreview) -> list[str]:
    rows = [
        (
            share.service,
            share.data_centre,
            percent(share.before),
            percent(share.moved),
            percent(share.settled),
        )
        for share in result.load_shares
    ]
    return table(("service", "data centre", "now", "after moves", "settled"), rows)


def _load_lines(result: NotePreview) -> list[str]:
    rows = [
        (load.service, percent(load.before), percent(load.moved), percent(load.settled))
        for load in result.server_loads
    ]
    return table(("service", "now", "after moves", "settled"), rows)


def _shown_indexes(indexes: tuple[int, ...]) -> str:
    shown = " ".join(str(index) for index in indexes[:MAX_SHOWN_SHARDS])
    return f"{shown} ..." if len(indexes) > MAX_SHOWN_SHARDS else shown
