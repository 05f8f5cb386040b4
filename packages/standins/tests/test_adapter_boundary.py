"""The platform's names stay in the adapter, whose folder cannot hold tests: pytest would take its
name for that of the standard library's module."""

import json
import pathlib
import re

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from fireflylink_platform import names

ROOT = pathlib.Path(__file__).parents[3]
PACKAGES = sorted((ROOT / "packages").glob("*/src/**/*.py"))
ADAPTER = sorted((ROOT / "platform" / "src").glob("**/*.py"))
WIRE_FIELDS = (
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
    values = [value for name, value in vars(names).items() if name.isupper()]
    return [value for value in values if value != names.JSON_TYPE] + list(WIRE_FIELDS)


@pytest.mark.parametrize("name", wire_names())
def test_no_package_uses_a_name_of_the_wire(name):
    """Guards against decisions that depend on how the platform spells things.

    The stand-ins speak the platform's protocol, so they may.
    """
    quoted = re.compile(rf"[\"']{re.escape(name)}")
    users = [
        path.name
        for path in PACKAGES
        if STANDINS not in path.parts and quoted.search(path.read_text())
    ]
    assert_that(users, Equals([]))


def test_the_adapter_stays_small():
    """Guards against decisions that move into the adapter."""
    adapter = sum(len(path.read_text().splitlines()) for path in ADAPTER)
    rest = sum(len(path.read_text().splitlines()) for path in PACKAGES)
    print(f"adapter {adapter} lines, packages {rest} lines")
    assert_that(adapter, LessThan((adapter + rest) / 10))


def test_the_template_gives_settings_that_the_daemon_takes(tmp_path):
    """Guards against a settings file of the platform that the daemon refuses."""
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
        r"{{([^|}]+)\|json}}", lambda found: json.dumps(fields.get(found[1], 6)), template
    )
    path = tmp_path / "settings.json"
    path.write_text(rendered)
    result = read_settings(str(path))
    assert_that(isinstance(result, Success), Equals(True), str(result))
    settings = result.unwrap()
    assert_that(settings.instance, Equals("front-kingston-1"))
    assert_that((settings.peer_port, settings.store_address.port), Equals((7540, 8541)))


def test_the_build_installs_what_the_packages_declare():
    """Guards against a library that the tests have and the instances lack."""
    required = set((ROOT / "deploy" / "requirements.txt").read_text().split("\n"))
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
    assert_that(sorted(declared - required), Equals([]))
