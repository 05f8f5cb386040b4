"""A platform stand-in and a client of it."""

from collections.abc import Iterator

import pytest

from fireflylink_platform_client import InstanceListClient, KeyValueClient
from fireflylink_standins import PlatformStandin


@pytest.fixture
def platform() -> Iterator[PlatformStandin]:
    standin = PlatformStandin()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def client(platform: PlatformStandin) -> Iterator[KeyValueClient]:
    key_value = KeyValueClient("127.0.0.1", platform.port, call_timeout=0.3)
    yield key_value
    key_value.close()


@pytest.fixture
def instances(platform: PlatformStandin) -> Iterator[InstanceListClient]:
    instance_list = InstanceListClient("127.0.0.1", platform.port, call_timeout=0.3)
    yield instance_list
    instance_list.close()
