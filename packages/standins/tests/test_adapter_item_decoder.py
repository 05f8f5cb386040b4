"""Decoding of the items of the platform's store, well-formed and malformed."""

import json

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, IsInstance

from fireflylink_core import RequestKind, ServerState
from fireflylink_platform import (
    PlatformItemDecoder,
    WireFormatError,
    decode_configuration,
    decode_server,
    decode_version,
)
from fireflylink_store import (
    ConfigurationUpdate,
    Deletion,
    EvacuationUpdate,
    Item,
    RecordUpdate,
    ServerRemoved,
    ServerUpdate,
    UnreadableItem,
)

SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "kingston",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmup-left-ms": 250,
    "sequence": 4,
    "born": 1787427283046,
}
ROUTE = {
    "name": "r-1",
    "prefix": "/lepu270/",
    "kind": "safe",
    "timeout-ms": 1500,
    "target-latency-ms": 500,
    "priority": 2,
    "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
    "max-attempts": 2,
}
CONFIGURATION = {
    "version": "r7",
    "services": [
        {
            "name": "a",
            "health-check": "/healthz",
            "max-conns": 110,
            "warmup-s": 3.0,
            "warmup-per-s": 7.3,
            "sharded": True,
            "warm-s": 5.0,
            "grants": "invoke",
        },
        {"name": "b", "health-check": "/healthz", "max-conns": 46},
    ],
    "limits": {"max-header-bytes": 16384, "idle-timeout-ms": 15000},
    "base-version": "r5",
    "virtual-hosts": [{"host": "Jepu9.example", "paths": [ROUTE]}],
}


def item(key: str, value: object) -> Item:
    return Item(key, json.dumps(value).encode(), 5)


def test_a_registration_is_decoded():
    """Guards against a server that is used with a wrong address, state or start time."""
    server = decode_server("i-1", json.dumps(SERVER).encode())
    assert_that((server.host, server.port, server.slots), Equals(("10.128.0.9", 8080, 4)))
    assert_that((server.state, server.cold_ms), Equals((ServerState.READY, 250.0)))
    assert_that(server.incarnation.started_ms, Equals(1787427283046))


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:99999"},
        {"address": 8080},
        {"slots": "4"},
        {"slots": True},
        {"slots": -1},
        {"state": "asleep"},
        {"service": None},
        {"zone": 3},
        {"born": "now"},
        {"warmup-left-ms": "soon"},
        {"warmup-left-ms": float("inf")},
        {"warmup-left-ms": 10**400},
        {"warmup-left-ms": 1e308},
        {"slots": 10**30},
        {"slots": 10**400},
        {"born": 2**64},
        {"address": "10.0.0.1:65536"},
        {"address": f"10.0.0.1:{'9' * 5000}"},
        {"address": "a host:80"},
    ],
)
def test_a_malformed_registration_removes_the_server(change):
    """Guards against a malformed entry that is used as a server, or that keeps an old one."""
    updates = PlatformItemDecoder().decode(item("servers/i-1", {**SERVER, **change}))
    assert_that(updates[0], IsInstance(UnreadableItem))
    assert_that(updates[1], Equals(ServerRemoved("i-1", 5)))


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        b"{",
        b"null",
        b"",
        b"[" * 100_000,
        b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
        b'{"slots": ' + b"9" * 5000 + b"}",
    ],
)
def test_undecodable_bytes_yield_an_unreadable_item(value):
    """Guards against an exception that ends the task which reads the store."""
    for key in ("servers/i-1", "op/config"):
        updates = PlatformItemDecoder().decode(Item(key, value, 5))
        assert_that(updates[0], IsInstance(UnreadableItem))


def test_a_configuration_is_decoded():
    """Guards against routes, splits or limits that are lost or changed by decoding.

    The configuration also has fields that the decoder does not read.
    """
    configuration = decode_configuration(json.dumps(CONFIGURATION).encode())
    assert_that(configuration.version, Equals(7))
    [route] = configuration.routes
    assert_that(route.host, Equals("jepu9.example"))
    assert_that(route.kind, Equals(RequestKind.IDEMPOTENT))
    assert_that([(t.service, t.weight) for t in route.targets], Equals([("a", 90), ("b", 10)]))
    assert_that((route.priority, route.max_attempts), Equals((2, 2)))
    assert_that([service.keyed for service in configuration.services], Equals([True, False]))
    assert_that(configuration.limits.max_header_bytes, Equals(16384))


GOOD_ROUTE = {**ROUTE, "name": "good", "prefix": "/good/"}


def decode_routes(*paths: object):
    hosts = [{"host": "a", "paths": [*paths, GOOD_ROUTE]}]
    return decode_configuration(json.dumps({**CONFIGURATION, "virtual-hosts": hosts}).encode())


