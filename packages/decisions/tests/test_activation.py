"""Guards when a gateway starts to serve a shard that it was given."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from fireflylink_core import HandoverRequest, HandoverShard, ServerGroup, ShardRecord
from fireflylink_decisions.activation import ShardActivation, ShardPhase, ShardView
from fireflylink_decisions.authority import FENCE_WAIT, Authority, AuthorityBook
from fireflylink_decisions.ownership import NO_RELEASE

TABLE = "kingston.keep"
SHARD = ("holds", 7)
IDENTITY = (SHARD, False)
START = 100.0
READY = START + FENCE_WAIT
HELD = {TABLE: 9}


def _view(
    version: int = 4,
    epoch: int = 2,
    gateway_version: int = 1,
    previous_gateway: str | None = None,
    group_id: str = "holds-1",
) -> ShardView:
    record = ShardRecord(group_id, epoch, version, 0, "test", previous_group="holds-0")
    group = ServerGroup(group_id, "holds", (group_id,), "a", 3, gateway_version, previous_gateway)
    return ShardView(TABLE, SHARD, False, record, group, ((TABLE, version),))


@pytest.fixture
def book() -> AuthorityBook:
    """Authority of a majority for the newest version of the table."""
    book = AuthorityBook()
    book.add(Authority(TABLE, 9, READY + 10, True), START)
    return book


@pytest.fixture
def activation() -> ShardActivation:
    """A daemon whose servers do not check grants."""
    return ShardActivation("a", START, lambda _servers: False)


def test_moved_shard_waits_until_the_change_is_settled(
    activation: ShardActivation, book: AuthorityBook
) -> None:
    """The former owner may still hold a grant (P1)."""
    activation.take_views({IDENTITY: _view()}, READY)
    assert_that(activation.activate(book, {TABLE: 3}, HELD, READY), HasLength(0))
    assert_that(activation.activate(book, {TABLE: 4}, HELD, READY), HasLength(1))


def test_shard_starts_at_once_when_its_former_gateway_released_it(
    activation: ShardActivation, book: AuthorityBook
) -> None:
    """A planned move would show callers the whole fence wait."""
    activation.take_views({IDENTITY: _view()}, READY)
    released = HandoverShard(SHARD, False, epoch=2, gateway_epoch=3, floor_ms=0)
    activation.handovers.take(HandoverRequest("b", TABLE, 4, (released,)))
    assert_that(activation.activate(book, {}, HELD, READY), HasLength(1))


def test_release_for_an_earlier_term_starts_nothing(
    activation: ShardActivation, book: AuthorityBook
) -> None:
    """A release that arrives late would admit a second owner (P1)."""
    activation.take_views({IDENTITY: _view(epoch=3)}, READY)
    released = HandoverShard(SHARD, False, epoch=2, gateway_epoch=3, floor_ms=0)
    activation.handovers.take(HandoverRequest("b", TABLE, 4, (released,)))
    assert_that(activation.activate(book, {}, HELD, READY), HasLength(0))


def test_restarted_daemon_is_silent_for_the_fence_wait(
    activation: ShardActivation, book: AuthorityBook
) -> None:
    """Before its restart the same instance may have released the shard (P1)."""
    activation.take_views({IDENTITY: _view(version=1)}, START)
    assert_that(activation.activate(book, {TABLE: 9}, HELD, READY - 0.01), HasLength(0))
    assert_that(activation.activate(book, {TABLE: 9}, HELD, READY), HasLength(1))


@pytest.mark.parametrize(("checks", "started"), [(True, 1), (False, 0)])
def test_new_gateway_starts_before_settlement_only_if_servers_refuse_the_former_one(
    book: AuthorityBook, checks: bool, started: int
) -> None:
    """A server that does not check grants would take requests of two gateways (P1, P3)."""
    activation = ShardActivation("a", START, lambda _servers: checks)
    view = _view(version=2, gateway_version=8, previous_gateway=NO_RELEASE)
    activation.take_views({IDENTITY: view}, READY)
    assert_that(activation.activate(book, {TABLE: 2}, HELD, READY), HasLength(started))


def test_new_gateway_waits_for_the_request_ids_of_one_that_leaves(book: AuthorityBook) -> None:
    """Without them it would answer new requests as if they may have run before (P9)."""
    activation = ShardActivation("a", START, lambda _servers: True)
    view = _view(version=2, gateway_version=8, previous_gateway="b")
    activation.take_views({IDENTITY: view}, READY)
    assert_that(activation.activate(book, {TABLE: 2}, HELD, READY), HasLength(0))
    assert_that(activation.activate(book, {TABLE: 8}, HELD, READY), HasLength(1))


def test_shard_without_authority_is_not_started(activation: ShardActivation) -> None:
    """A daemon that is cut off would start what others have taken over (P1)."""
    activation.take_views({IDENTITY: _view(version=1)}, READY)
    assert_that(activation.activate(AuthorityBook(), {TABLE: 9}, HELD, READY), HasLength(0))


def test_shard_that_was_served_under_another_term_is_released_first(
    activation: ShardActivation, book: AuthorityBook
) -> None:
    """Requests in flight of the former term would meet those of the new one (P1)."""
    activation.take_views({IDENTITY: _view()}, READY)
    activation.activate(book, {TABLE: 9}, HELD, READY)
    released = activation.take_views({IDENTITY: _view(epoch=5, group_id="holds-2")}, READY)
    assert_that([view.group.group_id for view in released], Equals(["holds-1"]))
    assert_that(activation.activate(book, {TABLE: 9}, HELD, READY), HasLength(0))
    activation.finish_release(IDENTITY)
    assert_that(activation.activate(book, {TABLE: 9}, HELD, READY), HasLength(1))
    assert_that(activation.phase(IDENTITY), Is(ShardPhase.SERVING))


def test_shard_that_was_started_by_a_takeover_is_released_only_when_settled(
    book: AuthorityBook,
) -> None:
    """The former gateway may still serve the shard that would be released (P1)."""
    activation = ShardActivation("a", START, lambda _servers: True)
    view = _view(version=2, gateway_version=8, previous_gateway="b")
    activation.take_views({IDENTITY: view}, READY)
    activation.activate(book, {TABLE: 2}, HELD, READY)
    assert_that(activation.is_entitled(view, {TABLE: 7}), Is(False))
    assert_that(activation.is_entitled(view, {TABLE: 8}), Is(True))
