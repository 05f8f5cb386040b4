"""Servers that ask for a pause: choice, queueing, refusal and the return of requests."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, IsInstance, LessThan

from fireflylink_core import Assignment, KeyRange, OwnershipTable, SendWindow, ServerIncarnation
from fireflylink_decisions.dispatch import (
    Dispatched,
    Dispatcher,
    QueuedRequest,
    Refused,
    ServicePool,
)
from fireflylink_decisions.servers import (
    CAUTION_SECONDS,
    MAX_RETURN_SPREAD_SECONDS,
    RELEASE_SECONDS,
    PauseLimiter,
    ServerTracker,
    offset_fraction,
)

INTERVAL_SECONDS = 0.2


@pytest.fixture
def make_dispatcher(limits, server_factory):
    """Makes a dispatcher with ``count`` servers; keys below 1000 belong to s0, the others to s1."""

    def make(count: int, keyed: bool = False) -> Dispatcher:
        pool = ServicePool(keyed, limits)
        for number in range(count):
            server = server_factory(f"s{number}")
            pool.trackers[server.incarnation] = ServerTracker(server)
        low = Assignment(KeyRange(0, 999), ServerIncarnation("s0", 1), 1)
        high = Assignment(KeyRange(1000, 65535), ServerIncarnation("s1", 1), 1)
        pool.set_table(OwnershipTable("holds", 1, (low, high)), 0.0)
        dispatcher = Dispatcher()
        dispatcher.pools["holds"] = pool
        return dispatcher

    return make


def pause(dispatcher: Dispatcher, name: str, until: float, now: float) -> ServerTracker:
    pool = dispatcher.pools["holds"]
    tracker = pool.trackers[ServerIncarnation(name, 1)]
    tracker.pause_limiter.start(until, now, INTERVAL_SECONDS, 0.5)
    pool.record_pause(tracker)
    return tracker


def make_request(now: float, key: int = -1, seconds: float = 2.0) -> QueuedRequest:
    return QueuedRequest("holds", 1, now, now + seconds, key)


def sweep_until(dispatcher: Dispatcher, clock, end: float) -> list[float]:
    """Sweeps at intervals; returns when requests were dispatched."""
    dispatched_at = []
    while clock.now() < end:
        results = dispatcher.sweep(clock.now())
        for _, result in results:
            if isinstance(result, Dispatched):
                dispatched_at.append(clock.now())
                result.tracker.record_completed()
        clock.advance(0.02)
    return dispatched_at


def test_pauses_overlap_lengthen_and_end_but_are_not_shortened():
    """Guards against requests inside a pause: an answer that states an earlier end may have been
    given before the one that states the later end, and has only arrived after it."""
    limiter = PauseLimiter(SendWindow())
    assert_that(limiter.start(9.0, 10.0, INTERVAL_SECONDS, 0.0), Is(False))
    assert_that(limiter.start(12.0, 10.0, INTERVAL_SECONDS, 0.0), Is(True))
    assert_that(limiter.start(11.0, 10.1, INTERVAL_SECONDS, 0.0), Is(False))
    assert_that(limiter.send_window.opens_at, Equals(12.0))
    assert_that(limiter.start(13.0, 11.0, INTERVAL_SECONDS, 0.0), Is(True))
    assert_that(limiter.send_window.is_open(12.9), Is(False))
    assert_that(limiter.send_window.is_open(13.0), Is(True))


def test_work_goes_to_servers_without_a_pause(make_dispatcher, clock):
    """Guards against requests that wait, or are refused, although most servers take them; here the
    paused ones come first in the order of this daemon, and fill all groups that are compared."""
    dispatcher = make_dispatcher(100)
    ranked = dispatcher.pools["holds"].ranking().ranked
    paused = {tracker.server.server_id for tracker in ranked[:70]}
    for name in paused:
        pause(dispatcher, name, clock.now() + 2.0, clock.now())
    results = [dispatcher.submit(make_request(clock.now()), clock.now()) for _ in range(60)]
    assert_that({type(result) for result in results}, Equals({Dispatched}))
    used = {result.tracker.server.server_id for result in results}
    assert_that(used & paused, Equals(set()))


@pytest.mark.parametrize("keyed", [False, True])
def test_a_request_that_outlasts_no_pause_is_refused_at_once(make_dispatcher, clock, keyed):
    """Guards against holding a request that cannot be served in its time, and against callers that
    return inside the pause, or all in one instant after it."""
    dispatcher = make_dispatcher(2, keyed)
    pause(dispatcher, "s0", clock.now() + 3.0, clock.now())
    pause(dispatcher, "s1", clock.now() + 4.0, clock.now())
    results = [dispatcher.submit(make_request(clock.now(), 5), clock.now()) for _ in range(500)]
    assert_that(
        {(type(result), result.reason) for result in results}, Equals({(Refused, "paused")})
    )
    waits = [result.retry_after for result in results]
    assert_that(min(waits), GreaterThan(2.99))
    assert_that(max(waits), LessThan(3.0 + RELEASE_SECONDS + MAX_RETURN_SPREAD_SECONDS))
    assert_that(len(set(waits)), GreaterThan(50))


@pytest.mark.parametrize("keyed", [False, True])
def test_queued_requests_return_after_the_pause_and_not_in_one_instant(
    make_dispatcher, clock, keyed
):
    """Guards against requests of the queue inside a pause, and all of them at its end."""
    dispatcher = make_dispatcher(1, keyed)
    ends_at = clock.now() + 0.6
    pause(dispatcher, "s0", ends_at, clock.now())
    for _ in range(8):
        result = dispatcher.submit(make_request(clock.now(), 5, 6.0), clock.now())
        assert_that(result, Is(None))
    dispatched_at = sweep_until(dispatcher, clock, ends_at + 2.0)
    assert_that(len(dispatched_at), Equals(8))
    assert_that(min(dispatched_at), GreaterThan(ends_at))
    soon = [time for time in dispatched_at if time < ends_at + INTERVAL_SECONDS]
    assert_that(len(soon), Equals(1))


def test_a_lengthened_pause_of_an_owner_refuses_what_waits_for_it(make_dispatcher, clock):
    """Guards against requests that wait for an owner until their time is over (two pauses of the
    owner of a hot key), and against a pause that reaches the keys of other owners."""
    dispatcher = make_dispatcher(2, keyed=True)
    first_end = clock.now() + 0.5
    tracker = pause(dispatcher, "s0", first_end, clock.now())
    assert_that(dispatcher.submit(make_request(clock.now(), 5), clock.now()), Is(None))
    assert_that(
        dispatcher.submit(make_request(clock.now(), 5000), clock.now()), IsInstance(Dispatched)
    )
    pause(dispatcher, "s0", first_end + 2.0, clock.now())
    [(_, result)] = dispatcher.sweep(clock.now())
    assert_that((result.reason, result.retry_after > 2.5), Equals(("paused", True)))
    assert_that(tracker.queued, Equals(0))
    clock.advance(first_end + 2.2 - clock.now())
    assert_that(
        dispatcher.submit(make_request(clock.now(), 5), clock.now()), IsInstance(Dispatched)
    )


def test_a_server_that_asked_for_a_pause_gets_no_requests_to_queue(make_dispatcher, clock):
    """Guards against one pause after the other: a server that turns requests away when its slots
    are in use is given as many as one that queues them."""
    dispatcher = make_dispatcher(1, keyed=True)
    tracker = pause(dispatcher, "s0", clock.now() + 0.5, clock.now())
    clock.advance(1.0)
    for _ in range(20):
        dispatcher.submit(make_request(clock.now(), 5), clock.now())
    assert_that(tracker.in_flight, Equals(tracker.server.slots))
    clock.advance(CAUTION_SECONDS)
    for _ in range(20):
        dispatcher.submit(make_request(clock.now(), 5), clock.now())
    assert_that(tracker.in_flight, GreaterThan(tracker.server.slots))


def test_daemons_return_to_a_server_at_different_times():
    """Guards against one instant at which the requests of all daemons reach a paused server."""
    offsets = [offset_fraction(f"front-{number}", "i-1") for number in range(195)]
    busiest = max(sum(int(offset * 20) == slot for offset in offsets) for slot in range(20))
    assert_that(busiest, LessThan(25))
