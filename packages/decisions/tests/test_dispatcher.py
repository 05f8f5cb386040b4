"""Choice of servers, order of dispatch, and refusal of requests."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, IsInstance, LessThan

from fireflylink_core import (
    NO_KEY,
    Assignment,
    BackendServer,
    KeyRange,
    OwnershipTable,
    ServerIncarnation,
    ServerLoad,
)
from fireflylink_decisions.dispatch import (
    Dispatched,
    Dispatcher,
    QueuedRequest,
    Refused,
    ServicePool,
)
from fireflylink_decisions.servers import ServerTracker, ServiceLimits, choose_server


def make_pool(names: list[str], keyed: bool, limits: ServiceLimits) -> ServicePool:
    pool = ServicePool(keyed, limits)
    for name in names:
        server = BackendServer(name, "holds", "127.0.0.1", 1, "kingston", 4, started_ms=1)
        pool.trackers[server.incarnation] = ServerTracker(server)
    return pool


@pytest.fixture
def unkeyed_dispatcher(limits) -> Dispatcher:
    dispatcher = Dispatcher()
    dispatcher.pools["holds"] = make_pool(["s1", "s2"], False, limits)
    return dispatcher


@pytest.fixture
def keyed_dispatcher(limits) -> Dispatcher:
    dispatcher = Dispatcher()
    pool = make_pool(["s1", "s2"], True, limits)
    pool.set_table(make_table(1), 0.0)
    dispatcher.pools["holds"] = pool
    return dispatcher


def make_table(fence: int, previous: tuple[ServerIncarnation, ...] = ()) -> OwnershipTable:
    low = Assignment(KeyRange(0, 999), ServerIncarnation("s1", 1), fence, previous)
    high = Assignment(KeyRange(1000, 65535), ServerIncarnation("s2", 1), fence)
    return OwnershipTable("holds", fence, (low, high))


def make_request(
    now: float, key: int = -1, priority: int = 1, seconds: float = 2.0
) -> QueuedRequest:
    return QueuedRequest("holds", priority, now, now + seconds, key)


def fill_servers(dispatcher: Dispatcher, now: float) -> list[Dispatched]:
    """Dispatches requests until no server accepts another one."""
    dispatched = []
    while True:
        request = make_request(now, key=5)
        result = dispatcher.submit(request, now)
        if not isinstance(result, Dispatched):
            dispatcher.cancel(request)
            return dispatched
        dispatched.append(result)


def test_a_keyed_request_goes_only_to_the_owner_of_its_key(keyed_dispatcher, clock):
    """Guards against running a request on a server that does not hold its key."""
    for key, owner in ((5, "s1"), (999, "s1"), (1000, "s2"), (65535, "s2")):
        result = keyed_dispatcher.submit(make_request(clock.now(), key), clock.now())
        assert_that(result.tracker.server.server_id, Equals(owner))


def test_a_request_for_a_moved_key_waits_for_the_notice_of_its_grant(keyed_dispatcher, clock):
    """Guards against sending requests to a new owner that has not been granted the key yet and can
    only decline them."""
    pool = keyed_dispatcher.pools["holds"]
    table = make_table(2, (ServerIncarnation("s2", 1),))
    pool.set_table(table, clock.now())
    request = make_request(clock.now(), 5)
    assert_that(keyed_dispatcher.submit(request, clock.now()), Is(None))
    assert_that(keyed_dispatcher.sweep(clock.now()), Equals([]))
    pool.confirmed_grants.add((KeyRange(0, 999), 2))
    [(dispatched_request, result)] = keyed_dispatcher.sweep(clock.now())
    assert_that(dispatched_request, Is(request))
    assert_that(result, IsInstance(Dispatched))


def test_the_new_owner_of_a_moved_key_is_tried_when_no_notice_arrives(keyed_dispatcher, clock):
    """Guards against a key that is not served because the datagram with the notice was lost."""
    keyed_dispatcher.pools["holds"].set_table(
        make_table(2, (ServerIncarnation("s2", 1),)), clock.now()
    )
    keyed_dispatcher.submit(make_request(clock.now(), 5), clock.now())
    clock.advance(0.7)
    [(_, result)] = keyed_dispatcher.sweep(clock.now())
    assert_that(result, IsInstance(Dispatched))


def test_a_request_for_a_key_without_an_owner_is_refused_soon(keyed_dispatcher, clock):
    """Guards against queueing a request until its deadline although no server can run it."""
    del keyed_dispatcher.pools["holds"].trackers[ServerIncarnation("s1", 1)]
    keyed_dispatcher.submit(make_request(clock.now(), 5), clock.now())
    clock.advance(0.3)
    [(_, result)] = keyed_dispatcher.sweep(clock.now())
    assert_that(result, IsInstance(Refused))
    assert_that(result.reason, Equals("no-owner"))


def test_an_owner_that_declined_a_key_gets_no_requests_for_a_while(keyed_dispatcher, clock):
    """Guards against spending the retry budget on a server that no longer holds its keys."""
    dispatched = keyed_dispatcher.submit(make_request(clock.now(), 5), clock.now())
    keyed_dispatcher.record_misdirected("holds", dispatched, clock.now())
    assert_that(keyed_dispatcher.submit(make_request(clock.now(), 5), clock.now()), Is(None))
    clock.advance(0.4)
    [(_, result)] = keyed_dispatcher.sweep(clock.now())
    assert_that(result, IsInstance(Dispatched))


def test_the_next_free_slot_goes_to_the_most_urgent_request(unkeyed_dispatcher, clock):
    """Guards against serving less urgent requests better than more urgent ones."""
    dispatched = fill_servers(unkeyed_dispatcher, clock.now())
    less_urgent = make_request(clock.now(), priority=2)
    more_urgent = make_request(clock.now(), priority=0)
    unkeyed_dispatcher.submit(less_urgent, clock.now())
    unkeyed_dispatcher.submit(more_urgent, clock.now())
    dispatched[0].tracker.record_completed()
    [(first, _)] = unkeyed_dispatcher.sweep(clock.now())
    assert_that(first, Is(more_urgent))


def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once(unkeyed_dispatcher, clock):
    """Guards against queueing a request although those ahead of it take longer than it can wait."""
    fill_servers(unkeyed_dispatcher, clock.now())
    for _ in range(30):
        unkeyed_dispatcher.submit(make_request(clock.now(), priority=0), clock.now())
    result = unkeyed_dispatcher.submit(
        make_request(clock.now(), priority=1, seconds=0.1), clock.now()
    )
    assert_that(result, IsInstance(Refused))
    assert_that(result.retry_after, GreaterThan(0.0))


def test_a_queued_request_is_refused_before_its_deadline(unkeyed_dispatcher, clock):
    """Guards against a refusal so late that the caller has no time left for a retry."""
    fill_servers(unkeyed_dispatcher, clock.now())
    request = make_request(clock.now(), seconds=1.0)
    unkeyed_dispatcher.submit(request, clock.now())
    clock.advance(0.55)
    for tracker in unkeyed_dispatcher.pools["holds"].trackers.values():
        # 4 requests are running and 16 waiting at a server with 4 slots.
        tracker.record_load(ServerLoad(4, 16, 4), clock.now())
    refused = [result for _, result in unkeyed_dispatcher.sweep(clock.now())]
    assert_that(refused[0], IsInstance(Refused))


def test_a_request_whose_caller_has_disconnected_is_not_dispatched(unkeyed_dispatcher, clock):
    """Guards against spending slots of servers on answers that nobody receives."""
    dispatched = fill_servers(unkeyed_dispatcher, clock.now())
    request = make_request(clock.now())
    unkeyed_dispatcher.submit(request, clock.now())
    unkeyed_dispatcher.cancel(request)
    dispatched[0].tracker.record_completed()
    assert_that(unkeyed_dispatcher.sweep(clock.now()), Equals([]))


def test_a_slow_server_gets_fewer_requests_than_a_fast_one(limits, clock):
    """Guards against distributing requests evenly when one server in three is 12 times slower."""
    pool = make_pool(["fast1", "fast2", "slow"], False, limits)
    counts = {"fast1": 0, "fast2": 0, "slow": 0}
    seconds = {"fast1": 0.1, "fast2": 0.1, "slow": 1.2}
    running: list[tuple[float, float, Dispatched]] = []
    dispatcher = Dispatcher()
    dispatcher.pools["holds"] = pool
    total = 0.0
    for _step in range(400):
        now = clock.now()
        for entry in [found for found in running if found[0] <= now]:
            running.remove(entry)
            entry[2].tracker.record_completed()
            entry[2].tracker.record_answer(now - entry[1], entry[2].queueing_factor, now)
        result = dispatcher.submit(make_request(now), now)
        if isinstance(result, Dispatched):
            name = result.tracker.server.server_id
            counts[name] += 1
            total += seconds[name]
            running.append((now + seconds[name], now, result))
        clock.advance(0.03)
    mean = total / sum(counts.values())
    # The second time printed is that of a round-robin distribution.
    print(f"mean time {mean:.2f} s, each in turn {sum(seconds.values()) / 3:.2f} s; {counts}")
    assert_that(counts["slow"], LessThan(counts["fast1"] / 5))
    assert_that(mean, LessThan(0.2))


def test_a_server_that_fails_requests_is_avoided_only_for_some_time(limits, clock):
    """Guards against sending as many requests to a server that fails them as to one that answers,
    because its load and speed are normal, and against never using it again."""
    pool = make_pool(["good", "failing"], False, limits)
    good, failing = pool.trackers.values()
    for _ in range(10):
        good.record_answer(0.12, 1.0, clock.now())
        failing.record_failure(clock.now())
    chosen = choose_server([good, failing], limits, clock.now(), frozenset())
    assert_that(chosen, Is(good))
    clock.advance(30.0)
    assert_that(failing.decayed_failure_rate(clock.now()), LessThan(0.01))


def test_a_retry_goes_to_another_server(limits, clock):
    """Guards against a second attempt at the server that has just declined the request."""
    pool = make_pool(["s1", "s2"], False, limits)
    for name in ("s1", "s2"):
        chosen = choose_server(list(pool.trackers.values()), limits, clock.now(), frozenset({name}))
        assert_that(chosen.server.server_id, Equals("s2" if name == "s1" else "s1"))


def test_requests_stay_in_the_daemons_data_centre_while_it_has_free_servers(limits, clock):
    """Guards against paid traffic between data centres while a server in the same one is free."""
    near = ServerTracker(BackendServer("near", "holds", "h", 1, "kingston", 4, started_ms=1))
    far = ServerTracker(BackendServer("far", "holds", "h", 2, "mandeville", 4, started_ms=1))
    assert_that(choose_server([far, near], limits, clock.now(), frozenset()), Is(near))
    for _ in range(9):
        near.record_sent(clock.now())
    assert_that(choose_server([far, near], limits, clock.now(), frozenset()), Is(far))


@pytest.mark.parametrize(
    ("objective_seconds", "expected"), [(0.6, "near"), (0.25, "far"), (-1.0, "far")]
)
def test_a_faster_server_elsewhere_is_used_only_where_it_saves_the_objective(
    objective_seconds, expected, limits, clock
):
    """Guards against paid traffic between data centres that buys no answer in time: the near server
    has all slots taken and is expected to answer within 0.3 s, the far one within 0.12 s."""
    now = clock.now()
    near = ServerTracker(BackendServer("near", "holds", "h", 1, "kingston", 4, started_ms=1))
    far = ServerTracker(BackendServer("far", "holds", "h", 2, "mandeville", 4, started_ms=1))
    near.idle_service_seconds = 0.24
    near.record_load(ServerLoad(4, 0, 4, 1.0), now)
    chosen = choose_server(
        [far, near], limits, now, frozenset(), objective_at=now + objective_seconds
    )
    assert_that(chosen.server.server_id, Equals(expected))


def test_a_near_server_that_fails_is_not_used_for_its_place(limits, clock):
    """Guards against requests that go on failing at home while a server elsewhere answers."""
    near = ServerTracker(BackendServer("near", "holds", "h", 1, "kingston", 4, started_ms=1))
    far = ServerTracker(BackendServer("far", "holds", "h", 2, "mandeville", 4, started_ms=1))
    for _ in range(4):
        near.record_failure(clock.now())
    chosen = choose_server(
        [far, near], limits, clock.now(), frozenset(), objective_at=clock.now() + 2.0
    )
    assert_that(chosen, Is(far))


def test_connections_to_a_server_stay_within_this_daemons_share(limits, clock):
    """Guards against connections that a server resets, because it accepts only 110 from all daemons
    together."""
    pool = make_pool(["s1"], False, limits)
    [tracker] = pool.trackers.values()
    tracker.server = tracker.server.replace(slots=1000)
    sent = 0
    while choose_server([tracker], limits, clock.now(), frozenset()) is not None:
        tracker.record_sent(clock.now())
        sent += 1
    assert_that(sent, LessThan(110 // 9 + 1))


def test_answers_with_a_queue_do_not_lower_the_service_time_of_a_server(clock):
    """Guards against a feedback loop: if times were divided by the expected queueing factor, the
    most loaded servers would look fast, and would be assigned still more keys."""
    server = BackendServer("s1", "holds", "h", 1, "kingston", 2, started_ms=1)
    tracker = ServerTracker(server)
    for _ in range(10):
        tracker.record_answer(0.2, 1.0, clock.now())
    before = tracker.idle_service_seconds
    for _ in range(20):
        reflects_speed = tracker.record_answer(0.6, 6.0, clock.now())
        assert_that(reflects_speed, Is(False))
    assert_that(abs(tracker.idle_service_seconds - before), LessThan(0.01))


def test_a_request_is_queued_although_its_server_is_slow_at_present(keyed_dispatcher, clock):
    """Guards against refusing requests at once because of a slowdown that has passed by the time
    they are sent: the speed of a machine changes many times a second."""
    [tracker, _] = keyed_dispatcher.pools["holds"].trackers.values()
    tracker.idle_service_seconds = 0.16
    # 4 requests are running and 6 waiting at a server with 4 slots, now 3 times slower than normal.
    tracker.record_load(ServerLoad(4, 6, 4, 3.0), clock.now())
    assert_that(
        keyed_dispatcher.submit(make_request(clock.now(), 5, seconds=1.2), clock.now()), Is(None)
    )


def test_a_request_that_misses_its_objective_waits_behind_one_that_meets_it(
    unkeyed_dispatcher, clock
):
    """Guards against an overload in which every request is answered late: if requests were
    dispatched by arrival, each would wait behind those that already miss their target latency."""
    dispatched = fill_servers(unkeyed_dispatcher, clock.now())
    older = QueuedRequest(
        "holds", 1, clock.now(), clock.now() + 2.0, objective_at=clock.now() + 0.2
    )
    assert_that(unkeyed_dispatcher.submit(older, clock.now()), Is(None))
    clock.advance(0.3)
    newer = QueuedRequest(
        "holds", 1, clock.now(), clock.now() + 2.0, objective_at=clock.now() + 0.5
    )
    assert_that(unkeyed_dispatcher.submit(newer, clock.now()), Is(None))
    dispatched[0].tracker.record_completed()
    [(served, _)] = unkeyed_dispatcher.sweep(clock.now())
    assert_that(served, Is(newer))


def test_a_more_urgent_request_comes_first_even_if_it_misses_its_objective(
    unkeyed_dispatcher, clock
):
    """Guards against serving less urgent requests better than more urgent ones."""
    dispatched = fill_servers(unkeyed_dispatcher, clock.now())
    urgent = QueuedRequest(
        "holds", 0, clock.now(), clock.now() + 2.0, objective_at=clock.now() + 0.1
    )
    assert_that(unkeyed_dispatcher.submit(urgent, clock.now()), Is(None))
    clock.advance(0.3)
    less_urgent = QueuedRequest(
        "holds", 1, clock.now(), clock.now() + 2.0, objective_at=clock.now() + 0.5
    )
    assert_that(unkeyed_dispatcher.submit(less_urgent, clock.now()), Is(None))
    dispatched[0].tracker.record_completed()
    [(served, _)] = unkeyed_dispatcher.sweep(clock.now())
    assert_that(served, Is(urgent))


def test_less_urgent_requests_leave_slots_for_expected_urgent_ones(keyed_dispatcher, clock):
    """Guards against urgent requests that miss their deadline because they queue at a server behind
    less urgent ones, for the server's own queue does not order by priority."""
    urgent = keyed_dispatcher.submit(make_request(clock.now(), 5, priority=0), clock.now())
    urgent.tracker.record_completed()
    less_urgent_count = 0
    while isinstance(
        keyed_dispatcher.submit(make_request(clock.now(), 5, priority=2), clock.now()), Dispatched
    ):
        less_urgent_count += 1
    # MAX_LOW_PRIORITY_REQUESTS_PER_SLOT, 1.5, times the 4 slots of the server.
    assert_that(less_urgent_count, Equals(6))
    assert_that(
        keyed_dispatcher.submit(make_request(clock.now(), 5, priority=0), clock.now()),
        IsInstance(Dispatched),
    )


