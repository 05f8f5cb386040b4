"""The command ``watch``."""

from typing import Any

from absl import flags
from returns.result import Failure, Result, Success

from fireflylink_core import OwnershipTable
from fireflylink_documents import decode_table, table_changes
from fireflylink_operator_client._errors import ClientError
from fireflylink_operator_client._output import Outcome
from fireflylink_operator_client._repository import CURRENT_KEY, OWNERSHIP_PREFIX
from fireflylink_operator_client._session import Session
from fireflylink_operator_client._store import StoredEntry
from fireflylink_operator_client._verbs._base import BaseVerb
from fireflylink_operator_client._verbs._history import local_time
from fireflylink_operator_client._watch import WatchEvent, follow


class WatchVerb(BaseVerb):
    """Prints a line for each change of the configuration and of ownership."""

    __slots__ = ()

    name = "watch"
    description = (
        "Prints a line for each new version of the configuration and of the ownership tables, "
        "until it is interrupted."
    )

    def define_flags(self, values: flags.FlagValues) -> None:
        flags.DEFINE_integer(
            "changes",
            0,
            "Stop after so many lines; 0 goes on until interrupted.",
            lower_bound=0,
            flag_values=values,
        )

    def run(
        self, session: Session, arguments: tuple[str, ...], values: flags.FlagValues
    ) -> Result[Outcome, ClientError]:
        printer = _ChangePrinter(session, values.changes)
        follow(session.repository.store, (CURRENT_KEY, OWNERSHIP_PREFIX), printer.handle)
        return Success(Outcome({}, ()))


class _ChangePrinter:
    """Turns events into lines; it holds the latest version of each table."""

    __slots__ = ("limit", "printed", "session", "tables")

    def __init__(self, session: Session, limit: int) -> None:
        self.session = session
        self.limit = limit
        self.printed = 0
        self.tables: dict[str, OwnershipTable] = {}

    def handle(self, event: WatchEvent) -> bool:
        """Prints an event and tells whether to go on."""
        if event.entry is None:
            self._emit({"problem": event.problem}, f"platform unavailable: {event.problem}")
        elif event.entry.key == CURRENT_KEY:
            self._configuration(event.entry)
        else:
            self._table(event.entry)
        return not self.limit or self.printed < self.limit

    def _configuration(self, entry: StoredEntry) -> None:
        found = self.session.repository.decode_current(entry)
        if isinstance(found, Failure):
            self._emit({"problem": str(found.failure())}, str(found.failure()))
            return
        configuration = found.unwrap().configuration
        notes = configuration.applied_notes[-1:]
        shown = "".join(f", note {note.note_id} by {note.author}: {note.summary}" for note in notes)
        document: dict[str, Any] = {"configuration_version": configuration.version}
        for note in notes:
            document.update(note_id=note.note_id, author=note.author, summary=note.summary)
        self._emit(document, f"configuration version {configuration.version}{shown}")

    def _table(self, entry: StoredEntry) -> None:
        found = self.session.repository.decode(entry, decode_table)
        if isinstance(found, Failure):
            self._emit({"problem": str(found.failure())}, str(found.failure()))
            return
        table = found.unwrap()
        former = self.tables.get(table.table_id)
        self.tables[table.table_id] = table
        changes = table_changes(former, table) if former else None
        document = {
            "table": table.table_id,
            "version": table.version,
            "changed_shards": len(changes.shards) if changes else len(table.shards),
            "changed_groups": len(changes.groups) if changes else len(table.groups),
        }
        counts = f"{document['changed_shards']} shards, {document['changed_groups']} groups"
        word = "changed" if changes else "in it"
        self._emit(document, f"table {table.table_id} version {table.version}: {counts} {word}")

    def _emit(self, document: dict[str, Any], line: str) -> None:
        now_ms = self.session.clock.wall_ms()
        self.session.emit({"time_ms": now_ms, **document}, f"{local_time(now_ms)} {line}")
        self.printed += 1
