"""Each check finds a planted violation, and finds nothing in what is allowed."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from fireflylink_soak import LEFT, LOST, CalmPeriod, Reply, ServerEvent, check_all

CALM = CalmPeriod(100.0, 110.0, 100.0, frozenset({"p1-1"}))
SUCCESS = 200
NOT_RUN = 503
NO_ROUTE = 404


def order(request="a", *, status=SUCCESS, at=1.0, ended_at=None, body=None, path="/orders/1"):
    received = f"p0-1 {request} x".encode() if body is None and status == SUCCESS else body or b""
    return Reply(request, path, at, ended_at or at + 0.1, 0, 77, b"x", status, received)


def event(what, server="p0-1", at=1.0, **fields):
    return ServerEvent(server, {"what": what, "at": at, **fields})


def ran(request="a", server="p0-1", at=1.0, key=-1):
    return event("ran", server, at, request=request, key=key)


def granted(server, first, last, fence, at, until, **fields):
    return event("granted", server, at, keys=(first, last), fence=fence, until=until, **fields)


def at_work(server, start, end, key):
    """Returns the begin and the end of one execution of a request."""
    begin = event("ran", server, start, request="a", key=key, run=1)
    return [begin, event("finished", server, end, request="a", key=key, run=1)]


def promises_broken(replies=(), events=()):
    ordered = sorted(events, key=lambda recorded: recorded.at)
    return [violation.promise for violation in check_all(list(replies), ordered, CALM)]


TWO_HOLDERS = [granted("k0-1", 0, 9, 1, 1.0, 4.0), granted("k1-1", 5, 9, 2, 3.0, 6.0)]

RELEASED_AT_WORK = [
    granted("k0-1", 0, 9, 1, 1.0, 4.0),
    *at_work("k0-1", 1.5, 3.0, key=4),
    event("released", "k0-1", 2.0, keys=(0, 9), fence=2),
]

PLANTED = {
    "given while at work": ([], [*RELEASED_AT_WORK, granted("k1-1", 4, 4, 2, 2.9, 5.9)]),
    "rising fences": (
        [],
        [granted("k0-1", 0, 9, 2, 1.0, 2.0), granted("k1-1", 9, 9, 2, 3.0, 6.0)],
    ),
    "own answer": ([order(body=b"p0-1 b x")], [ran()]),
    "at most once": ([order()], [ran(), ran(server="p1-2")]),
    "true refusal": ([order(status=NOT_RUN)], [ran(at=9.0)]),
    "one owner": ([], TWO_HOLDERS),
    "no older version": (
        [order(path="/version/3/x"), order("b", at=2.0, path="/version/3/x", status=NO_ROUTE)],
        [ran()],
    ),
    "cold limit": (
        [],
        [
            event("started", at=0.0, until=3.0),
            *(ran(f"r{number}", at=1.0 + number / 100) for number in range(17)),
        ],
    ),
    "retry budget": (
        [order(path="/lookup/1")],
        [event("rejected", at=1.0 + number / 100, request="a") for number in range(70)],
    ),
    "planned stop": ([order(status=LOST, at=101.0)], [ran(at=101.0)]),
    "drained": ([], [event("draining", at=101.0), ran(at=103.1)]),
    "evacuated": ([], [ran(server="p1-1", at=105.1)]),
    "callers that left": (
        [order(f"r{number}", status=LEFT, at=101.0) for number in range(4)],
        [ran(f"r{number}", at=101.7) for number in range(4)],
    ),
}


@pytest.mark.parametrize("promise", PLANTED)
def test_a_planted_violation_is_found(promise):
    """Guards against a check that cannot fail."""
    replies, events = PLANTED[promise]
    assert_that(promises_broken(replies, events), Equals([promise]))


ALLOWED = {
    "an answer": ([order()], [ran()]),
    "a repeat that may be": ([order(path="/lookup/1")], [ran(), ran(server="p1-2")]),
    "a refusal of what did not run": ([order(status=NOT_RUN)], [event("rejected", request="a")]),
    "a holder that has ended": ([], [*TWO_HOLDERS, event("ended", "k0-1", at=2.9)]),
    "a holder that has released": (
        [],
        [*TWO_HOLDERS, event("released", "k0-1", at=2.9, keys=(5, 9), fence=2)],
    ),
    "a short overlap without requests": (
        [],
        [granted("k0-1", 0, 9, 1, 1.0, 3.4), granted("k1-1", 0, 9, 2, 3.0, 6.0)],
    ),
    "a grant after the work has ended": (
        [],
        [*RELEASED_AT_WORK, granted("k1-1", 0, 9, 2, 3.1, 6.1)],
    ),
    "a grant of other keys than those at work": (
        [],
        [*RELEASED_AT_WORK, granted("k1-1", 5, 9, 2, 2.5, 5.5)],
    ),
    "a grant after the hold of a server at work has run out": (
        [],
        [
            granted("k0-1", 0, 9, 1, 1.0, 4.0),
            *at_work("k0-1", 1.5, 9.0, key=4),
            granted("k1-1", 0, 9, 2, 4.1, 7.1),
        ],
    ),
    "a grant after the end of a server at work": (
        [],
        [*RELEASED_AT_WORK, event("ended", "k0-1", 2.3), granted("k1-1", 0, 9, 2, 2.4, 5.4)],
    ),
    "a grant that was taken late": (
        [],
        [*RELEASED_AT_WORK, granted("k1-1", 0, 9, 1, 2.9, 5.2, arrived_at=2.2)],
    ),
    "a grant whose sender was paused": (
        [],
        [
            *RELEASED_AT_WORK,
            event("resumed", "front-0", 2.2),
            granted("k1-1", 0, 9, 1, 2.9, 5.9),
        ],
    ),
    "another process of the same server under the same fence": (
        [],
        [
            granted("k0-1", 0, 9, 1, 1.0, 4.0),
            event("ended", "k0-1", 2.0),
            granted("k0-1.1", 0, 9, 1, 2.5, 5.5),
        ],
    ),
    "a version that is not yet in force": (
        [
            order("b", path="/version/3/x", status=NO_ROUTE),
            order(at=2.0, path="/version/3/x"),
        ],
        [ran()],
    ),
    "a warm server": ([], [ran(f"r{number}", at=1.0 + number / 100) for number in range(50)]),
    "a request that crosses the close": ([order(status=LOST, at=101.0)], []),
    "a lost answer while faults are injected": ([order(status=LOST, at=50.0)], [ran(at=50.0)]),
    "a request within the time for draining": ([], [event("draining", at=101.0), ran(at=102.9)]),
    "a request within the time for evacuation": ([], [ran(server="p1-1", at=104.9)]),
    "a caller that left after its request ran": (
        [order(f"r{number}", status=LEFT, at=101.0) for number in range(4)],
        [ran(f"r{number}", at=101.05) for number in range(4)],
    ),
}


@pytest.mark.parametrize("case", ALLOWED)
def test_what_is_allowed_is_not_reported(case):
    """Guards against a check that reports what the promises allow."""
    replies, events = ALLOWED[case]
    assert_that(promises_broken(replies, events), Equals([]))


@pytest.mark.parametrize(
    "excuse",
    [event("resumed", "front-0", 1.8), event("resumed", "p0-1", 2.8)],
    ids=["a pause long before", "a pause of another server"],
)
def test_only_a_grant_that_a_pause_held_up_is_excused(excuse):
    """Guards against a check that any paused process of the run switches off."""
    events = [
        event("started", "p0-1", 0.0),
        *RELEASED_AT_WORK,
        excuse,
        granted("k1-1", 0, 9, 2, 2.9, 5.9),
    ]
    assert_that(promises_broken(events=events), Equals(["given while at work"]))


def test_both_holders_running_requests_are_reported_however_short_the_overlap():
    """Guards against two owners that serve a key within the time that an idle overlap may have."""
    events = [
        granted("k0-1", 0, 9, 1, 1.0, 3.2),
        granted("k1-1", 0, 9, 2, 3.0, 6.0),
        ran("a", "k0-1", 3.1, key=4),
        ran("b", "k1-1", 3.1, key=4),
    ]
    assert_that(promises_broken(events=events), Equals(["one owner"]))
