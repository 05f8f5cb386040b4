"""Checks that platform-specific names and settings are confined to the adapter in ``platform``.

The adapter is the package ``fireflylink_platform``, which encodes and decodes the platform's HTTP
protocol and store. The last tests check the settings template and the list of libraries.

The tests are here because pytest would confuse tests in a folder called ``platform`` with the
module of the standard library.
"""

import json
import pathlib
import re

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from fireflylink_platform import names

ROOT = pathlib.Path(__file__).parents[3]
PACKAGE_FILES = sorted((ROOT / "packages").glob("*/src/**/*.py"))
ADAPTER_FILES = sorted((ROOT / "platform" / "src").glob("**/*.py"))
OTHER_WIRE_FIELDS = (
    "virtual-hosts",
    "target-latency-ms",
    "warmup-left-ms",
    "max-attempts",
    "hold-ms",
    "port-range",
    "current-rev",
)
STANDINS = "standins"


def wire_names() -> list[str]:
    """Returns the constants of ``names``, and field names of the platform that are not among them.

    The media type of JSON is left out, because it does not belong to the platform.
    """
    values = [value for name, value in vars(names).items() if name.isupper()]
    return [value for value in values if value != names.JSON_TYPE] + list(OTHER_WIRE_FIELDS)


@pytest.mark.parametrize("name", wire_names())
def test_no_package_uses_a_wire_name(name):
    """Guards against decisions that depend on the names in the platform's protocol.

    The stand-ins implement this protocol, so they may use its names.
    """
    quoted = re.compile(rf"[\"']{re.escape(name)}")
    files = [
        path.name
        for path in PACKAGE_FILES
        if STANDINS not in path.parts and quoted.search(path.read_text())
    ]
    assert_that(files, Equals([]))


def test_the_adapter_stays_small():
    """Guards against decision code in the adapter: it stays below a tenth of all code."""
    adapter_lines = sum(len(path.read_text().splitlines()) for path in ADAPTER_FILES)
    package_lines = sum(len(path.read_text().splitlines()) for path in PACKAGE_FILES)
    print(f"adapter {adapter_lines} lines, packages {package_lines} lines")
    assert_that(adapter_lines, LessThan((adapter_lines + package_lines) / 10))


def test_the_daemon_accepts_settings_rendered_from_the_template(tmp_path):
    """Guards against a template whose rendered settings the daemon refuses."""
    from returns.result import Success

    from fireflylink_daemon import read_settings

    template = (ROOT / "platform" / "settings.json.template").read_text()
    fields = {
        "node": "front-kingston-1",
        "zone": "kingston",
        "ip": "10.1.0.34",
        "listen.front": "10.1.0.34:8548",
        "listen.ready": "10.1.0.34:8542",
        "port-range": [7540, 7555],
        "zones": {"kingston": "jm-south"},
        "platform.address": "10.200.1.7:8541",
    }
    rendered = re.sub(
        r"{{([^|}]+)\|json}}", lambda match: json.dumps(fields.get(match[1], 6)), template
    )
    path = tmp_path / "settings.json"
    path.write_text(rendered)
    result = read_settings(str(path))
    assert_that(isinstance(result, Success), Equals(True), str(result))
    settings = result.unwrap()
    assert_that(settings.instance, Equals("front-kingston-1"))
    assert_that((settings.peer_port, settings.store_address.port), Equals((7540, 8541)))


def test_the_build_installs_every_declared_library():
    """Guards against a declared library that the tests have and the instances lack.

    The instances get only the libraries of ``deploy/requirements.txt``.
    """
    installed = set((ROOT / "deploy" / "requirements.txt").read_text().split("\n"))
    projects = [
        *(
            path
            for path in (ROOT / "packages").glob("*/pyproject.toml")
            if STANDINS not in str(path)
        ),
        ROOT / "platform" / "pyproject.toml",
    ]
    declared = set()
    for project in projects:
        declared |= set(re.findall(r"\"([a-z-]+==[\d.]+)\"", project.read_text()))
    declared = {pin for pin in declared if not pin.startswith(("hatchling", "minicheck"))}
    assert_that(sorted(declared - installed), Equals([]))
