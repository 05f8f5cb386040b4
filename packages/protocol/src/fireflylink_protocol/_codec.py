"""Conversion between control messages and their protobuf encoding."""

from fireflylink_core import (
    AuthorityReport,
    CrashReport,
    DocumentKind,
    EndorseReply,
    EndorseRequest,
    HandoverReply,
    HandoverRequest,
    HandoverShard,
    LoadReport,
    Member,
    MemberProgress,
    MemberState,
    ServerReport,
    ServerStatus,
    ShardKey,
    StoredDocument,
    SyncReply,
    SyncRequest,
)
from fireflylink_protocol import control_pb2

REQUEST_ID_BYTES = 16
STATUS_NUMBERS = {ServerStatus.UP: 0, ServerStatus.COLD: 1, ServerStatus.DOWN: 2}
STATUS_OF_NUMBER = {number: status for status, number in STATUS_NUMBERS.items()}


def _encode_member(member: Member) -> control_pb2.Member:
    return control_pb2.Member(
        instance_id=member.instance_id,
        data_centre=member.data_centre,
        host=member.host,
        control_port=member.control_port,
        forward_port=member.forward_port,
        leaving=member.state is MemberState.LEAVING,
        operator_port=member.operator_port,
    )


def _decode_member(message: control_pb2.Member) -> Member:
    return Member(
        instance_id=message.instance_id,
        data_centre=message.data_centre,
        host=message.host,
        control_port=message.control_port,
        forward_port=message.forward_port,
        state=MemberState.LEAVING if message.leaving else MemberState.LIVE,
        operator_port=message.operator_port,
    )


def _encode_document(document: StoredDocument) -> control_pb2.Document:
    return control_pb2.Document(
        table=document.kind is DocumentKind.TABLE,
        name=document.name,
        version=document.version,
        payload=document.payload,
        base_version=document.base_version,
    )


def _decode_document(message: control_pb2.Document) -> StoredDocument:
    return StoredDocument(
        kind=DocumentKind.TABLE if message.table else DocumentKind.CONFIGURATION,
        name=message.name,
        version=message.version,
        payload=message.payload,
        base_version=message.base_version,
    )


def _encode_shard(shard: ShardKey, exception: bool) -> control_pb2.Shard:
    return control_pb2.Shard(service=shard[0], index=shard[1], exception=exception)


def _decode_shard(message: control_pb2.Shard) -> ShardKey:
    return (message.service, message.index)


def _encode_crash(report: CrashReport) -> control_pb2.CrashReport:
    return control_pb2.CrashReport(
        fingerprint=report.fingerprint,
        server_id=report.server_id,
        generation=report.generation,
        noticed_at=report.noticed_at,
        evidence=report.evidence,
        remaining_ms=report.remaining_ms,
    )


def _decode_crash(message: control_pb2.CrashReport) -> CrashReport:
    return CrashReport(
        fingerprint=message.fingerprint,
        server_id=message.server_id,
        generation=message.generation,
        noticed_at=message.noticed_at,
        evidence=message.evidence,
        remaining_ms=message.remaining_ms,
    )


def _encode_load(report: LoadReport) -> control_pb2.LoadReport:
    return control_pb2.LoadReport(
        shard=_encode_shard(report.shard, report.exception),
        requests_per_second=report.requests_per_second,
    )


def _decode_load(message: control_pb2.LoadReport) -> LoadReport:
    return LoadReport(
        shard=_decode_shard(message.shard),
        exception=message.shard.exception,
        requests_per_second=message.requests_per_second,
    )


def encode_sync_request(request: SyncRequest) -> bytes:
    """Encodes a sync request."""
    message = control_pb2.SyncRequest(
        sender=_encode_member(request.sender),
        configuration_version=request.configuration_version,
        tables=[
            control_pb2.TableVersion(table_id=table_id, version=version)
            for table_id, version in request.table_versions
        ],
        members_digest=request.members_digest,
        progress=[
            control_pb2.Progress(
                instance_id=progress.instance_id,
                configuration_version=progress.configuration_version,
            )
            for progress in request.progress
        ],
        servers=[
            control_pb2.ServerReport(
                server_id=report.server_id, status=STATUS_NUMBERS[report.status]
            )
            for report in request.servers
        ],
        loads=[_encode_load(report) for report in request.loads],
        crashes=[_encode_crash(report) for report in request.crashes],
    )
    return bytes(message.SerializeToString())


def decode_sync_request(data: bytes) -> SyncRequest:
    """Decodes a sync request."""
    message = control_pb2.SyncRequest.FromString(data)
    return SyncRequest(
        sender=_decode_member(message.sender),
        configuration_version=message.configuration_version,
        table_versions=tuple((table.table_id, table.version) for table in message.tables),
        members_digest=message.members_digest,
        progress=tuple(
            MemberProgress(progress.instance_id, progress.configuration_version)
            for progress in message.progress
        ),
        servers=tuple(
            ServerReport(report.server_id, STATUS_OF_NUMBER[report.status])
            for report in message.servers
        ),
        loads=tuple(_decode_load(report) for report in message.loads),
        crashes=tuple(_decode_crash(report) for report in message.crashes),
    )


