"""Reading and checking the settings file."""

import pytest
from returns.result import Failure, Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, IsInstance

from fireflylink_daemon import read_settings


def test_valid_settings_are_accepted_and_unknown_fields_ignored(settings_file):
    """Guards against a daemon that does not start because its settings file has a new field."""
    result = read_settings(settings_file(something_new={"a": 1}))
    assert_that(result, IsInstance(Success))
    assert_that(result.unwrap().bounds.drain_seconds, Equals(2.0))


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"instance": ""}, "instance"),
        ({"instance": None}, "instance: is missing"),
        ({"caller_address": "127.0.0.1"}, "caller_address"),
        ({"caller_address": "127.0.0.1:99999"}, "caller_address"),
        ({"metrics_port": "9464"}, "metrics_port"),
        ({"metrics_port": True}, "metrics_port"),
        ({"peer_ports": [False, True]}, "peer_ports"),
        ({"peer_ports": [7540]}, "peer_ports"),
        ({"peer_ports": [7555, 7540]}, "peer_ports"),
        ({"store": {}}, "store.address: is missing"),
        ({"store": "10.0.0.1:1"}, "store: must be an object"),
        ({"bounds": {"drain_ms": -1}}, "bounds.drain_ms"),
        ({"bounds": {"drain_ms": True}}, "bounds.drain_ms"),
    ],
)
def test_an_error_names_the_invalid_field(settings_file, changes, text):
    """Guards against an error from which an operator cannot see what to correct."""
    result = read_settings(settings_file(**changes))
    assert_that(result, IsInstance(Failure))
    assert_that(str(result.failure()), Contains(text))


def test_a_file_that_is_missing_or_is_not_json_is_an_error(tmp_path):
    """Guards against a stack trace in place of an error message."""
    path = tmp_path / "settings.json"
    assert_that(str(read_settings(str(path)).failure()), Contains("No such file"))
    path.write_text("instance = 1")
    assert_that(str(read_settings(str(path)).failure()), Contains("is no JSON"))