def test_less_urgent_requests_use_all_slots_when_no_urgent_ones_arrive(keyed_dispatcher, clock):
    """Guards against idle slots that are kept free for urgent requests which do not arrive."""
    keyed_dispatcher.submit(
        make_request(clock.now(), 5, priority=0), clock.now()
    ).tracker.record_completed()
    clock.advance(4.0)
    less_urgent_count = 0
    while isinstance(
        keyed_dispatcher.submit(make_request(clock.now(), 5, priority=2), clock.now()), Dispatched
    ):
        less_urgent_count += 1
    # This daemon's share of the connections to the server is the limit.
    assert_that(less_urgent_count, Equals(9))


def test_an_answered_request_is_subtracted_once_from_the_reported_load(limits, clock):
    """Guards against a server that seems to have one more request of other daemons than it has."""
    tracker = make_pool(["s1"], False, limits).trackers[ServerIncarnation("s1", 1)]
    tracker.record_sent(clock.now())
    tracker.record_sent(clock.now())
    tracker.record_completed()
    tracker.record_load(ServerLoad(1, 0, 4), clock.now())
    assert_that(tracker.expected_load(clock.now()), Equals(1.0))


def test_a_request_without_a_key_waits_in_a_keyed_service(keyed_dispatcher, limits, clock):
    """Guards against *no-owner* for a request that any server of a keyed service may run."""
    for tracker in keyed_dispatcher.pools["holds"].trackers.values():
        tracker.in_flight = 100
    request = make_request(clock.now(), key=NO_KEY)
    assert_that(keyed_dispatcher.submit(request, clock.now()), Is(None))
    clock.advance(0.3)
    assert_that(keyed_dispatcher.sweep(clock.now()), Equals([]))
