"""Route lookup and traffic splitting."""

import random

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from fireflylink_core import CallerLimits, Configuration, RequestKind, Route, RouteTarget
from fireflylink_decisions.routing import RouteTable, TrafficSplitter


def make_route(name: str, prefix: str, *targets: RouteTarget, host: str = "a.example") -> Route:
    return Route(name, host, prefix, RequestKind.ONCE, targets, 1000.0, 500.0)


def make_table(*routes: Route) -> RouteTable:
    return RouteTable(Configuration(1, routes, (), CallerLimits()))


def test_the_longest_matching_prefix_of_the_host_applies():
    """Guards against using the route of a shorter prefix or of another host."""
    table = make_table(
        make_route("short", "/a/"), make_route("long", "/a/b/"), make_route("root", "/")
    )
    for path, name in (("/a/b/c", "long"), ("/a/bc", "short"), ("/a/b", "short"), ("/x", "root")):
        assert_that(table.find("a.example", path).name, Equals(name))
    assert_that(table.find("b.example", "/a/b/c"), Is(None))


def test_the_route_lookup_agrees_with_a_linear_search():
    """Guards against a wrong route from ``RouteTable.find``: compares it with a linear search over
    the prefixes of all routes."""
    rng = random.Random(2)
    segments = ["a", "b", "cc", "d1"]
    prefixes = {
        "/" + "".join(f"{rng.choice(segments)}/" for _ in range(rng.randrange(4)))
        for _ in range(350)
    }
    table = make_table(*(make_route(prefix, prefix) for prefix in prefixes))
    for _ in range(500):
        path = "/" + "/".join(rng.choice(segments) for _ in range(rng.randrange(1, 6)))
        expected = max((p for p in prefixes if path.startswith(p)), key=len, default=None)
        found = table.find("a.example", path)
        assert_that(found.name if found else None, Equals(expected))


def test_a_split_is_proportional_over_any_20_requests():
    """Guards against proportions that are wrong by 0.06 or more over 20 requests."""
    route = make_route("r", "/", RouteTarget("x", 70.0), RouteTarget("y", 30.0))
    splitter = TrafficSplitter()
    chosen = [splitter.choose(route) for _ in range(200)]
    for start in range(0, 180, 10):
        fraction = chosen[start : start + 20].count("x") / 20
        assert_that(abs(fraction - 0.7), LessThan(0.06))


def test_changed_targets_apply_from_the_next_request():
    """Guards against a split that keeps the proportions of the former targets."""
    splitter = TrafficSplitter()
    for _ in range(7):
        splitter.choose(make_route("r", "/", RouteTarget("x", 90.0), RouteTarget("y", 10.0)))
    changed = make_route("r", "/", RouteTarget("y", 90.0), RouteTarget("z", 10.0))
    chosen = [splitter.choose(changed) for _ in range(20)]
    assert_that(chosen.count("y"), Equals(18))
