"""Settings files of a daemon, written to a temporary folder."""

import copy
import json
import pathlib
from collections.abc import Callable
from typing import Any

import pytest

SECRET = "0123456789abcdef"


@pytest.fixture
def good_settings(tmp_path: pathlib.Path) -> dict[str, Any]:
    """Settings that are accepted; every port is chosen by the operating system."""
    key = tmp_path / "cluster.key"
    token = tmp_path / "operator.token"
    key.write_text(SECRET)
    token.write_text(SECRET)
    return {
        "instance_id": "kingston-1",
        "data_centre": "kingston",
        "host": "127.0.0.1",
        "caller_port": 0,
        "control_port": 0,
        "forward_port": 0,
        "operator_port": 0,
        "platform": {"host": "127.0.0.1", "port": 20000},
        "cluster_key_file": str(key),
        "operator_token_file": str(token),
        "plain_inner_listeners": True,
    }


@pytest.fixture
def write_settings(
    tmp_path: pathlib.Path, good_settings: dict[str, Any]
) -> Callable[[dict[str, Any]], str]:
    """Writes the accepted settings with some fields replaced, None for one that is left out."""

    def write(changes: dict[str, Any]) -> str:
        document = {**copy.deepcopy(good_settings), **changes}
        document = {name: value for name, value in document.items() if value is not None}
        path = tmp_path / "daemon.json"
        path.write_text(json.dumps(document))
        return str(path)

    return write
