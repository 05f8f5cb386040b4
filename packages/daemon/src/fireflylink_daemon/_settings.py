"""The settings file: JSON, checked as a whole before anything starts."""

import json
from typing import Any

from returns.result import Failure, Result, Success

from fireflylink_core import BaseFireflylinkError, BaseValue

MILLISECONDS_PER_SECOND = 1000.0
MAX_PORT = 65535


class SettingsError(BaseFireflylinkError):
    """The settings file cannot be used; the text names the field and what is allowed."""


class Address(BaseValue):
    """An IP address and a port."""

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Bounds(BaseValue):
    """The figures that the system is held to."""

    __slots__ = (
        "cold_extra",
        "cold_factor",
        "drain_seconds",
        "evacuate_seconds",
        "hold_max_seconds",
        "leave_seconds",
        "retry_extra",
        "retry_ratio",
        "retry_window_seconds",
    )

    def __init__(
        self,
        drain_seconds: float,
        evacuate_seconds: float,
        leave_seconds: float,
        hold_max_seconds: float,
        retry_ratio: float,
        retry_window_seconds: float,
        retry_extra: float,
        cold_factor: float,
        cold_extra: float,
    ) -> None:
        self.drain_seconds = drain_seconds
        self.evacuate_seconds = evacuate_seconds
        self.leave_seconds = leave_seconds
        self.hold_max_seconds = hold_max_seconds
        self.retry_ratio = retry_ratio
        self.retry_window_seconds = retry_window_seconds
        self.retry_extra = retry_extra
        self.cold_factor = cold_factor
        self.cold_extra = cold_extra


class Settings(BaseValue):
    """Everything that a daemon is told by the instance it runs on."""

    __slots__ = (
        "address",
        "bounds",
        "caller_address",
        "data_centre",
        "heartbeat_seconds",
        "instance",
        "metrics_port",
        "minimum_lease_seconds",
        "readiness_address",
        "report_port",
        "store_address",
    )

    def __init__(
        self,
        instance: str,
        data_centre: str,
        address: str,
        caller_address: Address,
        readiness_address: Address,
        report_port: int,
        metrics_port: int,
        store_address: Address,
        minimum_lease_seconds: float,
        heartbeat_seconds: float,
        bounds: Bounds,
    ) -> None:
        self.instance = instance
        self.data_centre = data_centre
        self.address = address
        self.caller_address = caller_address
        self.readiness_address = readiness_address
        self.report_port = report_port
        self.metrics_port = metrics_port
        self.store_address = store_address
        self.minimum_lease_seconds = minimum_lease_seconds
        self.heartbeat_seconds = heartbeat_seconds
        self.bounds = bounds


class _Reader:
    """Reads fields of one object; raises ``SettingsError``."""

    __slots__ = ("name", "value")

    def __init__(self, value: object, name: str) -> None:
        if not isinstance(value, dict):
            raise SettingsError(f"{name or 'the file'}: must be an object")
        self.value: dict[str, Any] = value
        self.name = name

    def text(self, field: str) -> str:
        found = self._find(field)
        if not isinstance(found, str) or not found:
            raise SettingsError(f"{self._path(field)}: must be a string that is not empty")
        return found

    def number(self, field: str) -> float:
        found = self._find(field)
        if isinstance(found, bool) or not isinstance(found, int | float) or not found >= 0:
            raise SettingsError(f"{self._path(field)}: must be a number from 0")
        return float(found)

    def seconds(self, field: str) -> float:
        return self.number(field) / MILLISECONDS_PER_SECOND

    def address(self, field: str) -> Address:
        host, _, port = self.text(field).rpartition(":")
        if not host or not port.isdecimal() or int(port) > MAX_PORT:
            raise SettingsError(f"{self._path(field)}: must be an IP address and a port")
        return Address(host, int(port))

    def port(self, field: str) -> int:
        found = self._find(field)
        if not isinstance(found, int) or not 0 <= found <= MAX_PORT:
            raise SettingsError(f"{self._path(field)}: must be a port")
        return found

    def ports(self, field: str) -> tuple[int, int]:
        found = self._find(field)
        if (
            not isinstance(found, list)
            or len(found) != 2
            or not all(isinstance(port, int) and 0 <= port <= MAX_PORT for port in found)
            or (found[0] and found[0] >= found[1])
        ):
            raise SettingsError(
                f"{self._path(field)}: must be the first and the last of two or more ports"
            )
        return found[0], found[1]

    def table(self, field: str) -> "_Reader":
        return _Reader(self._find(field), self._path(field))

    def _find(self, field: str) -> object:
        if self.value.get(field) is None:
            raise SettingsError(f"{self._path(field)}: is missing")
        return self.value[field]

    def _path(self, field: str) -> str:
        return f"{self.name}.{field}" if self.name else field


def read_settings(path: str) -> Result[Settings, SettingsError]:
    """Returns the checked settings of a file. Fields that are not known are ignored."""
    try:
        with open(path, encoding="utf-8") as file:
            value = json.load(file)
    except OSError as error:
        return Failure(SettingsError(f"{path}: {error.strerror}"))
    except ValueError as error:
        return Failure(SettingsError(f"{path}: is no JSON: {error}"))
    try:
        return Success(_settings(_Reader(value, "")))
    except SettingsError as error:
        return Failure(SettingsError(f"{path}: {error}"))


def _settings(reader: _Reader) -> Settings:
    store = reader.table("store")
    first_port, _ = reader.ports("peer_ports")
    return Settings(
        instance=reader.text("instance"),
        data_centre=reader.text("data_centre"),
        address=reader.text("address"),
        caller_address=reader.address("caller_address"),
        readiness_address=reader.address("readiness_address"),
        report_port=first_port,
        metrics_port=reader.port("metrics_port"),
        store_address=store.address("address"),
        minimum_lease_seconds=store.seconds("minimum_lease_ms"),
        heartbeat_seconds=reader.seconds("heartbeat_ms"),
        bounds=_bounds(reader.table("bounds")),
    )


def _bounds(reader: _Reader) -> Bounds:
    return Bounds(
        drain_seconds=reader.seconds("drain_ms"),
        evacuate_seconds=reader.seconds("evacuate_ms"),
        leave_seconds=reader.number("leave_seconds"),
        hold_max_seconds=reader.seconds("hold_max_ms"),
        retry_ratio=reader.number("retry_ratio"),
        retry_window_seconds=reader.number("retry_window_seconds"),
        retry_extra=reader.number("retry_extra"),
        cold_factor=reader.number("cold_factor"),
        cold_extra=reader.number("cold_extra"),
    )
