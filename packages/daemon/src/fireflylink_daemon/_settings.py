"""The settings file, in JSON. It is checked completely before the daemon starts anything."""

import json
from typing import TypeGuard

from returns.result import Failure, Result, Success

from fireflylink_core import MISSING, BaseFireflylinkError, BaseJsonFields, BaseValue

MILLISECONDS_PER_SECOND = 1000.0
MAX_PORT = 65535


class SettingsError(BaseFireflylinkError):
    """The settings file is invalid; the message names the field and the allowed values."""


class Address(BaseValue):
    """An IP address and a port."""

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Bounds(BaseValue):
    """Limits and durations that the system must keep, from ``bounds`` in the settings file.

    - ``drain_seconds``: how long the draining of a server or an evacuation may take.
    - ``leave_seconds``: how long the shutdown of a daemon may take.
    - ``hold_max_seconds``: the longest hold for which servers may be granted keys.
    - Retries of all daemons for one service, in any window of ``retry_window_seconds``: at most
      ``retry_ratio`` times the requests, plus ``retry_extra``.
    - Requests of all daemons to one cold (warming up) server in any second: at most ``cold_factor``
      times the rate in the service's configuration, plus ``cold_extra``.
    """

    __slots__ = (
        "cold_extra",
        "cold_factor",
        "drain_seconds",
        "hold_max_seconds",
        "leave_seconds",
        "retry_extra",
        "retry_ratio",
        "retry_window_seconds",
    )

    def __init__(
        self,
        drain_seconds: float,
        leave_seconds: float,
        hold_max_seconds: float,
        retry_ratio: float,
        retry_window_seconds: float,
        retry_extra: float,
        cold_factor: float,
        cold_extra: float,
    ) -> None:
        self.drain_seconds = drain_seconds
        self.leave_seconds = leave_seconds
        self.hold_max_seconds = hold_max_seconds
        self.retry_ratio = retry_ratio
        self.retry_window_seconds = retry_window_seconds
        self.retry_extra = retry_extra
        self.cold_factor = cold_factor
        self.cold_extra = cold_extra


class Settings(BaseValue):
    """The settings of the daemon on one instance.

    ``address`` is the IP address, without a port, of the sockets for other daemons and for metrics.
    ``peer_port`` is the port for datagrams from other daemons: the first of ``peer_ports`` in the
    settings file, which names a range of ports. The others are not used. ``advertised_peer_port``
    is the port to which the others send them: the same, unless the settings file names another one,
    from which datagrams are forwarded.
    """

    __slots__ = (
        "address",
        "advertised_peer_port",
        "bounds",
        "caller_address",
        "data_centre",
        "instance",
        "metrics_port",
        "minimum_lease_seconds",
        "peer_port",
        "readiness_address",
        "store_address",
    )

    def __init__(
        self,
        instance: str,
        data_centre: str,
        address: str,
        caller_address: Address,
        readiness_address: Address,
        peer_port: int,
        metrics_port: int,
        store_address: Address,
        minimum_lease_seconds: float,
        bounds: Bounds,
        advertised_peer_port: int,
    ) -> None:
        self.advertised_peer_port = advertised_peer_port
        self.instance = instance
        self.data_centre = data_centre
        self.address = address
        self.caller_address = caller_address
        self.readiness_address = readiness_address
        self.peer_port = peer_port
        self.metrics_port = metrics_port
        self.store_address = store_address
        self.minimum_lease_seconds = minimum_lease_seconds
        self.bounds = bounds

    def apply_to_running(self, changed: "Settings") -> "Settings":
        """Returns what is in force in a daemon with these settings after its file has changed.

        The fields of its member record, by which the other daemons know it, and the addresses of
        its sockets change only at its next start.
        """
        return changed.replace(**{field: getattr(self, field) for field in _START_FIELDS})


_START_FIELDS = (
    "instance",
    "data_centre",
    "address",
    "caller_address",
    "readiness_address",
    "peer_port",
    "advertised_peer_port",
    "metrics_port",
)


class _SettingsFields(BaseJsonFields):
    """Decodes the fields of one JSON object of the settings file."""

    __slots__ = ()

    error = SettingsError

    def string(self, field: str, default: object = MISSING) -> str:
        value = super().string(field, default)
        if not value:
            raise SettingsError(f"{self.path(field)}: must be a string that is not empty")
        return value

    def milliseconds_as_seconds(self, field: str) -> float:
        return self.number(field) / MILLISECONDS_PER_SECOND

    def address(self, field: str) -> Address:
        host, _, port = self.string(field).rpartition(":")
        if not host or not port.isascii() or not port.isdecimal() or int(port) > MAX_PORT:
            raise SettingsError(f"{self.path(field)}: must be an IP address and a port")
        return Address(host, int(port))

    def port(self, field: str, default: object = MISSING) -> int:
        value = self.find(field, default)
        if not _is_port(value):
            raise SettingsError(f"{self.path(field)}: must be a port")
        return value

    def ports(self, field: str) -> tuple[int, int]:
        value = self.find(field, MISSING)
        # The first port may be 0, for any free port.
        if (
            not isinstance(value, list)
            or len(value) != 2
            or not all(_is_port(port) for port in value)
            or (value[0] and value[0] >= value[1])
        ):
            raise SettingsError(
                f"{self.path(field)}: must be the first and the last of two or more ports"
            )
        return value[0], value[1]


def _is_port(value: object) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_PORT


def read_settings(path: str) -> Result[Settings, SettingsError]:
    """Reads and checks a settings file. Unknown fields are ignored."""
    try:
        with open(path, encoding="utf-8") as file:
            value = json.load(file)
    except OSError as error:
        return Failure(SettingsError(f"{path}: {error.strerror}"))
    except (ValueError, RecursionError) as error:
        return Failure(SettingsError(f"{path}: is no JSON: {error}"))
    try:
        return Success(_decode_settings(_SettingsFields(value, "")))
    except SettingsError as error:
        return Failure(SettingsError(f"{path}: {error}"))


def _decode_settings(fields: _SettingsFields) -> Settings:
    store = fields.json_object("store")
    first_port, _ = fields.ports("peer_ports")
    return Settings(
        instance=fields.string("instance"),
        data_centre=fields.string("data_centre"),
        address=fields.string("address"),
        caller_address=fields.address("caller_address"),
        readiness_address=fields.address("readiness_address"),
        peer_port=first_port,
        metrics_port=fields.port("metrics_port"),
        store_address=store.address("address"),
        minimum_lease_seconds=store.milliseconds_as_seconds("minimum_lease_ms"),
        bounds=_decode_bounds(fields.json_object("bounds")),
        advertised_peer_port=fields.port("advertised_peer_port", first_port),
    )


def _decode_bounds(fields: _SettingsFields) -> Bounds:
    return Bounds(
        drain_seconds=fields.milliseconds_as_seconds("drain_ms"),
        leave_seconds=fields.number("leave_seconds"),
        hold_max_seconds=fields.milliseconds_as_seconds("hold_max_ms"),
        retry_ratio=fields.number("retry_ratio"),
        retry_window_seconds=fields.number("retry_window_seconds"),
        retry_extra=fields.number("retry_extra"),
        cold_factor=fields.number("cold_factor"),
        cold_extra=fields.number("cold_extra"),
    )
