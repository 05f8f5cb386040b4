"""Encoding of the three outcomes towards callers."""

import json

import falcon

from fireflylink_core import BackendAnswer, BaseReply, NotRun, Outcome, OutcomeUnknown

OUTCOME_HEADER = "Fireflylink-Outcome"
SERVER_HEADER = "Fireflylink-Server-Id"
UNKNOWN_STATUS = 504
JSON_TYPE = "application/json"
MILLISECONDS_PER_SECOND = 1000


def write_reply(target: falcon.Response, reply: BaseReply) -> None:
    """Writes a reply so that status, header and body agree on the outcome."""
    target.set_header(OUTCOME_HEADER, reply.outcome.value)
    if isinstance(reply, BackendAnswer):
        target.status = reply.status
        target.content_type = reply.content_type or "application/octet-stream"
        target.set_header(SERVER_HEADER, reply.server_id)
        target.data = reply.body
    elif isinstance(reply, NotRun):
        target.status = reply.status
        _write_explanation(target, reply.outcome, reply.reason, reply.detail)
        if reply.retry_after_ms:
            seconds = -(-reply.retry_after_ms // MILLISECONDS_PER_SECOND)
            target.set_header("Retry-After", str(seconds))
    elif isinstance(reply, OutcomeUnknown):
        target.status = UNKNOWN_STATUS
        _write_explanation(target, reply.outcome, reply.reason, reply.detail)


def _write_explanation(target: falcon.Response, outcome: Outcome, reason: str, detail: str) -> None:
    target.content_type = JSON_TYPE
    explanation = {"outcome": outcome.value, "reason": reason, "detail": detail}
    target.data = json.dumps(explanation).encode()
