"""The operators' commands: each is a function that yields the lines to print."""

from collections.abc import Iterator

from fireflylink_core import LAST_KEY, ServerIncarnation
from fireflylink_operator_client._errors import OperatorError
from fireflylink_operator_client._system_view import SystemView
from fireflylink_store import era_of, number_of


def status_lines(view: SystemView) -> Iterator[str]:
    """Yields a summary of the system's state."""
    configuration = view.configuration
    version = f"version {configuration.version}" if configuration else "none"
    yield f"store revision     {number_of(view.revision)}, era {era_of(view.revision)}"
    yield f"configuration      {version}"
    yield f"daemons            {', '.join(sorted(m.instance for m in view.members)) or 'none'}"
    yield f"decider            {view.decider.instance if view.decider else 'none'}"
    yield f"evacuated          {', '.join(sorted(view.evacuated)) or 'none'}"
    for service in configuration.services if configuration else ():
        servers = [server for server in view.servers if server.service == service.name]
        ready = sum(server.state.value == "ready" for server in servers)
        kind = "with keys" if service.keyed else "pooled"
        yield f"service            {service.name}, {kind}: {ready} of {len(servers)} servers ready"
    for update in view.unreadable:
        yield f"unreadable         {update.key}: {update.problem}"


def owner_lines(view: SystemView, service: str, key: int | None) -> Iterator[str]:
    """Yields the owners of all keys of a service, or only the owner of ``key``.

    Raises ``OperatorError`` if the service has no ownership table or the key is out of range.
    """
    table = view.tables.get(service)
    if table is None:
        services = ", ".join(sorted(view.tables)) or "none"
        raise OperatorError(f"{service!r} has no ownership table; services with one: {services}")
    if key is not None and not 0 <= key <= LAST_KEY:
        raise OperatorError(f"the key must be from 0 to {LAST_KEY}")
    registered = {server.incarnation for server in view.servers}
    yield f"{service}: fence {table.fence}, {len(table.assignments)} ranges"
    for assignment in table.assignments:
        if key is not None and not assignment.keys.first <= key <= assignment.keys.last:
            continue
        notes = _assignment_notes(assignment.previous_holders, assignment.owner in registered)
        yield f"  {assignment.keys!s:>12}  {assignment.owner}  fence {assignment.fence}{notes}"


def _assignment_notes(previous_holders: tuple[ServerIncarnation, ...], is_registered: bool) -> str:
    notes = "" if is_registered else "  NOT REGISTERED"
    if previous_holders:
        notes += f"  on its way from {', '.join(map(str, previous_holders))}"
    return notes


def request_log_lines(request_id: str, logs: list[str]) -> Iterator[str]:
    """Yields every log line of a request, sorted by time. ``logs`` are the contents of the files.

    Raises ``OperatorError`` if there is no such line.
    """
    marker = f"request={request_id}"
    matching = sorted(line for log in logs for line in log.splitlines() if marker in line.split())
    if not matching:
        raise OperatorError(
            f"no line names request {request_id}: it did not reach a daemon whose log was given, "
            "or the lines were dropped (look for event=log-lines-dropped)"
        )
    yield from matching
