"""Arbitrary and mutated values for each decoder of what comes from outside."""

import copy
import json

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, IsInstance

from fireflylink_core import BaseFireflylinkError
from fireflylink_http_client import HttpResponse
from fireflylink_platform import PlatformItemDecoder, PlatformServerCodec
from fireflylink_protocol import decode_datagram, decode_member, decode_table
from fireflylink_store import BaseUpdate, ConfigurationUpdate, Item, ServerUpdate

EXAMPLES = settings(max_examples=300, derandomize=True, deadline=None)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=12),
    lambda children: st.lists(children, max_size=4)
    | st.dictionaries(st.text(max_size=12), children, max_size=4),
    max_leaves=12,
)
HEADER_NUMBERS = st.builds(
    "{}{}".format,
    st.sampled_from(("", "timeout=", "1,2,", "1,2,3,")),
    st.sampled_from((3, 400, 5000)).map("9".__mul__),
)
"""Header values with numbers of up to 5,000 digits."""

KEYS = st.sampled_from(("op/config", "servers/i-1", "op/evacuate/z", "fireflylink/decider"))
CONFIGURATION = {
    "version": "r7",
    "services": [{"name": "a", "max-conns": 9, "warmup-s": 3, "sharded": True}, {"name": "b"}],
    "limits": {"max-header-bytes": 16384},
    "virtual-hosts": [
        {
            "host": "h",
            "paths": [
                {"name": "r1", "prefix": "/1/", "kind": "safe", "timeout-ms": 5, "service": "a"},
                {"name": "r2", "prefix": "/2/", "kind": "unsafe", "timeout-ms": 5, "service": "b"},
            ],
        }
    ],
}
SERVER = {
    "service": "a",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "born": 1,
    "warmup-left-ms": 5,
}


def replace_at(value: object, path: list[object], replacement: object) -> object:
    """Returns a copy of a JSON value in which the part at a path is replaced."""
    if not path:
        return replacement
    changed = copy.deepcopy(value)
    part = changed
    for step in path[:-1]:
        part = part[step]
    part[path[-1]] = replacement
    return changed


def paths_of(value: object, prefix: tuple[object, ...] = ()) -> list[list[object]]:
    """Returns the path of every part of a JSON value."""
    steps = value.items() if isinstance(value, dict) else ()
    steps = enumerate(value) if isinstance(value, list) else steps
    return [list(prefix)] + [
        path for step, part in steps for path in paths_of(part, (*prefix, step))
    ]


@EXAMPLES
@given(KEYS, st.binary(max_size=60))
def test_arbitrary_bytes_in_the_store_yield_updates(key: str, value: bytes) -> None:
    """Guards against an item of another writer that ends the task which reads the store."""
    for update in PlatformItemDecoder().decode(Item(key, value, 5)):
        assert_that(update, IsInstance(BaseUpdate))


@EXAMPLES
@given(KEYS, JSON_VALUES)
def test_arbitrary_json_in_the_store_yields_updates(key: str, value: object) -> None:
    """Guards against an item of another writer that ends the task which reads the store."""
    for update in PlatformItemDecoder().decode(Item(key, json.dumps(value).encode(), 5)):
        assert_that(update, IsInstance(BaseUpdate))


@EXAMPLES
@given(st.sampled_from(paths_of(CONFIGURATION["virtual-hosts"][0]["paths"][0])), JSON_VALUES)
def test_a_mutated_route_leaves_the_others_in_force(path: list[object], value: object) -> None:
    """Guards against one malformed part of a configuration that takes more than itself down."""
    where = ["virtual-hosts", 0, "paths", 0, *path]
    mutated = replace_at(CONFIGURATION, where, value)
    [update] = PlatformItemDecoder().decode(Item("op/config", json.dumps(mutated).encode(), 5))
    assert_that(update, IsInstance(ConfigurationUpdate))
    assert_that([route.name for route in update.configuration.routes], Contains("r2"))


@EXAMPLES
@given(st.sampled_from(paths_of(CONFIGURATION)[1:]), JSON_VALUES)
def test_no_mutation_allows_a_repetition(path: list[object], value: object) -> None:
    """Guards against a malformed part by which requests of another route become repeatable."""
    mutated = replace_at(CONFIGURATION, path, value)
    for update in PlatformItemDecoder().decode(Item("op/config", json.dumps(mutated).encode(), 5)):
        if isinstance(update, ConfigurationUpdate):
            for route in update.configuration.routes:
                safe_in_text = json.dumps(mutated).count('"safe"')
                assert_that(route.idempotent and not safe_in_text, Equals(False))


@EXAMPLES
@given(st.sampled_from(paths_of(SERVER)), JSON_VALUES)
def test_a_mutated_registration_is_a_server_or_a_typed_problem(
    path: list[object], value: object
) -> None:
    """Guards against a registration whose values fail only when a request is sent."""
    mutated = replace_at(SERVER, path, value)
    for update in PlatformItemDecoder().decode(
        Item("servers/i-1", json.dumps(mutated).encode(), 5)
    ):
        if isinstance(update, ServerUpdate):
            assert_that(0 < update.server.port < 65536, Equals(True))
            assert_that(update.server.slots >= 1, Equals(True))


@EXAMPLES
@given(st.binary(max_size=80))
def test_arbitrary_records_and_datagrams_are_typed_errors(value: bytes) -> None:
    """Guards against a malformed record or datagram that raises in the task that receives it."""
    for decode in (decode_table, decode_member, decode_datagram):
        result = decode(value)
        if result.map(lambda _value: True).value_or(False):
            continue
        assert_that(result.failure(), IsInstance(BaseFireflylinkError))


@EXAMPLES
@given(JSON_VALUES)
def test_arbitrary_json_records_are_typed_errors(value: object) -> None:
    """Guards against a record of the right format and the wrong types that raises."""
    encoded = json.dumps(value).encode()
    for decode in (decode_table, decode_member):
        result = decode(encoded)
        if not result.map(lambda _value: True).value_or(False):
            assert_that(result.failure(), IsInstance(BaseFireflylinkError))


@EXAMPLES
@given(st.text(max_size=24) | HEADER_NUMBERS, st.just(503) | st.integers(100, 999))
def test_arbitrary_answer_headers_are_decoded(text: str, status: int) -> None:
    """Guards against a header of a server that raises while its answer is decoded."""
    codec = PlatformServerCodec()
    names = (
        "Server-Load",
        "Keep-Alive",
        "Server-Signature",
        "Warmup-Ms",
        "Retry-After",
        "Server-Leaving",
    )
    headers = (("Request-Id", "a"), *((name, text) for name in names))
    response = HttpResponse(status, headers, b"", False)
    codec.decode_load(response)
    codec.decode_answer(response, "a")
    notice = codec.decode_notice(response, "a", 0.0)
    if notice is not None and notice.pause_until is not None:
        assert_that(0.0 <= notice.pause_until <= 30.0, Equals(True))
    assert_that(
        response.keep_alive_seconds is None or response.keep_alive_seconds >= 0, Equals(True)
    )
