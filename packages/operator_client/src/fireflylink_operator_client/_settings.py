"""The settings file of the command line."""

from pathlib import Path

from returns.result import Failure, Result, Success

from fireflylink_core import BaseValue
from fireflylink_documents import DocumentError, DocumentSigner, FieldReader, read_fields
from fireflylink_operator_client._directory import DaemonAddress
from fireflylink_operator_client._errors import UsageError

MAX_PORT = 65_535
DEFAULT_CALL_TIMEOUT_MS = 1000
MAX_CALL_TIMEOUT_MS = 60_000
MILLISECONDS_PER_SECOND = 1000.0


class Settings(BaseValue):
    """Where the platform and the daemons are, and the files with the secrets.

    ``former_cluster_key_files`` hold keys whose signatures are accepted while the cluster key is
    replaced. ``daemons`` is empty when the daemons come from the platform's instance list.
    ``call_timeout`` is in seconds.
    """

    __slots__ = (
        "call_timeout",
        "cluster_key_file",
        "daemons",
        "former_cluster_key_files",
        "operator_token_file",
        "platform_host",
        "platform_port",
    )

    def __init__(
        self,
        platform_host: str,
        platform_port: int,
        cluster_key_file: Path,
        operator_token_file: Path,
        former_cluster_key_files: tuple[Path, ...] = (),
        daemons: tuple[DaemonAddress, ...] = (),
        call_timeout: float = DEFAULT_CALL_TIMEOUT_MS / MILLISECONDS_PER_SECOND,
    ) -> None:
        self.platform_host = platform_host
        self.platform_port = platform_port
        self.cluster_key_file = cluster_key_file
        self.operator_token_file = operator_token_file
        self.former_cluster_key_files = former_cluster_key_files
        self.daemons = daemons
        self.call_timeout = call_timeout


def load_settings(path: str) -> Result[Settings, UsageError]:
    """Reads the settings file; the paths in it are relative to its own directory."""
    try:
        payload = Path(path).read_bytes()
    except OSError as error:
        return Failure(UsageError(f"--settings: cannot read {path}: {error.strerror}"))
    folder = Path(path).parent
    settings = read_fields(payload, lambda fields: _read_settings(fields, folder))
    return settings.alt(lambda error: UsageError(f"{path}: {error}"))


def load_signer(settings: Settings) -> Result[DocumentSigner, UsageError]:
    """Reads the cluster keys; white space around a key is not a part of it."""
    try:
        key = _read_secret(settings.cluster_key_file)
        former = [_read_secret(path) for path in settings.former_cluster_key_files]
        return Success(DocumentSigner(key, tuple(former)))
    except OSError as error:
        return Failure(UsageError(f"cluster key: cannot read {error.filename}: {error.strerror}"))
    except DocumentError as error:
        return Failure(UsageError(str(error)))


def load_token(settings: Settings) -> Result[str, UsageError]:
    """Reads the token for the operator endpoint of the daemons."""
    path = settings.operator_token_file
    try:
        token = _read_secret(path).decode("ascii")
    except OSError as error:
        return Failure(UsageError(f"operator token: cannot read {path}: {error.strerror}"))
    except UnicodeDecodeError:
        token = ""
    if not token or not token.isprintable():
        return Failure(UsageError(f"operator token: {path} must hold one line of ASCII text"))
    return Success(token)


def _read_secret(path: Path) -> bytes:
    return path.read_bytes().strip()


def _read_settings(fields: FieldReader, folder: Path) -> Settings:
    platform = fields.child("platform")
    call_timeout_ms = fields.integer(
        "call_timeout_ms", 1, MAX_CALL_TIMEOUT_MS, DEFAULT_CALL_TIMEOUT_MS
    )
    former = fields.texts("former_cluster_key_files", ())
    return Settings(
        platform_host=platform.address("host"),
        platform_port=platform.integer("port", 1, MAX_PORT),
        cluster_key_file=folder / fields.text("cluster_key_file"),
        operator_token_file=folder / fields.text("operator_token_file"),
        former_cluster_key_files=tuple(folder / path for path in former),
        daemons=tuple(_read_daemon(entry) for entry in fields.child_list("daemons", ())),
        call_timeout=call_timeout_ms / MILLISECONDS_PER_SECOND,
    )


def _read_daemon(fields: FieldReader) -> DaemonAddress:
    return DaemonAddress(
        data_centre=fields.text("data_centre"),
        host=fields.address("host"),
        port=fields.integer("operator_port", 1, MAX_PORT),
    )
