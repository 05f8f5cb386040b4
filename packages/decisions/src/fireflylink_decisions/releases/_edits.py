"""Checks of a note's entries against the configuration, and their effect on it."""

import re
from collections.abc import Iterator, Mapping
from typing import Any

from fireflylink_core import BackendServer, Configuration, DataCentreState, ReleaseNote, ServerState

SECTIONS = ("data_centres", "services", "servers")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
RESERVED_SERVICE_NAMES = frozenset({"request-ids"})

FIXED_FIELDS: Mapping[str, Mapping[str, str]] = {
    "data_centres": {},
    "services": {
        "kind": "a service that is keyed has owners for its keys, a pooled one has none",
        "shard_count": "it would give most keys another owner at once",
        "isolation": "its shards would move to other tables while their gateways hold grants",
    },
    "servers": {
        "service": "a name stands for one server of one service",
        "data_centre": "a name stands for one server in one place",
        "host": "grants are given to a name, so a name stands for one process",
        "port": "grants are given to a name, so a name stands for one process",
    },
}


def edit_problems(configuration: Configuration, note: ReleaseNote) -> Iterator[str]:
    """Yields what is wrong with the entries of a note, one line each."""
    if not any(getattr(part, section) for part in _parts(note) for section in SECTIONS):
        yield "note: must add, change or withdraw something"
    for section in SECTIONS:
        yield from _added_problems(configuration, note, section)
        yield from _changed_problems(configuration, note, section)
        yield from _withdrawn_problems(configuration, note, section)
    yield from _service_name_problems(note)
    yield from _early_withdrawal_problems(configuration, note)


def edited(configuration: Configuration, note: ReleaseNote, section: str) -> dict[str, Any]:
    """Returns the entries of a section with the note's edits."""
    entries = dict(getattr(configuration, section))
    entries.update(getattr(note.added, section))
    for name, changes in getattr(note.changed, section).items():
        entries[name] = entries[name].replace(**changes)
    for name in getattr(note.withdrawn, section):
        del entries[name]
    return entries


def _parts(note: ReleaseNote) -> tuple[Any, ...]:
    return (note.added, note.changed, note.withdrawn)


def _added_problems(configuration: Configuration, note: ReleaseNote, section: str) -> Iterator[str]:
    for name in getattr(note.added, section):
        if name in getattr(configuration, section):
            yield f"added.{section}.{name}: exists already; change it or choose another name"
        if not NAME_PATTERN.fullmatch(name):
            yield (
                f"added.{section}.{name}: a name has 1 to 100 letters, digits, dots, hyphens and "
                "underscores and starts with a letter or digit"
            )


def _service_name_problems(note: ReleaseNote) -> Iterator[str]:
    for name in note.added.services:
        if name in RESERVED_SERVICE_NAMES:
            yield f"added.services.{name}: is a path of the daemons; choose another name"


def _changed_problems(
    configuration: Configuration, note: ReleaseNote, section: str
) -> Iterator[str]:
    entries = getattr(configuration, section)
    for name, changes in getattr(note.changed, section).items():
        place = f"changed.{section}.{name}"
        if name not in entries:
            yield f"{place}: does not exist; known {section}: {_shown(entries)}"
            continue
        if name in getattr(note.withdrawn, section):
            yield f"{place}: is withdrawn by the same note"
        for field, value in changes.items():
            reason = FIXED_FIELDS[section].get(field)
            if reason and value != getattr(entries[name], field):
                yield f"{place}.{field}: cannot be changed, because {reason}"


def _withdrawn_problems(
    configuration: Configuration, note: ReleaseNote, section: str
) -> Iterator[str]:
    entries = getattr(configuration, section)
    for name in getattr(note.withdrawn, section):
        if name not in entries:
            yield f"withdrawn.{section}: {name} does not exist; known {section}: {_shown(entries)}"


def _early_withdrawal_problems(configuration: Configuration, note: ReleaseNote) -> Iterator[str]:
    """Yields the servers that would be withdrawn while they run requests."""
    for name in note.withdrawn.servers:
        server = configuration.servers.get(name)
        if server is None or server.service in note.withdrawn.services:
            continue
        if _takes_work(configuration, server):
            yield (
                f"withdrawn.servers: {name} is in service; apply a note that changes its state to "
                "draining first, so that no request in flight is cut off"
            )


def _takes_work(configuration: Configuration, server: BackendServer) -> bool:
    data_centre = configuration.data_centres.get(server.data_centre)
    if data_centre is None or data_centre.state is not DataCentreState.IN:
        return False
    return server.state is ServerState.IN


def _shown(entries: Mapping[str, Any], limit: int = 10) -> str:
    names = sorted(entries)
    further = len(names) - limit
    text = ", ".join(names[:limit]) or "none"
    return f"{text} and {further} more" if further > 0 else text
