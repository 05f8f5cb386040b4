"""Settings of the daemon, read from a JSON file and checked field by field."""

import ipaddress
import pathlib

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from fireflylink_core import BaseValue, Member
from fireflylink_daemon._errors import SettingsError
from fireflylink_documents import DocumentError, FieldReader, read_fields
from fireflylink_protocol import PeerCredentials

MIN_SECRET_BYTES = 16
MAX_PORT = 65535


class PeerTls(BaseValue):
    """Files of the keys with which daemons authenticate each other, in PEM."""

    __slots__ = ("authority_file", "certificate_file", "private_key_file")

    def __init__(self, authority_file: str, certificate_file: str, private_key_file: str) -> None:
        self.authority_file = authority_file
        self.certificate_file = certificate_file
        self.private_key_file = private_key_file


class DaemonSettings(BaseValue):
    """Everything that a daemon is told before it starts.

    A port of 0 lets the operating system choose. ``peers`` are daemons to ask while the platform
    does not answer. ``tls`` is None only when the settings say that the inner listeners are plain.
    """

    __slots__ = (
        "caller_port",
        "cluster_key",
        "control_port",
        "credentials",
        "data_centre",
        "forward_port",
        "host",
        "instance_id",
        "operator_port",
        "operator_token",
        "peers",
        "platform_host",
        "platform_port",
        "tls",
    )

    def __init__(
        self,
        instance_id: str,
        data_centre: str,
        host: str,
        caller_port: int,
        control_port: int,
        forward_port: int,
        operator_port: int,
        platform_host: str,
        platform_port: int,
        cluster_key: bytes,
        operator_token: str,
        peers: tuple[Member, ...] = (),
        tls: PeerTls | None = None,
        credentials: PeerCredentials | None = None,
    ) -> None:
        self.instance_id = instance_id
        self.data_centre = data_centre
        self.host = host
        self.caller_port = caller_port
        self.control_port = control_port
        self.forward_port = forward_port
        self.operator_port = operator_port
        self.platform_host = platform_host
        self.platform_port = platform_port
        self.cluster_key = cluster_key
        self.operator_token = operator_token
        self.peers = peers
        self.tls = tls
        self.credentials = credentials

    def __repr__(self) -> str:
        return f"DaemonSettings(instance_id={self.instance_id!r}, data_centre={self.data_centre!r})"


def read_settings(path: str) -> Result[DaemonSettings, SettingsError]:
    """Reads and checks a settings file; the error is one line that names the field."""
    try:
        payload = pathlib.Path(path).read_bytes()
    except OSError as error:
        return Failure(SettingsError(f"{path}: {error.strerror}"))
    result = read_fields(payload, _parse)
    if is_successful(result):
        return Success(result.unwrap())
    return Failure(SettingsError(f"{path}: {result.failure()}"))


def _parse(fields: FieldReader) -> DaemonSettings:
    platform = fields.child("platform")
    tls = _parse_tls(fields)
    return DaemonSettings(
        instance_id=fields.text("instance_id", max_length=64),
        data_centre=fields.text("data_centre", max_length=64),
        host=_address(fields, "host"),
        caller_port=fields.integer("caller_port", 0, MAX_PORT),
        control_port=fields.integer("control_port", 0, MAX_PORT),
        forward_port=fields.integer("forward_port", 0, MAX_PORT),
        operator_port=fields.integer("operator_port", 0, MAX_PORT),
        platform_host=_address(platform, "host"),
        platform_port=platform.integer("port", 1, MAX_PORT),
        cluster_key=_secret(fields, "cluster_key_file"),
        operator_token=_secret(fields, "operator_token_file").decode("ascii", "replace"),
        peers=tuple(_parse_peer(peer) for peer in fields.child_list("peers", ())),
        tls=tls,
        credentials=_credentials(fields, tls),
    )


def _address(fields: FieldReader, name: str) -> str:
    text = fields.text(name)
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise fields.error(name, f"must be an IP number, not {text!r}") from None


def _secret(fields: FieldReader, name: str) -> bytes:
    secret = _file(fields, name).strip()
    if len(secret) < MIN_SECRET_BYTES:
        raise fields.error(name, f"the file must hold at least {MIN_SECRET_BYTES} bytes")
    return secret


def _file(fields: FieldReader, name: str) -> bytes:
    path = fields.text(name)
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise fields.error(name, f"cannot be read: {error.strerror}") from None


def _parse_peer(fields: FieldReader) -> Member:
    return Member(
        instance_id=fields.text("instance_id", max_length=64),
        data_centre=fields.text("data_centre", max_length=64),
        host=_address(fields, "host"),
        control_port=fields.integer("control_port", 1, MAX_PORT),
        forward_port=fields.integer("forward_port", 1, MAX_PORT),
    )


def _parse_tls(fields: FieldReader) -> PeerTls | None:
    plain = fields.boolean("plain_inner_listeners", False)
    if fields.has("tls"):
        if plain:
            raise fields.error("plain_inner_listeners", "must be false when tls is given")
        tls = fields.child("tls")
        return PeerTls(
            tls.text("authority_file"), tls.text("certificate_file"), tls.text("private_key_file")
        )
    if not plain:
        raise fields.error("tls", "is required unless plain_inner_listeners is true")
    return None


def _credentials(fields: FieldReader, tls: PeerTls | None) -> PeerCredentials | None:
    if tls is None:
        return None
    reader = fields.child("tls")
    return PeerCredentials(
        authority=_file(reader, "authority_file"),
        certificate=_file(reader, "certificate_file"),
        private_key=_file(reader, "private_key_file"),
    )


__all__ = ["DaemonSettings", "DocumentError", "PeerTls", "read_settings"]
