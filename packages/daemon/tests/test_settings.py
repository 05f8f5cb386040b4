"""Guards the settings of the daemon: a wrong field is named and nothing is started."""

import pathlib
import socket
import subprocess
import sys
from collections.abc import Callable
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from fireflylink_daemon._settings import read_settings

PROCESS_TIMEOUT = 20
WriteSettings = Callable[[dict[str, Any]], str]


def test_good_settings_are_read(write_settings: WriteSettings) -> None:
    """Settings as the installation page shows them must be accepted."""
    settings = read_settings(write_settings({})).unwrap()
    assert_that(settings.instance_id, Equals("kingston-1"))
    assert_that(settings.cluster_key, Equals(b"0123456789abcdef"))


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"instance_id": None}, "instance_id: is required"),
        ({"instance_name": "x"}, "instance_name: is not a known field; known fields: "),
        ({"caller_port": "8080"}, 'caller_port: must be an integer from 0 to 65535, not "8080"'),
        ({"caller_port": 70000}, "caller_port: must be an integer from 0 to 65535, not 70000"),
        ({"caller_port": True}, "caller_port: must be an integer from 0 to 65535, not true"),
        ({"host": "entry.example"}, "host: must be an IP number, not 'entry.example'"),
        ({"platform": {"host": "127.0.0.1"}}, "platform.port: is required"),
        ({"platform": "127.0.0.1:1"}, "platform: must be an object"),
        (
            {"platform": {"host": "127.0.0.1", "port": 1, "tls": 1}},
            "platform.tls: is not a known field; known fields: host, port",
        ),
        ({"cluster_key_file": "/missing/key"}, "cluster_key_file: cannot be read: No such file"),
        ({"plain_inner_listeners": None}, "tls: is required unless plain_inner_listeners is true"),
        ({"tls": {}}, "plain_inner_listeners: must be false when tls is given"),
        (
            {
                "plain_inner_listeners": False,
                "tls": {
                    "authority_file": "/missing/ca.pem",
                    "certificate_file": "/missing/peer.pem",
                    "private_key_file": "/missing/peer.key",
                },
            },
            "tls.authority_file: cannot be read: No such file",
        ),
        ({"peers": [{"instance_id": "k-2"}]}, "peers[0].data_centre: is required"),
    ],
)
def test_wrong_field_is_named(
    write_settings: WriteSettings, changes: dict[str, Any], problem: str
) -> None:
    """An operator must see which field is wrong and what is allowed."""
    error = str(read_settings(write_settings(changes)).failure())
    assert_that(error, Contains(problem))
    assert_that(error.count("\n"), Equals(0))


def test_short_key_is_refused(write_settings: WriteSettings, tmp_path: pathlib.Path) -> None:
    """A short cluster key would let anyone sign documents."""
    (tmp_path / "short.key").write_text("short")
    path = write_settings({"cluster_key_file": str(tmp_path / "short.key")})
    error = str(read_settings(path).failure())
    assert_that(error, Contains("cluster_key_file: the file must hold at least 16 bytes"))


def test_missing_file_is_named() -> None:
    """A wrong path must not end in a traceback."""
    error = str(read_settings("missing.json").failure())
    assert_that(error, Equals("missing.json: No such file or directory"))


def _run_daemon(path: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "fireflylink_standins.run_daemon", "--settings", path]
    return subprocess.run(
        [*command, *arguments], capture_output=True, text=True, timeout=PROCESS_TIMEOUT
    )


def test_process_refuses_bad_settings(write_settings: WriteSettings) -> None:
    """A daemon with bad settings must end with one line, before it listens."""
    ended = _run_daemon(write_settings({"caller_port": "8080"}))
    assert_that(ended.returncode, Equals(2))
    assert_that(ended.stdout, Equals(""))
    assert_that(ended.stderr.count("\n"), Equals(1))
    assert_that(ended.stderr, Contains("caller_port: must be an integer from 0 to 65535"))


def test_process_names_a_port_in_use(write_settings: WriteSettings) -> None:
    """A second daemon on the same port must not run without its listener."""
    with socket.create_server(("127.0.0.1", 0)) as held:
        port = held.getsockname()[1]
        ended = _run_daemon(write_settings({"caller_port": port}))
    assert_that(ended.returncode, Equals(3))
    assert_that(ended.stdout, Equals(""))
    assert_that(ended.stderr.count("\n"), Equals(1))
    assert_that(ended.stderr, Contains("event=start-failed"))
    assert_that(ended.stderr, Contains(str(port)))


def test_process_names_a_control_port_in_use(write_settings: WriteSettings) -> None:
    """The control listener belongs to another library, with errors of its own."""
    with socket.create_server(("127.0.0.1", 0)) as held:
        port = held.getsockname()[1]
        ended = _run_daemon(write_settings({"control_port": port}))
    assert_that(ended.returncode, Equals(3))
    assert_that(ended.stdout, Equals(""))
    assert_that(ended.stderr, Contains("event=start-failed"))
    assert_that(ended.stderr, Contains(str(port)))


def test_check_starts_nothing(write_settings: WriteSettings) -> None:
    """Operators check a settings file before they replace an instance."""
    ended = _run_daemon(write_settings({}), "--check")
    assert_that(ended.returncode, Equals(0))
    assert_that(ended.stdout, Equals(""))
    assert_that(ended.stderr, Contains("event=settings-checked"))
