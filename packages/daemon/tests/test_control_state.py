"""Guards what a daemon tells its parent about the configuration."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from fireflylink_core import Member
from fireflylink_daemon._control_state import ControlState
from fireflylink_daemon._document_cache import DocumentCache
from fireflylink_documents import DocumentSigner


def test_status_query_does_not_freeze_the_reported_version() -> None:
    """A daemon that was asked for its status went on to report the version it had then.

    The root replaced the version that the daemon's Sync stated by that one, so a note was not
    confirmed for as long as nobody asked the daemon again.
    """
    myself = Member("kingston-1", "kingston", "127.0.0.1", 1, 2)
    state = ControlState(myself, DocumentCache(DocumentSigner(b"0123456789abcdef")), 0.0)
    counted = state.in_force()
    assert_that((counted.members, counted.confirmed), Equals((0, 0)))
    state.directory.hear(myself, 1.0)
    counted = state.in_force()
    assert_that((counted.members, counted.confirmed), Equals((1, 1)))
    assert_that(state.sync_request(1.0).progress, Equals(()))
