"""Control messages between daemons, as typed values without an encoding."""

import enum

from fireflylink_core._member import Member
from fireflylink_core._ownership import ShardKey
from fireflylink_core._value import BaseValue


class DocumentKind(enum.Enum):
    """What a stored document holds."""

    CONFIGURATION = "configuration"
    TABLE = "table"


class StoredDocument(BaseValue):
    """A signed document as the platform keeps it.

    ``name`` is the table id, or empty for the configuration. ``base_version`` is 0 for a whole
    document; otherwise the payload lists the changes since that version.
    """

    __slots__ = ("base_version", "kind", "name", "payload", "version")

    def __init__(
        self, kind: DocumentKind, name: str, version: int, payload: bytes, base_version: int = 0
    ) -> None:
        self.kind = kind
        self.name = name
        self.version = version
        self.payload = payload
        self.base_version = base_version


class ServerStatus(enum.Enum):
    """How a gateway sees a backend server."""

    UP = "up"
    COLD = "cold"
    DOWN = "down"


class ServerReport(BaseValue):
    """A gateway's view of one backend server."""

    __slots__ = ("server_id", "status")

    def __init__(self, server_id: str, status: ServerStatus) -> None:
        self.server_id = server_id
        self.status = status


class LoadReport(BaseValue):
    """Load of a shard or of a hot key in requests per second, as its gateway counts it."""

    __slots__ = ("exception", "requests_per_second", "shard")

    def __init__(self, shard: ShardKey, exception: bool, requests_per_second: float) -> None:
        self.shard = shard
        self.exception = exception
        self.requests_per_second = requests_per_second


class CrashReport(BaseValue):
    """A crash of a backend server and the fingerprint of a request that was in flight on it.

    Server, generation and ``noticed_at`` identify the crash; the last one is in seconds on the
    clock of the gateway that noticed it and is compared for equality only. ``evidence`` ranks what
    the crash says about the request; the receiver keeps the highest. ``remaining_ms`` is for how
    long the report still counts.
    """

    __slots__ = (
        "evidence",
        "fingerprint",
        "generation",
        "noticed_at",
        "remaining_ms",
        "server_id",
    )

    def __init__(
        self,
        fingerprint: str,
        server_id: str,
        generation: str,
        noticed_at: float,
        evidence: int,
        remaining_ms: int,
    ) -> None:
        self.fingerprint = fingerprint
        self.server_id = server_id
        self.generation = generation
        self.noticed_at = noticed_at
        self.evidence = evidence
        self.remaining_ms = remaining_ms


class MemberProgress(BaseValue):
    """A daemon that is alive below a relay and the configuration version that it has in force."""

    __slots__ = ("configuration_version", "instance_id")

    def __init__(self, instance_id: str, configuration_version: int) -> None:
        self.instance_id = instance_id
        self.configuration_version = configuration_version


class AuthorityReport(BaseValue):
    """Authority to act on a table version.

    ``remaining_ms`` counts from the moment the reply was made; the receiver counts it from the
    moment it sent the request, so that network delay only shortens it. ``by_majority`` tells
    whether a majority of voters gave it, which a gateway needs before it releases a shard.
    """

    __slots__ = ("by_majority", "remaining_ms", "settled_version", "table_id", "version")

    def __init__(
        self,
        table_id: str,
        version: int,
        remaining_ms: int,
        settled_version: int,
        by_majority: bool,
    ) -> None:
        self.table_id = table_id
        self.version = version
        self.remaining_ms = remaining_ms
        self.settled_version = settled_version
        self.by_majority = by_majority


