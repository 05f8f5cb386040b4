"""What admission decides about a request, and what a gateway hands over."""

from fireflylink_core import BaseReply, BaseValue, CallerRequest


class BaseDecision(BaseValue):
    """The decision about an offered request."""

    __slots__ = ()


class Admitted(BaseDecision):
    """The request starts now on a server.

    ``generation`` is the generation that the connection must have shown in a reply; a connection
    that has not is probed first. It is empty when any connection will do. ``alone`` marks a
    request that is suspected of crashing servers and has the server to itself.
    """

    __slots__ = ("alone", "call_id", "generation", "request", "server_id", "shard_index")

    def __init__(
        self,
        call_id: str,
        request: CallerRequest,
        server_id: str,
        shard_index: int,
        generation: str = "",
        alone: bool = False,
    ) -> None:
        self.call_id = call_id
        self.request = request
        self.server_id = server_id
        self.shard_index = shard_index
        self.generation = generation
        self.alone = alone


class Delegated(BaseDecision):
    """The request is sent to the gateway of another group, which runs it without an id check.

    This gateway keeps the request id, and the end of the call is reported to it with ``finish``.
    """

    __slots__ = ("call_id", "group_id", "request")

    def __init__(self, call_id: str, request: CallerRequest, group_id: str) -> None:
        self.call_id = call_id
        self.request = request
        self.group_id = group_id


class Queued(BaseDecision):
    """The request waits; ``finish`` admits it or ``expire`` returns its reply."""

    __slots__ = ("call_id",)

    def __init__(self, call_id: str) -> None:
        self.call_id = call_id


class Rejected(BaseDecision):
    """The request does not start; the reply says what is known about it."""

    __slots__ = ("call_id", "reply")

    def __init__(self, call_id: str, reply: BaseReply) -> None:
        self.call_id = call_id
        self.reply = reply


class ShardHandover(BaseValue):
    """What a gateway knows about the request ids of a shard.

    Ids with a timestamp below ``floor_ms`` may have run although they are not listed.
    """

    __slots__ = ("floor_ms", "request_ids", "shard_index")

    def __init__(self, shard_index: int, floor_ms: int, request_ids: tuple[int, ...]) -> None:
        self.shard_index = shard_index
        self.floor_ms = floor_ms
        self.request_ids = request_ids


class ServerHandover(BaseValue):
    """How many requests a server could run in one of its generations."""

    __slots__ = ("generation", "limit", "server_id")

    def __init__(self, server_id: str, generation: str, limit: int) -> None:
        self.server_id = server_id
        self.generation = generation
        self.limit = limit


class Handover(BaseValue):
    """What a gateway transfers to the next gateway of some shards.

    ``whole_group`` tells that the servers are handed over as well and run nothing any more.
    """

    __slots__ = ("servers", "service", "shards", "whole_group")

    def __init__(
        self,
        service: str,
        shards: tuple[ShardHandover, ...],
        servers: tuple[ServerHandover, ...] = (),
        whole_group: bool = False,
    ) -> None:
        self.service = service
        self.shards = shards
        self.servers = servers
        self.whole_group = whole_group
