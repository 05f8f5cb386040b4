"""Lets the test command pass over exactly the tests that KNOWN-RED.txt names, and prints them."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
TEST_PREFIX = "packages/"


def _known_red() -> frozenset[str]:
    """Returns the node ids at the start of the lines of the file."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(line.split()[0] for line in lines if line.startswith(TEST_PREFIX))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the named tests as expected to fail; they still run and their outcome is shown."""
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


def pytest_report_header() -> list[str]:
    """Prints the tests that are passed over."""
    return [f"known red: {nodeid}" for nodeid in sorted(_known_red())]
