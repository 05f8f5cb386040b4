"""Greenlets that send grants and releases to backend servers."""

import gevent
from returns.result import Success

from fireflylink_backend_client import BaseServerCodec, ServerCommandClient
from fireflylink_core import BackendServer, BaseClock
from fireflylink_daemon._messages import CommandCompleted, GrantDue
from fireflylink_daemon._task import BaseTask
from fireflylink_decisions.ownership import (
    GRANT_TIMEOUT_SECONDS,
    RELEASE_TIMEOUT_SECONDS,
    GrantCommand,
    ReleaseCommand,
)

IDLE_WAKE_INTERVAL_SECONDS = 3600.0
"""A ``GrantTask`` without messages wakes at this interval and does nothing."""


class GrantTask(BaseTask):
    """Sends the grants and renewals of one server, one at a time over one connection.

    It posts a ``CommandCompleted`` to ``ownership_task`` for each of them.
    """

    __slots__ = ("command_client", "hold_seconds", "ownership_task")

    def __init__(
        self,
        server: BackendServer,
        clock: BaseClock,
        codec: BaseServerCodec,
        ownership_task: BaseTask,
        hold_seconds: float,
    ) -> None:
        super().__init__(f"grants-{server.server_id}", clock)
        self.command_client = ServerCommandClient(server, clock, codec)
        self.ownership_task = ownership_task
        self.hold_seconds = hold_seconds

    def next_wake_at(self) -> float:
        return self.clock.now() + IDLE_WAKE_INTERVAL_SECONDS

    def on_wake(self) -> None:
        """Does nothing: this task only reacts to commands."""

    def receive(self, message: object) -> object:
        if isinstance(message, GrantDue) and isinstance(message.command, GrantCommand):
            command = message.command
            result = self.command_client.grant(
                command.keys,
                command.fence,
                self.hold_seconds,
                command.handover,
                self.clock.now() + GRANT_TIMEOUT_SECONDS,
            )
            error = None if isinstance(result, Success) else result.failure()
            self.ownership_task.post(CommandCompleted(message.service, command, error))
        return None

    def close(self) -> None:
        """Stops the task and closes its connection."""
        self.stop()
        self.command_client.close()


def spawn_release(
    server: BackendServer,
    clock: BaseClock,
    codec: BaseServerCodec,
    service: str,
    command: ReleaseCommand,
    ownership_task: BaseTask,
) -> None:
    """Sends a release from its own greenlet and posts the result to ``ownership_task``.

    The server answers a release only when its work on the keys has ended, so a release occupies
    neither the server's ``GrantTask`` nor its connection.
    """

    def run() -> None:
        command_client = ServerCommandClient(server, clock, codec)
        deadline = clock.now() + RELEASE_TIMEOUT_SECONDS
        result = command_client.release(command.keys, command.fence, deadline)
        command_client.close()
        if isinstance(result, Success):
            ownership_task.post(CommandCompleted(service, command, None, result.unwrap()))
        else:
            ownership_task.post(CommandCompleted(service, command, result.failure()))

    gevent.spawn(run)
