"""Shared values for the tests of the documents."""

import pytest

from fireflylink_core import (
    AppliedNote,
    BackendServer,
    Configuration,
    DataCentre,
    OwnershipTable,
    ServerGroup,
    Service,
    ServiceKind,
    ShardRecord,
)
from fireflylink_documents import DocumentSigner

GROUPS = 21
SHARDS = 4096


@pytest.fixture
def configuration() -> Configuration:
    """A configuration with one of each entry."""
    return Configuration(
        version=7,
        data_centres={"kingston": DataCentre("kingston", "jm-south")},
        services={"holds": Service("holds", ServiceKind.KEYED, ("kingston",))},
        servers={
            "holds-01": BackendServer("holds-01", "holds", "kingston", "127.0.0.1", 9001, 4, 110)
        },
        applied_notes=(AppliedNote("note-1", 7, "dana", 1_700_000_000_000, "First servers"),),
    )


@pytest.fixture
def large_table() -> OwnershipTable:
    """A table with thousands of shards."""
    groups = {
        f"holds-{n:02}": ServerGroup(f"holds-{n:02}", "holds", (f"holds-{n:02}",), "i-0a1b", n, 3)
        for n in range(GROUPS)
    }
    shards = {
        ("holds", index): ShardRecord(
            f"holds-{index % GROUPS:02}", 3, 12, 1_700_000_000_000 + index, "rebalance"
        )
        for index in range(SHARDS)
    }
    return OwnershipTable("kingston.keep", 12, "write-12", ("i-0a1b",), groups, shards, {})


@pytest.fixture
def signer() -> DocumentSigner:
    """A signer under a test key."""
    return DocumentSigner(b"0123456789abcdef0123456789abcdef")
