"""Guards servers against requests that crash them, and other requests against being blamed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is

from fireflylink_decisions.admission import (
    CrashEvidence,
    CrashReport,
    PoisonDetector,
    Suspicion,
)
from fireflylink_decisions.admission._poison_detector import MAX_FINGERPRINTS


@pytest.fixture
def detector() -> PoisonDetector:
    return PoisonDetector()


def crash(
    detector: PoisonDetector, fingerprints: list[str], now: float, sent_at: float | None = None
) -> None:
    """Loses the connections of a server and confirms that it crashed."""
    sent = now - 0.1 if sent_at is None else sent_at
    detector.connection_lost("s1", "g", fingerprints, sent, now)
    detector.restarted("s1", now + 0.01)


def test_second_crash_blocks_the_request_and_clears_the_bystander(
    detector: PoisonDetector,
) -> None:
    """The request would crash one server after the other; a bystander must not be refused."""
    crash(detector, ["bad", "bystander"], 1.0)
    assert_that(detector.suspicion("bystander", 2.0), Is(Suspicion.SUSPECT))
    detector.ran_alone("bystander")
    assert_that(detector.suspicion("bystander", 2.0), Is(Suspicion.NONE))
    crash(detector, ["bad"], 3.0)
    assert_that(detector.suspicion("bad", 4.0), Is(Suspicion.BLOCKED))


def test_bystander_of_two_crashes_is_not_blocked(detector: PoisonDetector) -> None:
    """Popular requests are in flight at most crashes and would be refused everywhere."""
    crash(detector, ["bad", "popular"], 1.0)
    crash(detector, ["other", "popular"], 2.0)
    assert_that(detector.suspicion("popular", 3.0), Is(Suspicion.SUSPECT))


def test_lost_connection_without_a_crash_blames_nobody(detector: PoisonDetector) -> None:
    """Packet loss between data centres would otherwise get requests refused."""
    for now in (1.0, 2.0):
        detector.connection_lost("s1", "g", ["read"], now - 0.1, now)
        assert_that(detector.suspicion("read", now), Is(Suspicion.SUSPECT))
        detector.answered("s1", "g", now + 0.1)
        assert_that(detector.suspicion("read", now), Is(Suspicion.NONE))


def test_answer_from_before_the_loss_does_not_close_the_case(detector: PoisonDetector) -> None:
    """An answer that was under way when the server crashed says nothing about the crash."""
    detector.connection_lost("s1", "g", ["bad"], 0.9, 1.0)
    detector.answered("s1", "g", sent_at=0.95)
    assert_that(detector.suspicion("bad", 1.1), Is(Suspicion.SUSPECT))


def test_two_crashes_before_a_reply_of_the_server_count_as_two(detector: PoisonDetector) -> None:
    """The gateway does not know the generation in between, and the request would go on crashing."""
    crash(detector, ["bad", "other"], 1.0)
    crash(detector, ["bad"], 2.0)
    assert_that(detector.suspicion("bad", 3.0), Is(Suspicion.BLOCKED))


def test_connections_lost_in_one_crash_count_as_one(detector: PoisonDetector) -> None:
    """Losses that are noticed late would make two crashes of one."""
    crash(detector, ["read"], 1.0)
    crash(detector, ["read"], 1.5, sent_at=0.9)
    assert_that(detector.suspicion("read", 2.0), Is(Suspicion.SUSPECT))


def test_suspicion_ends(detector: PoisonDetector) -> None:
    """A request would be refused for ever although the servers were repaired."""
    crash(detector, ["bad"], 1.0)
    crash(detector, ["bad"], 2.0)
    assert_that(detector.suspicion("bad", 603.0), Is(Suspicion.NONE))
    detector.expire(603.0)
    assert_that(detector.records, HasLength(0))


def test_reports_that_circulate_do_not_extend_the_suspicion(detector: PoisonDetector) -> None:
    """Daemons that tell each other about the same crash would keep it alive."""
    crash(detector, ["bad"], 1.0)
    other = PoisonDetector()
    for now in range(2, 600, 10):
        other.merge(detector.reports(float(now)), now + 0.3)
        detector.merge(other.reports(float(now)), now + 0.3)
    detector.expire(601.9)
    other.expire(601.9)
    assert_that((detector.records, other.records), Equals(({}, {})))


def test_number_of_fingerprints_is_bounded(detector: PoisonDetector) -> None:
    """Crashes with many requests in flight would fill the memory of every daemon."""
    crash(detector, [f"f{index}" for index in range(MAX_FINGERPRINTS + 50)], 1.0)
    assert_that(detector.records, HasLength(MAX_FINGERPRINTS))


REPORTS = st.lists(
    st.builds(
        CrashReport,
        st.sampled_from(["f1", "f2"]),
        st.tuples(st.just("s1"), st.sampled_from(["g1", "g2"]), st.just(1.0)),
        st.sampled_from(list(CrashEvidence)),
        st.just(600.0),
    ),
    max_size=8,
)


@given(REPORTS, st.randoms(use_true_random=False))
def test_reports_lead_to_the_same_suspicion_in_any_order(
    reports: list[CrashReport], order: object
) -> None:
    """Daemons that heard the same in another order would disagree about a request."""
    shuffled = [*reports, *reports]
    order.shuffle(shuffled)  # type: ignore[attr-defined]
    first, second = PoisonDetector(), PoisonDetector()
    first.merge(reports, 1.0)
    second.merge(shuffled, 1.0)
    for fingerprint in ("f1", "f2"):
        same = first.suspicion(fingerprint, 2.0)
        assert_that(second.suspicion(fingerprint, 2.0), Is(same))
