"""Recognition of requests that crash servers."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_core import CallerRequest, ServerIncarnation
from fireflylink_decisions.poison import PoisonRegistry, fingerprint_of


def make_request(body: bytes = b"body", target: str = "/a", request_id: str = "1") -> CallerRequest:
    return CallerRequest(request_id, "h", "PUT", target, (), body, 0.0, 1.0, 5)


@pytest.fixture
def registry() -> PoisonRegistry:
    return PoisonRegistry()


def test_a_request_is_refused_after_it_has_crashed_three_servers(registry, clock):
    """Guards against BUDGET: a request that goes on crashing servers."""
    poison = fingerprint_of(make_request())
    for number in range(3):
        assert_that(registry.is_poison(poison, clock.now()), Is(False))
        registry.record_crash(poison, ServerIncarnation(f"s{number}", 1), clock.now())
    assert_that(registry.is_poison(poison, clock.now()), Is(True))


def test_one_crash_that_several_daemons_report_counts_once(registry, clock):
    """Guards against a bystander that is refused after a single crash."""
    seen = fingerprint_of(make_request())
    for _ in range(5):
        registry.record_crash(seen, ServerIncarnation("s1", 1), clock.now())
    assert_that(registry.is_poison(seen, clock.now()), Is(False))


def test_the_same_request_has_the_same_fingerprint_under_any_id():
    """Guards against a request that is new each time because its id is."""
    same = fingerprint_of(make_request(request_id="2"))
    assert_that(fingerprint_of(make_request()), Equals(same))
    for other in (make_request(body=b"x"), make_request(target="/b")):
        assert_that(fingerprint_of(other) == same, Is(False))


def test_old_crashes_are_forgotten(registry, clock):
    """Guards against a request that is refused for ever."""
    poison = fingerprint_of(make_request())
    for number in range(3):
        registry.record_crash(poison, ServerIncarnation(f"s{number}", 1), clock.now())
    clock.advance(61.0)
    assert_that(registry.is_poison(poison, clock.now()), Is(False))


def test_memory_is_bounded(registry, clock):
    """Guards against memory that grows with every reset connection."""
    for number in range(5000):
        registry.record_crash(number.to_bytes(8, "big"), ServerIncarnation("s", 1), clock.now())
    assert_that(len(registry.suspects), Equals(2000))
