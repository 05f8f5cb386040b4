"""Calls to the operator endpoint of a daemon."""

import abc
from urllib.parse import urlencode

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Result, Success

from fireflylink_core import BaseFireflylinkError
from fireflylink_documents import DocumentError, load_json
from fireflylink_operator_client._directory import DaemonAddress

HTTP_OK = 200
HTTP_UNAUTHORIZED = 401
HTTP_FORBIDDEN = 403
REFUSALS = (400, 404)
MAX_QUOTED_BODY = 200


class DaemonError(BaseFireflylinkError):
    """A daemon gave no usable answer."""


class DaemonRefusedError(DaemonError):
    """A daemon answered that the question itself is wrong; other daemons would say the same."""


class BaseDaemonReader(abc.ABC):
    """Reads from operator endpoints."""

    __slots__ = ()

    @abc.abstractmethod
    def get(self, address: DaemonAddress, path: str) -> Result[bytes, DaemonError]:
        """Returns the body of a successful reply."""

    def status(self, address: DaemonAddress) -> Result[bytes, DaemonError]:
        """Returns the status document of a daemon."""
        return self.get(address, "/operator/status")

    def latency(self, address: DaemonAddress) -> Result[bytes, DaemonError]:
        """Returns the histograms of a daemon."""
        return self.get(address, "/operator/latency")

    def explain(self, address: DaemonAddress, service: str, key: str) -> Result[bytes, DaemonError]:
        """Returns why a key has its owner."""
        query = urlencode({"service": service, "key": key})
        return self.get(address, f"/operator/explain?{query}")


class HttpDaemonReader(BaseDaemonReader):
    """Reads over HTTP, one connection for each call; ``call_timeout`` is in seconds."""

    __slots__ = ("call_timeout", "token")

    def __init__(self, token: str, call_timeout: float) -> None:
        self.token = token
        self.call_timeout = call_timeout

    def get(self, address: DaemonAddress, path: str) -> Result[bytes, DaemonError]:
        client = HTTPClient(
            address.host,
            address.port,
            headers={"Authorization": f"Bearer {self.token}"},
            connection_timeout=self.call_timeout,
            network_timeout=self.call_timeout,
        )
        try:
            with gevent.Timeout(self.call_timeout, TimeoutError("timed out")):
                response = client.get(path)
                return _checked(response.status_code, bytes(response.read()))
        except (OSError, HTTPParseError) as error:
            return Failure(DaemonError(" ".join(str(error).split()) or type(error).__name__))
        finally:
            client.close()


def _checked(status: int, body: bytes) -> Result[bytes, DaemonError]:
    if status == HTTP_OK:
        return Success(body)
    if status in (HTTP_UNAUTHORIZED, HTTP_FORBIDDEN):
        return Failure(DaemonError("the operator token was not accepted"))
    kind = DaemonRefusedError if status in REFUSALS else DaemonError
    return Failure(kind(_description(body) or f"status {status}"))


def _description(body: bytes) -> str:
    """Returns the reason in the body of an error as one line."""
    text = body.decode(errors="replace")
    try:
        document = load_json(body)
    except DocumentError:
        document = None
    if isinstance(document, dict):
        text = str(document.get("description") or document.get("title") or text)
    return " ".join(text.split())[:MAX_QUOTED_BODY]
