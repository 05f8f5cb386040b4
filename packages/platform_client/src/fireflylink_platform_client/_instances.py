"""Client of the platform's instance list."""

import json

from returns.result import Failure, Result, Success

from fireflylink_core import BaseClock, Member, MemberState, SystemClock
from fireflylink_platform_client._base import BaseInstanceListClient
from fireflylink_platform_client._connection import (
    NotSentError,
    PlatformConnections,
    ReplyLostError,
)
from fireflylink_platform_client._errors import PlatformError, PlatformUnavailable
from fireflylink_platform_client._key_value import DEFAULT_CALL_TIMEOUT, HTTP_OK


class InstanceListClient(BaseInstanceListClient):
    """Instance list client of one platform address. ``call_timeout`` is in seconds."""

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

    def read(self, deadline: float | None = None) -> Result[tuple[Member, ...], PlatformError]:
        if deadline is None:
            deadline = self.clock.now() + self.call_timeout
        try:
            reply = self.connections.exchange("GET", "/v1/instances", b"", deadline)
        except (NotSentError, ReplyLostError) as error:
            return Failure(PlatformUnavailable(str(error)))
        if reply.status != HTTP_OK:
            return Failure(PlatformUnavailable(f"instances: status {reply.status}"))
        try:
            return Success(_decode_members(reply.body))
        except (ValueError, KeyError, TypeError) as error:
            return Failure(PlatformUnavailable(f"instances: malformed reply: {error}"))

    def close(self) -> None:
        """Closes idle connections."""
        self.connections.close()


def _decode_members(body: bytes) -> tuple[Member, ...]:
    return tuple(
        Member(
            instance_id=str(item["instance_id"]),
            data_centre=str(item["data_centre"]),
            host=str(item["host"]),
            control_port=int(item["control_port"]),
            forward_port=int(item["forward_port"]),
            state=MemberState(item["state"]),
            operator_port=int(item.get("operator_port", 0)),
        )
        for item in json.loads(body)
    )