@pytest.mark.parametrize(
    "change",
    [
        {"split": []},
        {"split": [{"service": "a", "weight": 0}]},
        {"split": [{"service": "a"}]},
        {"split": [{"service": "a", "weight": 1}, "b"]},
        {"split": [{"service": "a", "weight": 1e308}, {"service": "b", "weight": 1e308}]},
        {"split": None, "service": 7},
    ],
)
def test_a_route_without_readable_targets_refuses_its_requests(change):
    """Guards against requests that a shorter prefix takes, as the operator did not allow it, and
    against one bad route that keeps the others out of force."""
    configuration = decode_routes({**ROUTE, **change})
    bad, good = configuration.routes
    assert_that(bad.targets, HasLength(0))
    assert_that(good.targets, HasLength(2))
    assert_that(configuration.problems, HasLength(1))
    assert_that(configuration.is_complete, Equals(True))


@pytest.mark.parametrize(
    ("change", "field", "expected"),
    [
        ({"kind": "maybe"}, "kind", RequestKind.ONCE),
        ({"kind": 3}, "kind", RequestKind.ONCE),
        ({"timeout-ms": None}, "timeout_ms", 30_000.0),
        ({"timeout-ms": -5}, "timeout_ms", 30_000.0),
        ({"max-attempts": "many"}, "max_attempts", 1),
        ({"priority": []}, "priority", 0),
        ({"target-latency-ms": True}, "objective_ms", 1500.0),
        ({"target-latency-ms": 1e308}, "objective_ms", 1500.0),
        ({"timeout-ms": 1e308}, "timeout_ms", 30_000.0),
        ({"max-attempts": 10**400}, "max_attempts", 1),
    ],
)
def test_a_bound_of_a_route_that_cannot_be_read_has_a_cautious_default(change, field, expected):
    """Guards against one unknown word that takes all routes down, or that allows a repetition."""
    configuration = decode_routes({**ROUTE, **change})
    assert_that(getattr(configuration.routes[0], field), Equals(expected))
    assert_that(configuration.routes[1].name, Equals("good"))
    assert_that(len(configuration.problems) >= 1, Equals(True))


@pytest.mark.parametrize("path", [{**ROUTE, "prefix": 7}, {}, "route", None, [ROUTE]])
def test_a_route_without_a_readable_prefix_makes_the_configuration_incomplete(path):
    """Guards against 404 for a request whose route could not be read: 404 is final."""
    configuration = decode_routes(path)
    assert_that([route.name for route in configuration.routes], Equals(["good"]))
    assert_that(configuration.is_complete, Equals(False))


def test_uploads_run_at_most_once():
    """Guards against a configuration with uploads that is refused, or uploads that are repeated."""
    configuration = decode_routes({**ROUTE, "kind": "upload"})
    assert_that(configuration.routes[0].kind, Equals(RequestKind.ONCE))
    assert_that(configuration.problems, HasLength(0))


def test_a_service_that_cannot_be_read_is_left_out_alone():
    """Guards against one bad service that takes the others down."""
    services = [{"name": "a", "max-conns": 1, "sharded": "yes"}, {"name": 3}, {"name": "b"}, 8]
    value = {**CONFIGURATION, "services": services}
    configuration = decode_configuration(json.dumps(value).encode())
    assert_that([service.name for service in configuration.services], Equals(["b"]))
    assert_that(configuration.problems, HasLength(4))


@pytest.mark.parametrize("version", [None, 7, "10", "r", "rx", f"r{10**400}"])
def test_a_configuration_without_a_readable_version_is_refused(version):
    """Guards against a value that stands in for a newer version, as its age is unknown."""
    with pytest.raises(WireFormatError):
        decode_configuration(json.dumps({**CONFIGURATION, "version": version}).encode())


def test_versions_compare_as_numbers():
    """Guards against comparing versions as text, by which r10 is older than r9.

    A version without the letter, such as 10, is refused.
    """
    assert_that(decode_version("r10") > decode_version("r9"), Equals(True))
    for text in ("10", "r", "r-1", "r1.5", "rr2"):
        with pytest.raises(WireFormatError):
            decode_version(text)


def test_every_kind_of_item_yields_its_update():
    """Guards against evacuations or records that are ignored, and others' items that are not."""
    decoder = PlatformItemDecoder()
    cases = [
        (item("op/config", CONFIGURATION), ConfigurationUpdate),
        (item("servers/i-1", SERVER), ServerUpdate),
        (Deletion("servers/i-1", 6), ServerRemoved),
        (item("op/evacuate/kingston", {}), EvacuationUpdate),
        (Deletion("op/evacuate/kingston", 6), EvacuationUpdate),
        (item("fireflylink/decider", {}), RecordUpdate),
    ]
    for change, kind in cases:
        assert_that(decoder.decode(change)[0], IsInstance(kind))
    assert_that(decoder.decode(item("other/key", {})), HasLength(0))
