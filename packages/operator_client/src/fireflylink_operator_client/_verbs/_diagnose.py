"""The command ``diagnose``."""

from collections import Counter
from collections.abc import Iterator

from absl import flags
from returns.result import Failure, Result, Success

from fireflylink_core import BaseValue, Configuration, OwnershipTable
from fireflylink_decisions.releases import shard_owners
from fireflylink_operator_client._errors import ClientError, ExitStatus
from fireflylink_operator_client._output import Outcome, plain, table
from fireflylink_operator_client._session import Session
from fireflylink_operator_client._verbs._base import BaseVerb
from fireflylink_operator_client._verbs._status import DaemonAnswers, ask_daemons


class Finding(BaseValue):
    """One thing that was looked at, and whether it is as it should be."""

    __slots__ = ("detail", "ok", "subject")

    def __init__(self, subject: str, ok: bool, detail: str) -> None:
        self.subject = subject
        self.ok = ok
        self.detail = detail


class DiagnoseVerb(BaseVerb):
    """Looks for what is not as the configuration demands."""

    __slots__ = ()

    name = "diagnose"
    description = (
        "Checks the platform, the daemons, the data centres, the ownership tables, the owners of "
        "all shards, and whether servers that drain or whose data centre is out still own shards. "
        "Exit status 3 means that something needs attention."
    )

    def run(
        self, session: Session, arguments: tuple[str, ...], values: flags.FlagValues
    ) -> Result[Outcome, ClientError]:
        findings: list[Finding] = []
        version = 0
        stored = _read_stored(session)
        if isinstance(stored, Failure):
            findings.append(Finding("platform", False, str(stored.failure())))
        else:
            configuration, tables = stored.unwrap()
            version = configuration.version
            findings.append(Finding("platform", True, f"configuration version {version}"))
            findings.extend(_shard_findings(configuration, tables))
            findings.extend(_leaving_findings(configuration, tables))
        asked = ask_daemons(session)
        if isinstance(asked, Failure):
            findings.append(Finding("daemons", False, str(asked.failure())))
        else:
            findings.extend(_daemon_findings(asked.unwrap(), version))
        return Success(_outcome(findings))


def _read_stored(
    session: Session,
) -> Result[tuple[Configuration, dict[str, OwnershipTable]], ClientError]:
    return session.repository.read_current().bind(
        lambda current: session.repository.read_tables().map(
            lambda tables: (current.configuration, tables)
        )
    )


def _shard_findings(
    configuration: Configuration, tables: dict[str, OwnershipTable]
) -> Iterator[Finding]:
    owned = Counter(key[0] for key in shard_owners(tables))
    for service in sorted(configuration.services.values(), key=lambda entry: entry.name):
        missing = service.shard_count - owned[service.name]
        detail = f"{missing} shards have no owner" if missing else "every shard has an owner"
        yield Finding(f"service {service.name}", not missing, detail)


def _leaving_findings(
    configuration: Configuration, tables: dict[str, OwnershipTable]
) -> Iterator[Finding]:
    owned = Counter(servers[0] for servers in shard_owners(tables).values() if len(servers) == 1)
    for server in sorted(configuration.servers.values(), key=lambda entry: entry.server_id):
        if not configuration.takes_new_work(server):
            count = owned[server.server_id]
            detail = f"takes no new work but owns {count} shards" if count else "owns no shards"
            yield Finding(f"server {server.server_id}", not count, detail)


def _daemon_findings(found: DaemonAnswers, version: int) -> Iterator[Finding]:
    for line in found.silent:
        yield Finding("daemon", False, line)
    for row in found.data_centres:
        detail = f"version {version} is in force"
        if not row.has_in_force(version):
            lagging = row.status.in_force.lagging if row.status else ()
            named = f"; lagging: {', '.join(lagging)}" if lagging else ""
            detail = f"version {version} is not in force everywhere{named}"
        yield Finding(f"data centre {row.data_centre}", row.has_in_force(version), detail)
        for name, entry in sorted(row.status.tables.items() if row.status else ()):
            if name.rpartition(".")[0] == row.data_centre:
                settled = entry.settled >= entry.version
                detail = f"version {entry.version}, settled {entry.settled}"
                yield Finding(f"table {name}", settled, detail)


def _outcome(findings: list[Finding]) -> Outcome:
    rows = [
        ("ok" if finding.ok else "attention", finding.subject, finding.detail)
        for finding in sorted(findings, key=lambda entry: entry.ok)
    ]
    healthy = all(finding.ok for finding in findings)
    status = ExitStatus.DONE if healthy else ExitStatus.NOT_CONFIRMED
    document = {"healthy": healthy, "findings": plain(findings)}
    return Outcome(document, table(("state", "subject", "detail"), rows), status)
