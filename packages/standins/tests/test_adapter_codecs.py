"""Encoding and decoding of requests, answers, grants and releases by the platform adapter."""

import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

from fireflylink_caller_frontend import ReceivedRequest, RefusedRequestError
from fireflylink_core import KeyRange, NotRun, OutcomeUnknown, ServerLoad
from fireflylink_http_client import HttpResponse
from fireflylink_platform import PlatformCallerCodec, PlatformServerCodec

HEADERS = (
    ("Host", "Jepu9.example:80"),
    ("Request-Id", "9c41d07be2a35f68"),
    ("Deadline-Ms", "1200"),
    ("Shard-Key", "513"),
    ("X-Trace", "t"),
    ("Connection", "keep-alive, X-Hop"),
    ("X-Hop", "only here"),
    ("Target-Instance", "i-forged"),
)


def decode_request(headers=HEADERS, target="/lepu270/2f?x=1"):
    return PlatformCallerCodec().decode_request(ReceivedRequest("GET", target, headers, b"", 100.0))


def response(status: int, *headers: tuple[str, str], body: bytes = b"") -> HttpResponse:
    return HttpResponse(status, headers, body, False)


def test_a_request_is_decoded_with_its_host_path_key_and_deadline():
    """Guards against a request that is routed by a wrong host, path or key, or that runs too late.

    The host is compared in lower case, and the query is no part of the path.
    """
    request = decode_request()
    assert_that((request.host, request.path), Equals(("jepu9.example", "/lepu270/2f")))
    assert_that((request.key, request.deadline), Equals((513, 101.2)))


def test_hop_by_hop_and_internal_headers_are_not_forwarded():
    """Guards against a caller that sets the target server, or the deadline that a server gets.

    Without the filter, these headers of the caller would reach the server.
    """
    request = decode_request()
    names = [name for name, _ in request.headers]
    for name in ("Connection", "X-Hop", "Target-Instance", "Deadline-Ms"):
        assert_that(names, Not(Contains(name)))
    sent = dict(PlatformServerCodec().request_headers(request, "i-1", 0.7))
    assert_that((sent["Target-Instance"], sent["Deadline-Ms"]), Equals(("i-1", "700")))
    assert_that((sent["Request-Id"], sent["X-Trace"]), Equals(("9c41d07be2a35f68", "t")))


@pytest.mark.parametrize(
    "name,value",
    [
        ("Deadline-Ms", "soon"),
        ("Deadline-Ms", "-1"),
        ("Deadline-Ms", "9" * 400),
        ("Deadline-Ms", "9" * 5000),
        ("Shard-Key", "70000"),
        ("Shard-Key", "9" * 5000),
        ("Request-Id", ""),
    ],
)
def test_a_malformed_request_is_refused(name, value):
    """Guards against requests without an id, or with an invalid deadline or key."""
    headers = tuple((header, value if header == name else old) for header, old in HEADERS)
    with pytest.raises(RefusedRequestError):
        decode_request(headers)


def test_not_run_and_unknown_outcomes_have_different_statuses():
    """Guards against status 503 for a request that may have run.

    A caller may send it again after a 503, and it would run twice.
    """
    codec = PlatformCallerCodec()
    refused = codec.encode_reply("id", NotRun("no-room", retry_after=0.25))
    assert_that((refused.status, dict(refused.headers)["Retry-After"]), Equals((503, "0.250")))
    assert_that(codec.encode_reply("id", OutcomeUnknown("reset")).status, Equals(502))
    assert_that(
        codec.encode_reply("id", OutcomeUnknown("late", timed_out=True)).status, Equals(504)
    )


def test_an_answer_to_another_request_is_recognised():
    """Guards against a late answer that is returned for the next request.

    Both are read from the same persistent connection.
    """
    codec = PlatformServerCodec()
    assert_that(codec.is_response_to(response(200, ("Request-Id", "a")), "a"), Is(True))
    assert_that(codec.is_response_to(response(200, ("Request-Id", "b")), "a"), Is(False))
    assert_that(codec.is_response_to(response(200, ("Server-Signature", "s")), "a"), Is(False))


def test_a_503_counts_as_declined_only_with_not_executed_and_the_id():
    """Guards against a 503 without ``Not-Executed``, or of another request, that counts as not run.

    The request may have run before the server answered. Status 421 needs no such header.
    """
    codec = PlatformServerCodec()
    own = ("Request-Id", "a")
    assert_that(codec.is_declined(response(503, own, ("Not-Executed", "1")), "a"), Is(True))
    assert_that(codec.is_declined(response(421, own), "a"), Is(True))
    assert_that(codec.is_declined(response(503, own), "a"), Is(False))
    assert_that(codec.is_declined(response(503, ("Not-Executed", "1")), "a"), Is(False))
    assert_that(codec.is_declined(response(421), "a"), Is(False))


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_status_that_promises_not_run_is_never_passed_on(status):
    """Guards against a promise to the caller that the server did not make."""
    own = ("Request-Id", "a")
    answer = PlatformServerCodec().decode_answer(
        response(status, own, ("Server-Signature", "s")), "a"
    )
    assert_that(answer, Is(None))


