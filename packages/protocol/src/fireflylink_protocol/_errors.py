"""Errors of the protocol between daemons."""

from fireflylink_core import BaseFireflylinkError


class PeerError(BaseFireflylinkError):
    """A control message to another daemon was not answered in time or was refused."""

    def __init__(self, peer: str, operation: str, problem: str) -> None:
        super().__init__(f"peer={peer} operation={operation}: {problem}")
        self.peer = peer
        self.operation = operation
        self.problem = problem
