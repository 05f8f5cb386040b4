"""Shared configuration and tables for the tests of release notes."""

import pytest

from fireflylink_core import (
    AppliedNote,
    BackendServer,
    Configuration,
    DataCentre,
    OwnershipTable,
    ServerGroup,
    ServerState,
    Service,
    ServiceKind,
    ShardRecord,
)

NOW_MS = 1_700_000_000_000


def server(name: str, data_centre: str = "kingston", port: int = 9000) -> BackendServer:
    """Returns a server of the service holds; its number is added to the port."""
    return BackendServer(name, "holds", data_centre, "127.0.0.1", port + int(name[-2:]), 4, 110)


@pytest.fixture
def configuration() -> Configuration:
    """Version 7: one service in two data centres with two servers each, one of them draining."""
    servers = [server("holds-01"), server("holds-02"), server("holds-03", "mandeville")]
    draining = server("holds-04", "mandeville").replace(state=ServerState.DRAINING)
    return Configuration(
        version=7,
        data_centres={
            name: DataCentre(name, "jm-south") for name in ("kingston", "mandeville", "spare")
        },
        services={"holds": Service("holds", ServiceKind.KEYED, ("kingston", "mandeville"), 8)},
        servers={entry.server_id: entry for entry in (*servers, draining)},
        applied_notes=(AppliedNote("note-7", 7, "erin", NOW_MS, "Earlier change", "digest-7"),),
    )


@pytest.fixture
def tables() -> dict[str, OwnershipTable]:
    """Each of three servers owns shards: 01 four, 02 three, 03 one."""
    groups = {
        name: ServerGroup(name, "holds", (name,), "i-1", 1, 1)
        for name in ("holds-01", "holds-02", "holds-03")
    }
    owners = ["holds-01"] * 4 + ["holds-02"] * 3
    shards = {
        ("holds", index): ShardRecord(owner, 1, 1, NOW_MS, "first")
        for index, owner in enumerate(owners)
    }
    last = {("holds", 7): ShardRecord("holds-03", 1, 1, NOW_MS, "first")}
    exceptions = {("holds", 16): ShardRecord("holds-01", 1, 1, NOW_MS, "hot")}
    return {
        "kingston.keep": OwnershipTable(
            "kingston.keep", 1, "w-1", ("i-1",), groups, shards, exceptions
        ),
        "mandeville.keep": OwnershipTable("mandeville.keep", 1, "w-2", ("i-2",), groups, last, {}),
    }