def _encode_authority(report: AuthorityReport) -> control_pb2.Authority:
    return control_pb2.Authority(
        table_id=report.table_id,
        version=report.version,
        remaining_ms=report.remaining_ms,
        settled_version=report.settled_version,
        by_majority=report.by_majority,
    )


def _decode_authority(message: control_pb2.Authority) -> AuthorityReport:
    return AuthorityReport(
        table_id=message.table_id,
        version=message.version,
        remaining_ms=message.remaining_ms,
        settled_version=message.settled_version,
        by_majority=message.by_majority,
    )


def encode_sync_reply(reply: SyncReply) -> bytes:
    """Encodes a reply to a sync request."""
    message = control_pb2.SyncReply(
        root=reply.root,
        configuration_version=reply.configuration_version,
        documents=[_encode_document(document) for document in reply.documents],
        authorities=[_encode_authority(report) for report in reply.authorities],
        members=[_encode_member(member) for member in reply.members],
        members_digest=reply.members_digest,
        crashes=[_encode_crash(report) for report in reply.crashes],
    )
    return bytes(message.SerializeToString())


def decode_sync_reply(data: bytes) -> SyncReply:
    """Decodes a reply to a sync request."""
    message = control_pb2.SyncReply.FromString(data)
    return SyncReply(
        root=message.root,
        configuration_version=message.configuration_version,
        documents=tuple(_decode_document(document) for document in message.documents),
        authorities=tuple(_decode_authority(report) for report in message.authorities),
        members=tuple(_decode_member(member) for member in message.members),
        members_digest=message.members_digest,
        crashes=tuple(_decode_crash(report) for report in message.crashes),
    )


def encode_endorse_request(request: EndorseRequest) -> bytes:
    """Encodes a request for a voter's endorsement."""
    message = control_pb2.EndorseRequest(table_id=request.table_id, version=request.version)
    return bytes(message.SerializeToString())


def decode_endorse_request(data: bytes) -> EndorseRequest:
    """Decodes a request for a voter's endorsement."""
    message = control_pb2.EndorseRequest.FromString(data)
    return EndorseRequest(message.table_id, message.version)


def encode_endorse_reply(reply: EndorseReply) -> bytes:
    """Encodes a voter's answer."""
    message = control_pb2.EndorseReply(
        voter=reply.voter,
        endorsed=reply.endorsed,
        known_version=reply.known_version,
        recovering=reply.recovering,
    )
    return bytes(message.SerializeToString())


def decode_endorse_reply(data: bytes) -> EndorseReply:
    """Decodes a voter's answer."""
    message = control_pb2.EndorseReply.FromString(data)
    return EndorseReply(
        voter=message.voter,
        endorsed=message.endorsed,
        known_version=message.known_version,
        recovering=message.recovering,
    )


def _encode_handover_shard(shard: HandoverShard) -> control_pb2.HandoverShard:
    return control_pb2.HandoverShard(
        shard=_encode_shard(shard.shard, shard.exception),
        epoch=shard.epoch,
        gateway_epoch=shard.gateway_epoch,
        floor_ms=shard.floor_ms,
        request_ids=b"".join(
            request_id.to_bytes(REQUEST_ID_BYTES) for request_id in shard.request_ids
        ),
    )


def _decode_handover_shard(message: control_pb2.HandoverShard) -> HandoverShard:
    data = message.request_ids
    return HandoverShard(
        shard=_decode_shard(message.shard),
        exception=message.shard.exception,
        epoch=message.epoch,
        gateway_epoch=message.gateway_epoch,
        floor_ms=message.floor_ms,
        request_ids=tuple(
            int.from_bytes(data[start : start + REQUEST_ID_BYTES])
            for start in range(0, len(data), REQUEST_ID_BYTES)
        ),
    )


def encode_handover_request(request: HandoverRequest) -> bytes:
    """Encodes the release of shards to their new gateway."""
    message = control_pb2.HandoverRequest(
        sender=request.sender,
        table_id=request.table_id,
        version=request.version,
        shards=[_encode_handover_shard(shard) for shard in request.shards],
    )
    return bytes(message.SerializeToString())


def decode_handover_request(data: bytes) -> HandoverRequest:
    """Decodes the release of shards to their new gateway."""
    message = control_pb2.HandoverRequest.FromString(data)
    return HandoverRequest(
        sender=message.sender,
        table_id=message.table_id,
        version=message.version,
        shards=tuple(_decode_handover_shard(shard) for shard in message.shards),
    )


def encode_handover_reply(reply: HandoverReply) -> bytes:
    """Encodes a new gateway's answer."""
    return bytes(control_pb2.HandoverReply(accepted=reply.accepted).SerializeToString())


def decode_handover_reply(data: bytes) -> HandoverReply:
    """Decodes a new gateway's answer."""
    return HandoverReply(accepted=control_pb2.HandoverReply.FromString(data).accepted)
