"""The log lines that make up the history of one key."""

from collections.abc import Iterable

from fireflylink_operator_client._log_lines import LogLine

KEY_EVENTS = frozenset({"keys-granted", "keys-released", "hold-ended", "command-failed"})
"""Events with the range of keys that they are about."""

SERVICE_EVENTS = frozenset(
    {
        "ownership-planned",
        "ownership-written",
        "ownership-not-written",
        "ownership-went-back",
        "ownership-sweep-started",
        "ownership-sweep-done",
        "former-decider-stopped",
    }
)
"""Events about all keys of a service."""

SERVER_EVENTS = frozenset({"server-restarted"})
"""Events about one server, part of the history of the keys that it was granted."""

DAEMON_EVENTS = frozenset(
    {
        "started",
        "stopped",
        "exit",
        "decider-won",
        "decider-lost",
        "decider-superseded",
        "decider-claim-refused",
        "store-restored",
        "log-lines-dropped",
    }
)
"""Events about a daemon that matter for all services."""

HISTORY_EVENTS = KEY_EVENTS | SERVICE_EVENTS | SERVER_EVENTS | DAEMON_EVENTS


def key_history(lines: Iterable[LogLine], service: str, key: int) -> list[LogLine]:
    """Returns the lines about a key of a service, in the order of ``lines``."""
    candidates = [line for line in lines if _may_be_about(line, service, key)]
    server_ids = {
        line.server.server_id
        for line in candidates
        if line.event in KEY_EVENTS and line.server is not None
    }
    return [
        line
        for line in candidates
        if line.event not in SERVER_EVENTS
        or (line.server is not None and line.server.server_id in server_ids)
    ]


def _may_be_about(line: LogLine, service: str, key: int) -> bool:
    if line.event in DAEMON_EVENTS:
        return True
    if line.field("service") != service:
        return False
    if line.event in KEY_EVENTS:
        return line.keys is not None and line.keys.first <= key <= line.keys.last
    return line.event in SERVICE_EVENTS or line.event in SERVER_EVENTS