def test_an_answer_that_does_not_name_its_request_is_rejected():
    """Guards against an earlier answer that is written once more, without its id or with it."""
    codec = PlatformServerCodec()
    signed = ("Server-Signature", "s")
    assert_that(codec.decode_answer(response(200, signed), "a"), Is(None))
    assert_that(codec.decode_answer(response(200, signed, ("Request-Id", "b")), "a"), Is(None))
    assert_that(codec.decode_answer(response(500), "a"), Is(None))


def test_a_success_without_signature_or_with_an_encoding_is_rejected():
    """Guards against forwarding a success without the server's signature, or an encoded body.

    Other statuses need no signature.
    """
    codec = PlatformServerCodec()
    own = ("Request-Id", "a")
    signed = ("Server-Signature", "s")
    encoded = ("Content-Encoding", "gzip")
    assert_that(codec.decode_answer(response(200, own), "a"), Is(None))
    assert_that(codec.decode_answer(response(200, own, signed, encoded), "a"), Is(None))
    close = ("Connection", "close")
    answer = codec.decode_answer(response(200, own, signed, close, body=b"b"), "a")
    assert_that((answer.status, answer.headers, answer.body), Equals((200, (own, signed), b"b")))
    assert_that(codec.decode_answer(response(500, own), "a").status, Equals(500))


def test_load_is_decoded_with_and_without_the_slowdown_factor():
    """Guards against a wrong slowdown factor, and a malformed load that counts as an idle server.

    The fourth field is the slowdown factor in percent.
    """
    codec = PlatformServerCodec()
    assert_that(
        codec.decode_load(response(200, ("Server-Load", "3,0,8"))), Equals(ServerLoad(3, 0, 8))
    )
    load = codec.decode_load(response(200, ("Server-Load", "3, 1, 8, 250")))
    assert_that((load.waiting, load.slowdown_factor), Equals((1, 2.5)))
    for text in ("", "3,0", "a,b,c", "3,0,8,x"):
        assert_that(codec.decode_load(response(200, ("Server-Load", text))), Is(None))


def test_a_grant_and_a_release_are_encoded():
    """Guards against a grant that another server at the same address executes.

    The keys would then be held by a server that the ownership table does not name. Of the release
    only the body is checked.
    """
    command = PlatformServerCodec().encode_grant("i-1", KeyRange(4096, 8191), 12, 3.6, "5c0e", "c1")
    assert_that(dict(command.headers)["Target-Instance"], Equals("i-1"))
    body = {"from": 4096, "to": 8191, "fence": 12, "hold-ms": 3600, "handover": "5c0e"}
    assert_that(json.loads(command.body), Equals(body))
    release = PlatformServerCodec().encode_release("i-1", KeyRange(1, 2), 13, "c2")
    assert_that(json.loads(release.body), Equals({"from": 1, "to": 2, "fence": 13}))


@pytest.mark.parametrize(
    ("values", "pause_until", "has_problem"),
    [
        (["1.5"], 11.5, False),
        (["2", "2"], 12.0, False),
        (["2", "1"], 12.0, True),
        (["1", "soon"], 11.0, True),
        (["86400"], 40.0, True),
        (["9" * 400], 40.0, True),
        (["-1"], None, True),
        (["inf"], None, True),
        (["nan"], None, True),
        (["1e3"], None, True),
        (["\u0663"], None, True),
        (["Sat, 05 Dec 2026 08:00:00 GMT"], None, True),
    ],
)
def test_a_useless_pause_is_bounded_or_dropped(values, pause_until, has_problem):
    """Guards against a malformed pause that takes a server out for long, or ends the process."""
    headers = [("Retry-After", value) for value in values]
    own = ("Request-Id", "a")
    codec = PlatformServerCodec()
    notice = codec.decode_notice(response(503, own, ("Not-Executed", "1"), *headers), "a", 10.0)
    assert_that((notice.pause_until, bool(notice.problem)), Equals((pause_until, has_problem)))
    assert_that(codec.decode_notice(response(500, own, *headers), "a", 10.0), Is(None))
    assert_that(codec.decode_notice(response(503, *headers), "a", 10.0), Is(None))


@pytest.mark.parametrize(
    ("values", "is_leaving"), [(["1"], True), (["1", "1"], True), (["0"], False), (["yes"], False)]
)
def test_only_the_defined_value_announces_leaving(values, is_leaving):
    """Guards against giving up a server for a header value that does not say that it leaves."""
    headers = [("Server-Leaving", value) for value in values]
    answer = response(200, ("Request-Id", "a"), ("Server-Signature", "s"), *headers)
    notice = PlatformServerCodec().decode_notice(answer, "a", 10.0)
    assert_that((notice.is_leaving, bool(notice.problem)), Equals((is_leaving, not is_leaving)))
