"""Detection of requests that crash servers."""

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


def test_a_request_is_refused_after_crashing_three_servers(registry, clock):
    """Guards against a request that crashes one server after another."""
    poison = fingerprint_of(make_request())
    for number in range(3):
        assert_that(registry.is_poison(poison, clock.now()), Is(False))
        registry.record_crash(poison, ServerIncarnation(f"s{number}", 1), clock.now())
    assert_that(registry.is_poison(poison, clock.now()), Is(True))


def test_a_crash_reported_by_several_daemons_counts_once(registry, clock):
    """Guards against refusing a harmless request that ran beside a poisonous one at a single crash,
    which several daemons reported."""
    fingerprint = fingerprint_of(make_request())
    for _ in range(5):
        registry.record_crash(fingerprint, ServerIncarnation("s1", 1), clock.now())
    assert_that(registry.is_poison(fingerprint, clock.now()), Is(False))


def test_the_fingerprint_does_not_depend_on_the_request_id():
    """Guards against a poisonous request that is not recognised because a retry has another id."""
    retry_fingerprint = fingerprint_of(make_request(request_id="2"))
    assert_that(fingerprint_of(make_request()), Equals(retry_fingerprint))
    for other in (make_request(body=b"x"), make_request(target="/b")):
        assert_that(fingerprint_of(other) == retry_fingerprint, Is(False))


def test_old_crashes_do_not_count(registry, clock):
    """Guards against refusing a request for ever, although the servers no longer crash."""
    poison = fingerprint_of(make_request())
    for number in range(3):
        registry.record_crash(poison, ServerIncarnation(f"s{number}", 1), clock.now())
    clock.advance(61.0)
    assert_that(registry.is_poison(poison, clock.now()), Is(False))


def test_the_number_of_suspects_is_bounded(registry, clock):
    """Guards against unbounded memory use: every reset connection could add a fingerprint."""
    for number in range(5000):
        registry.record_crash(number.to_bytes(8, "big"), ServerIncarnation("s", 1), clock.now())
    assert_that(len(registry.suspects), Equals(2000))
