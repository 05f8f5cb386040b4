"""The commands, each from its input to the lines that it prints."""

from collections.abc import Iterator

from fireflylink_core import LAST_KEY, ServerIncarnation
from fireflylink_operator_client._errors import OperatorError
from fireflylink_operator_client._system_view import SystemView


def status_lines(view: SystemView) -> Iterator[str]:
    """Yields the state of the system in few lines."""
    configuration = view.configuration
    version = f"version {configuration.version}" if configuration else "none"
    yield f"store revision     {view.revision}"
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
    """Yields the owners of the keys of a service, or that of one key."""
    table = view.tables.get(service)
    if table is None:
        known = ", ".join(sorted(view.tables)) or "none"
        raise OperatorError(f"{service!r} has no ownership table; services with one: {known}")
    if key is not None and not 0 <= key <= LAST_KEY:
        raise OperatorError(f"the key must be from 0 to {LAST_KEY}")
    present = {server.incarnation for server in view.servers}
    yield f"{service}: fence {table.fence}, {len(table.assignments)} ranges"
    for assignment in table.assignments:
        if key is not None and not assignment.keys.first <= key <= assignment.keys.last:
            continue
        notes = _notes(assignment.previous_holders, assignment.owner in present)
        yield f"  {assignment.keys!s:>12}  {assignment.owner}  fence {assignment.fence}{notes}"


def _notes(previous: tuple[ServerIncarnation, ...], registered: bool) -> str:
    notes = "" if registered else "  NOT REGISTERED"
    if previous:
        notes += f"  on its way from {', '.join(map(str, previous))}"
    return notes


def history_lines(request_id: str, logs: list[str]) -> Iterator[str]:
    """Yields every line of the logs that names a request, in the order of their times."""
    marker = f"request={request_id}"
    found = sorted(line for log in logs for line in log.splitlines() if marker in line.split())
    if not found:
        raise OperatorError(
            f"no line names request {request_id}: it did not reach a daemon whose log was given, "
            "or the lines were dropped (look for event=log-lines-dropped)"
        )
    yield from found
