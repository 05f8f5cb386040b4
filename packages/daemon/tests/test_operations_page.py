"""The operators' page names every event that a daemon logs."""

import pathlib
import re

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains

ROOT = pathlib.Path(__file__).parents[3]
SOURCES = sorted((ROOT / "packages" / "daemon" / "src").glob("**/*.py"))
CALL = re.compile(r"log_(?:event|problem)\(\s*\"([a-z-]+)\"")
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
EVENTS = sorted({name for path in SOURCES for name in CALL.findall(path.read_text())})


@pytest.mark.parametrize("event", EVENTS)
def test_the_page_explains_the_event(event):
    """Guards against a line in the log that an on-call engineer cannot look up."""
    assert_that(PAGE, Contains(f"`{event}`"))
