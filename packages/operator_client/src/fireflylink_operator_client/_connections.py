"""Connecting a session to the platform and the daemons that the settings name."""

from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result, Success

from fireflylink_core import SystemClock
from fireflylink_documents import DocumentSigner
from fireflylink_operator_client._daemon_reader import HttpDaemonReader
from fireflylink_operator_client._directory import FixedDirectory
from fireflylink_operator_client._errors import ClientError
from fireflylink_operator_client._platform_store import platform_directory, platform_store
from fireflylink_operator_client._repository import Repository
from fireflylink_operator_client._session import Session
from fireflylink_operator_client._settings import Settings, load_settings, load_signer, load_token


def open_session(
    settings_path: str, emit: Callable[[dict[str, Any], str], None]
) -> Result[Session, ClientError]:
    """Returns a session for a settings file; connections are opened when they are first used."""
    loaded = load_settings(settings_path)
    if isinstance(loaded, Failure):
        return Failure(loaded.failure())
    settings = loaded.unwrap()
    signer = load_signer(settings)
    if isinstance(signer, Failure):
        return Failure(signer.failure())
    token = load_token(settings)
    if isinstance(token, Failure):
        return Failure(token.failure())
    return Success(_session(settings, signer.unwrap(), token.unwrap(), emit))


def _session(
    settings: Settings,
    signer: DocumentSigner,
    token: str,
    emit: Callable[[dict[str, Any], str], None],
) -> Session:
    place = (settings.platform_host, settings.platform_port, settings.call_timeout)
    directory = FixedDirectory(settings.daemons) if settings.daemons else platform_directory(*place)
    return Session(
        repository=Repository(platform_store(*place), signer),
        directory=directory,
        reader=HttpDaemonReader(token, settings.call_timeout),
        clock=SystemClock(),
        emit=emit,
    )
