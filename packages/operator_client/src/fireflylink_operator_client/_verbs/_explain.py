"""The command ``explain``."""

import json
from typing import Any

from absl import flags
from returns.result import Failure, Result, Success

from fireflylink_documents import DocumentError, load_json
from fireflylink_operator_client._daemon_reader import DaemonRefusedError
from fireflylink_operator_client._errors import ClientError, RefusedError, UnavailableError
from fireflylink_operator_client._output import Outcome, table
from fireflylink_operator_client._session import Session
from fireflylink_operator_client._verbs._base import BaseVerb


class ExplainVerb(BaseVerb):
    """Shows who owns a key and why."""

    __slots__ = ()

    name = "explain"
    arguments = ("SERVICE", "KEY")
    description = (
        "Shows which server owns a key, through which gateway, since when and why. For a pooled "
        "service KEY is a request id. The first daemon that answers is asked."
    )

    def run(
        self, session: Session, arguments: tuple[str, ...], values: flags.FlagValues
    ) -> Result[Outcome, ClientError]:
        service, key = arguments
        found = session.directory.daemons()
        if isinstance(found, Failure):
            return Failure(found.failure())
        problem = "no daemon is known"
        for address in found.unwrap():
            answer = session.reader.explain(address, service, key)
            if isinstance(answer, Success):
                return _explained(answer.unwrap())
            if isinstance(answer.failure(), DaemonRefusedError):
                return Failure(RefusedError(f"{address.label}: {answer.failure()}"))
            problem = f"{address.label}: {answer.failure()}"
        return Failure(UnavailableError(f"no daemon explained the key; {problem}"))


def _explained(payload: bytes) -> Result[Outcome, ClientError]:
    try:
        document = load_json(payload)
    except DocumentError as error:
        return Failure(RefusedError(f"a daemon's answer: {error}"))
    if not isinstance(document, dict):
        return Failure(RefusedError("a daemon's answer: must be an object"))
    rows = [(name, _shown(value)) for name, value in document.items()]
    return Success(Outcome(document, table(("field", "value"), rows)))


def _shown(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)
