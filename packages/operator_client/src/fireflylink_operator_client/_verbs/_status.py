"""The command ``status``."""

from absl import flags
from returns.result import Failure, Result, Success

from fireflylink_core import BaseValue
from fireflylink_operator_client._ask_all import ask_all, read_status
from fireflylink_operator_client._daemon_status import DaemonStatus
from fireflylink_operator_client._errors import ClientError, ExitStatus
from fireflylink_operator_client._output import Outcome, plain, table
from fireflylink_operator_client._session import Session
from fireflylink_operator_client._verbs._base import BaseVerb


class DataCentreStatus(BaseValue):
    """A data centre as its root sees it, or another daemon when the root does not answer."""

    __slots__ = ("answered", "data_centre", "listed", "status")

    def __init__(
        self, data_centre: str, listed: int, answered: int, status: DaemonStatus | None
    ) -> None:
        self.data_centre = data_centre
        self.listed = listed
        self.answered = answered
        self.status = status

    def has_in_force(self, version: int) -> bool:
        """Tells whether every member has a version in force."""
        return self.status is not None and self.status.in_force.confirms(version)


class StatusVerb(BaseVerb):
    """Shows the configuration's version and how far each data centre has it in force."""

    __slots__ = ()

    name = "status"
    description = (
        "Shows the version of the configuration, the data centres with the version that is in "
        "force there, and the ownership tables. Exit status: 0 when the version is in force "
        "everywhere, 3 when it is not, 4 when the platform does not answer."
    )

    def define_flags(self, values: flags.FlagValues) -> None:
        flags.DEFINE_bool("daemons", False, "Show every daemon.", flag_values=values)

    def run(
        self, session: Session, arguments: tuple[str, ...], values: flags.FlagValues
    ) -> Result[Outcome, ClientError]:
        return ask_daemons(session).map(
            lambda found: _outcome(
                session, found.data_centres, found.daemons if values.daemons else (), found.silent
            )
        )


class DaemonAnswers(BaseValue):
    """What the daemons answered; ``silent`` is a line for each that did not."""

    __slots__ = ("daemons", "data_centres", "silent")

    def __init__(
        self,
        daemons: tuple[DaemonStatus, ...],
        data_centres: tuple[DataCentreStatus, ...],
        silent: tuple[str, ...],
    ) -> None:
        self.daemons = daemons
        self.data_centres = data_centres
        self.silent = silent


def ask_daemons(session: Session) -> Result[DaemonAnswers, ClientError]:
    """Asks every daemon for its status."""
    found = session.directory.daemons()
    if isinstance(found, Failure):
        return Failure(found.failure())
    asked = ask_all(found.unwrap(), lambda entry: read_status(session.reader, entry))
    answers = tuple(answer.unwrap() for _, answer in asked if isinstance(answer, Success))
    silent = tuple(
        f"{address.data_centre} {address.label}: {answer.failure()}"
        for address, answer in asked
        if isinstance(answer, Failure)
    )
    listed: dict[str, int] = {}
    for address, _ in asked:
        listed[address.data_centre] = listed.get(address.data_centre, 0) + 1
    rows = tuple(_data_centre(name, listed[name], answers) for name in sorted(listed))
    return Success(DaemonAnswers(answers, rows, silent))


def _data_centre(name: str, listed: int, answers: tuple[DaemonStatus, ...]) -> DataCentreStatus:
    members = [answer for answer in answers if answer.data_centre == name]
    roots = [answer for answer in members if answer.instance_id == answer.root]
    chosen = next(iter((*roots, *members)), None)
    return DataCentreStatus(name, listed, len(members), chosen)


def _outcome(
    session: Session,
    rows: tuple[DataCentreStatus, ...],
    daemons: tuple[DaemonStatus, ...],
    warnings: tuple[str, ...],
) -> Outcome:
    current = session.repository.read_current()
    document = {"data_centres": plain(rows), "daemons": plain(daemons)}
    if isinstance(current, Failure):
        warnings = (*warnings, str(current.failure()))
        version, note, status = 0, "", current.failure().exit_status
    else:
        configuration = current.unwrap().configuration
        version = configuration.version
        last = configuration.applied_notes[-1] if configuration.applied_notes else None
        note = f", note {last.note_id} by {last.author}" if last else ""
        confirmed = all(row.has_in_force(version) for row in rows)
        status = ExitStatus.DONE if confirmed else ExitStatus.NOT_CONFIRMED
    document["version"] = version
    heading = f"configuration version {version}{note}" if version else "configuration unknown"
    lines = [heading, "", *_data_centre_lines(rows), "", *_table_lines(rows)]
    lines += ["", *_daemon_lines(daemons)] if daemons else []
    return Outcome(document, lines, status, warnings)


def _data_centre_lines(rows: tuple[DataCentreStatus, ...]) -> list[str]:
    headings = ("data centre", "answered", "root", "version", "confirmed", "lagging", "platform")
    cells = []
    for row in rows:
        found = row.status
        answered = f"{row.answered}/{row.listed}"
        if found is None:
            cells.append((row.data_centre, answered, "-", "-", "-", "-", "-"))
            continue
        counted = found.in_force
        cells.append(
            (
                row.data_centre,
                answered,
                found.root or "-",
                str(counted.version),
                f"{counted.confirmed}/{counted.members}",
                ", ".join(counted.lagging) or "-",
                "reachable" if found.platform_reachable else "unreachable",
            )
        )
    return table(headings, cells)


def _table_lines(rows: tuple[DataCentreStatus, ...]) -> list[str]:
    found = {
        name: entry
        for row in rows
        if row.status is not None
        for name, entry in row.status.tables.items()
        if name.rpartition(".")[0] == row.data_centre
    }
    return table(
        ("table", "version", "settled", "authority ms"),
        [
            (name, found[name].version, found[name].settled, found[name].authority_ms)
            for name in sorted(found)
        ],
    )


def _daemon_lines(daemons: tuple[DaemonStatus, ...]) -> list[str]:
    rows = [
        (
            daemon.data_centre,
            daemon.instance_id,
            daemon.configuration_version,
            "leaving" if daemon.leaving else "live",
            "reachable" if daemon.platform_reachable else "unreachable",
        )
        for daemon in sorted(daemons, key=lambda entry: (entry.data_centre, entry.instance_id))
    ]
    return table(("data centre", "daemon", "version", "state", "platform"), rows)
