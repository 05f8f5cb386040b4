"""Guards the example notes, which operators copy."""

from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from fireflylink_core import EMPTY_CONFIGURATION, Configuration, ReleaseNote
from fireflylink_decisions.releases import apply_note
from fireflylink_documents import decode_note

EXAMPLES = Path(__file__).parents[3] / "examples"
NOW_MS = 1_700_000_000_000


def read_example(name: str) -> ReleaseNote:
    """Returns the note in an example file."""
    return decode_note((EXAMPLES / name).read_bytes()).unwrap()


@pytest.mark.parametrize(
    ("name", "servers", "slots", "connections"),
    [
        ("association.json", {"availability": 16, "holds": 8, "bookings": 6}, 4, 110),
        ("press.json", {"fortune-texts": 21, "lot-approvals": 10, "print-orders": 6}, 2, 45),
    ],
)
def test_first_note_describes_its_user(
    name: str, servers: dict[str, int], slots: int, connections: int
) -> None:
    """The first configuration must hold every server with its limits."""
    configuration = apply_note(EMPTY_CONFIGURATION, read_example(name), NOW_MS).unwrap()
    counts = {service: len(configuration.servers_of(service)) for service in servers}
    limits = {(server.slots, server.connections) for server in configuration.servers.values()}
    assert_that(counts, Equals(servers))
    assert_that(len(configuration.data_centres), Equals(3))
    assert_that(limits, Equals({(slots, connections)}))


def test_changes_apply_one_after_the_other() -> None:
    """A note that operators copy must be accepted."""
    configuration: Configuration = EMPTY_CONFIGURATION
    names = {path.name for path in EXAMPLES.glob("*.json")} - {"press.json", "settings.json"}
    notes = sorted((read_example(name) for name in names), key=lambda note: note.for_version)
    for note in notes:
        configuration = apply_note(configuration, note, NOW_MS).unwrap()
    assert_that(configuration.version, Equals(len(notes)))
