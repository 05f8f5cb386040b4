"""The command ``apply``."""

from absl import flags
from returns.result import Failure, Result, Success

from fireflylink_operator_client._confirmation import DataCentreReport, wait_until_in_force
from fireflylink_operator_client._errors import ClientError, ExitStatus
from fireflylink_operator_client._note_writer import NoteWriter, WrittenNote
from fireflylink_operator_client._output import Outcome, plain, table
from fireflylink_operator_client._session import Session
from fireflylink_operator_client._verbs._base import BaseVerb, load_note

DEFAULT_WAIT_SECONDS = 10.0


class ApplyVerb(BaseVerb):
    """Writes a note and waits until it is in force."""

    __slots__ = ()

    name = "apply"
    arguments = ("NOTE",)
    description = (
        "Applies a release note, then waits until every data centre has it in force. Applying a "
        "note again is safe: it changes nothing and waits again. Exit status: 0 in force "
        "everywhere, 1 refused, 2 another operator's change came first, 3 written but not "
        "confirmed everywhere, 4 platform unavailable and nothing written, 5 it is not known "
        "whether it was written."
    )

    def define_flags(self, values: flags.FlagValues) -> None:
        flags.DEFINE_float(
            "wait_seconds",
            DEFAULT_WAIT_SECONDS,
            "How long to wait for the data centres; 0 asks each once.",
            lower_bound=0.0,
            flag_values=values,
        )

    def run(
        self, session: Session, arguments: tuple[str, ...], values: flags.FlagValues
    ) -> Result[Outcome, ClientError]:
        loaded = load_note(arguments[0])
        if isinstance(loaded, Failure):
            return Failure(loaded.failure())
        note, payload = loaded.unwrap()
        writer = NoteWriter(session.repository, session.clock, note, payload)
        return writer.write().map(
            lambda written: _confirmed(session, note.note_id, written, values.wait_seconds)
        )


def _confirmed(
    session: Session, note_id: str, written: WrittenNote, wait_seconds: float
) -> Outcome:
    found = session.directory.daemons()
    reports: tuple[DataCentreReport, ...] = ()
    warnings = written.warnings
    if isinstance(found, Success):
        deadline = session.clock.now() + wait_seconds
        reports = wait_until_in_force(
            written.configuration,
            found.unwrap(),
            session.reader,
            written.version,
            session.clock,
            deadline,
        )
    else:
        warnings = (*warnings, f"the daemons are not known: {found.failure()}")
    in_force = bool(reports) and all(entry.in_force or not entry.waited for entry in reports)
    verb = "was applied before as" if written.repeated else "is written as"
    lines = [f"note {note_id} {verb} version {written.version}", *_report_lines(reports)]
    lines.append("in force everywhere" if in_force else "not confirmed everywhere")
    document = {
        "note_id": note_id,
        "version": written.version,
        "already_applied": written.repeated,
        "in_force": in_force,
        "data_centres": plain(reports),
    }
    status = ExitStatus.DONE if in_force else ExitStatus.NOT_CONFIRMED
    return Outcome(document, lines, status, warnings)


def _report_lines(reports: tuple[DataCentreReport, ...]) -> list[str]:
    rows = [
        (
            report.data_centre,
            _state(report),
            f"{report.confirmed}/{report.members}",
            f"{report.seconds:.1f}",
            ", ".join(report.lagging) or "-",
            report.detail,
        )
        for report in reports
    ]
    return table(("data centre", "state", "confirmed", "seconds", "not confirmed", "detail"), rows)


def _state(report: DataCentreReport) -> str:
    if report.in_force:
        return "in force"
    return "not confirmed" if report.waited else "not waited for"