class SyncRequest(BaseValue):
    """What a daemon tells its parent each period, or a root the root of another data centre.

    ``table_versions`` pairs table ids with the versions that the sender has. ``progress`` lists the
    live daemons below the sender. ``members_digest`` is the digest of the member list it has.
    """

    __slots__ = (
        "configuration_version",
        "crashes",
        "loads",
        "members_digest",
        "progress",
        "sender",
        "servers",
        "table_versions",
    )

    def __init__(
        self,
        sender: Member,
        configuration_version: int,
        table_versions: tuple[tuple[str, int], ...],
        members_digest: int = 0,
        progress: tuple[MemberProgress, ...] = (),
        servers: tuple[ServerReport, ...] = (),
        loads: tuple[LoadReport, ...] = (),
        crashes: tuple[CrashReport, ...] = (),
    ) -> None:
        self.sender = sender
        self.configuration_version = configuration_version
        self.table_versions = table_versions
        self.members_digest = members_digest
        self.progress = progress
        self.servers = servers
        self.loads = loads
        self.crashes = crashes


class SyncReply(BaseValue):
    """A parent's answer: newer documents, authority, members and fingerprints to refuse.

    ``members`` is empty when the sender's member list is current. ``configuration_version`` is the
    version that the parent has.
    """

    __slots__ = (
        "authorities",
        "configuration_version",
        "crashes",
        "documents",
        "members",
        "members_digest",
        "root",
    )

    def __init__(
        self,
        root: str,
        configuration_version: int,
        documents: tuple[StoredDocument, ...] = (),
        authorities: tuple[AuthorityReport, ...] = (),
        members: tuple[Member, ...] = (),
        members_digest: int = 0,
        crashes: tuple[CrashReport, ...] = (),
    ) -> None:
        self.root = root
        self.configuration_version = configuration_version
        self.documents = documents
        self.authorities = authorities
        self.members = members
        self.members_digest = members_digest
        self.crashes = crashes


class EndorseRequest(BaseValue):
    """Asks a voter to endorse a table version.

    Version 0 asks only for the highest version that the voter has acknowledged. The request is sent
    only after the version's write to the platform was confirmed.
    """

    __slots__ = ("table_id", "version")

    def __init__(self, table_id: str, version: int) -> None:
        self.table_id = table_id
        self.version = version


class EndorseReply(BaseValue):
    """A voter's answer.

    ``known_version`` is the highest version the voter has acknowledged, 0 for none. A voter that is
    ``recovering`` neither endorses nor counts.
    """

    __slots__ = ("endorsed", "known_version", "recovering", "voter")

    def __init__(self, voter: str, endorsed: bool, known_version: int, recovering: bool) -> None:
        self.voter = voter
        self.endorsed = endorsed
        self.known_version = known_version
        self.recovering = recovering


class HandoverShard(BaseValue):
    """A shard that its former gateway has released, with the epochs of the new term.

    ``request_ids`` are the ids, as numbers, of non-idempotent requests that may have run. Ids whose
    timestamp is below ``floor_ms`` may have run although they are not listed.
    """

    __slots__ = ("epoch", "exception", "floor_ms", "gateway_epoch", "request_ids", "shard")

    def __init__(
        self,
        shard: ShardKey,
        exception: bool,
        epoch: int,
        gateway_epoch: int,
        floor_ms: int,
        request_ids: tuple[int, ...] = (),
    ) -> None:
        self.shard = shard
        self.exception = exception
        self.epoch = epoch
        self.gateway_epoch = gateway_epoch
        self.floor_ms = floor_ms
        self.request_ids = request_ids


class HandoverRequest(BaseValue):
    """Tells a new gateway that the former one has released shards.

    The former gateway sends it once it holds a majority's authority for the change, has stopped
    sending, and its requests in flight have ended.
    """

    __slots__ = ("sender", "shards", "table_id", "version")

    def __init__(
        self, sender: str, table_id: str, version: int, shards: tuple[HandoverShard, ...]
    ) -> None:
        self.sender = sender
        self.table_id = table_id
        self.version = version
        self.shards = shards


class HandoverReply(BaseValue):
    """Whether the new gateway took the released shards."""

    __slots__ = ("accepted",)

    def __init__(self, accepted: bool) -> None:
        self.accepted = accepted
