"""Client of the platform's key-value service over HTTP."""

import base64
import json
from typing import Any
from urllib.parse import quote

from returns.result import Failure, Result, Success

from fireflylink_core import BaseClock, SystemClock
from fireflylink_platform_client._base import BaseKeyValueClient
from fireflylink_platform_client._connection import (
    HttpReply,
    NotSentError,
    PlatformConnections,
    ReplyLostError,
)
from fireflylink_platform_client._entry import Entry, Snapshot
from fireflylink_platform_client._errors import (
    LeaseExpired,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailable,
    RevisionConflict,
)

DEFAULT_CALL_TIMEOUT = 1.0
MILLISECONDS_PER_SECOND = 1000

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


class KeyValueClient(BaseKeyValueClient):
    """Key-value client of one platform address. ``call_timeout`` is in seconds.

    A status of 400 to 499 or 503 means that the platform refused the call; any other unexpected
    reply to a write leaves its outcome unknown.
    """

    __slots__ = ("call_timeout", "clock", "connections")

    def __init__(
        self,
        host: str,
        port: int,
        call_timeout: float = DEFAULT_CALL_TIMEOUT,
        clock: BaseClock | None = None,
    ) -> None:
        self.clock = clock or SystemClock()
        self.call_timeout = call_timeout
        self.connections = PlatformConnections(host, port, self.clock)

    def read(self, key: str, deadline: float | None = None) -> Result[Entry | None, PlatformError]:
        reply = self._get(f"/v1/kv/{quote(key)}", self._deadline(deadline))
        if isinstance(reply, PlatformError):
            return Failure(reply)
        if reply.status == HTTP_NOT_FOUND:
            return Success(None)
        if reply.status != HTTP_OK or reply.revision == 0:
            return Failure(PlatformUnavailable(f"read {key}: status {reply.status}"))
        return Success(Entry(key, reply.body, reply.revision))

    def read_prefix(
        self, prefix: str, deadline: float | None = None
    ) -> Result[Snapshot, PlatformError]:
        target = f"/v1/kv?prefix={quote(prefix, safe='')}"
        return self._snapshot(target, self._deadline(deadline))

    def watch(
        self, prefix: str, after_revision: int, timeout: float
    ) -> Result[Snapshot, PlatformError]:
        timeout_ms = int(timeout * MILLISECONDS_PER_SECOND)
        query = f"prefix={quote(prefix, safe='')}&after={after_revision}&timeout_ms={timeout_ms}"
        deadline = self.clock.now() + timeout + self.call_timeout
        return self._snapshot(f"/v1/watch?{query}", deadline)

    def write(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: str | None = None,
        deadline: float | None = None,
    ) -> Result[int, PlatformError]:
        target = f"/v1/kv/{quote(key)}?expected_revision={expected_revision}"
        if lease is not None:
            target += f"&lease={quote(lease, safe='')}"
        return self._change("PUT", target, value, key, expected_revision, deadline)

    def delete(
        self, key: str, expected_revision: int, deadline: float | None = None
    ) -> Result[int, PlatformError]:
        target = f"/v1/kv/{quote(key)}?expected_revision={expected_revision}"
        return self._change("DELETE", target, b"", key, expected_revision, deadline)

    def open_lease(self, ttl_ms: int, deadline: float | None = None) -> Result[str, PlatformError]:
        reply = self._send("POST", f"/v1/leases?ttl_ms={ttl_ms}", b"", deadline)
        if isinstance(reply, PlatformError):
            return Failure(reply)
        lease = _field(reply.body, "lease")
        if isinstance(lease, str):
            return Success(lease)
        return Failure(OutcomeUnknownError("open lease: malformed reply"))

    def renew_lease(self, lease: str, deadline: float | None = None) -> Result[None, PlatformError]:
        reply = self._send("PUT", f"/v1/leases/{quote(lease, safe='')}", b"", deadline)
        if isinstance(reply, PlatformError):
            return Failure(reply)
        if reply.status == HTTP_NOT_FOUND:
            return Failure(LeaseExpired(f"lease {lease} has ended"))
        return Success(None)

    def close(self) -> None:
        self.connections.close()

    def _deadline(self, deadline: float | None) -> float:
        return self.clock.now() + self.call_timeout if deadline is None else deadline

    def _get(self, target: str, deadline: float) -> HttpReply | PlatformError:
        try:
            return self.connections.exchange("GET", target, b"", deadline)
        except (NotSentError, ReplyLostError) as error:
            return PlatformUnavailable(str(error))

    def _snapshot(self, target: str, deadline: float) -> Result[Snapshot, PlatformError]:
        reply = self._get(target, deadline)
        if isinstance(reply, PlatformError):
            return Failure(reply)
        if reply.status != HTTP_OK:
            return Failure(PlatformUnavailable(f"GET {target}: status {reply.status}"))
        try:
            return Success(_decode_snapshot(reply.body))
        except (ValueError, KeyError, TypeError) as error:
            return Failure(PlatformUnavailable(f"GET {target}: malformed reply: {error}"))

    def _change(
        self,
        method: str,
        target: str,
        value: bytes,
        key: str,
        expected_revision: int,
        deadline: float | None,
    ) -> Result[int, PlatformError]:
        reply = self._send(method, target, value, deadline)
        if isinstance(reply, PlatformError):
            return Failure(reply)
        if reply.status == HTTP_NOT_FOUND:
            return Failure(PlatformUnavailable(f"{method} {key}: status {reply.status}"))
        revision = _field(reply.body, "revision")
        if not isinstance(revision, int):
            return Failure(OutcomeUnknownError(f"{method} {key}: malformed reply"))
        if reply.status == HTTP_CONFLICT:
            return Failure(RevisionConflict(key, expected_revision, revision))
        return Success(revision)

    def _send(
        self, method: str, target: str, body: bytes, deadline: float | None
    ) -> HttpReply | PlatformError:
        """Sends a call with an effect; returns replies of status 200, 404 and 409 only."""
        try:
            reply = self.connections.exchange(method, target, body, self._deadline(deadline))
        except NotSentError as error:
            return PlatformUnavailable(str(error))
        except ReplyLostError as error:
            return OutcomeUnknownError(str(error))
        if reply.status in (HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT):
            return reply
        problem = f"{method} {target}: status {reply.status}"
        if 400 <= reply.status < 500 or reply.status == HTTP_UNAVAILABLE:
            return PlatformUnavailable(problem)
        return OutcomeUnknownError(problem)


def _field(body: bytes, name: str) -> Any:
    try:
        document = json.loads(body)
    except ValueError:
        return None
    return document.get(name) if isinstance(document, dict) else None


def _decode_snapshot(body: bytes) -> Snapshot:
    document = json.loads(body)
    entries = tuple(
        Entry(str(item["key"]), base64.b64decode(item["value"]), int(item["revision"]))
        for item in document["entries"]
    )
    return Snapshot(int(document["revision"]), entries)
