"""Tasks that send grants and releases to servers."""

import gevent
from returns.result import Success

from fireflylink_backend_client import BaseServerCodec, ServerCommandClient
from fireflylink_core import BackendServer, BaseClock
from fireflylink_daemon._messages import CommandDue, CommandEnded
from fireflylink_daemon._task import BaseTask
from fireflylink_decisions.ownership import (
    GRANT_TIMEOUT_SECONDS,
    RELEASE_TIMEOUT_SECONDS,
    GrantCommand,
    ReleaseCommand,
)

IDLE_SECONDS = 3600.0


class GrantTask(BaseTask):
    """Sends the grants and renewals of one server, one after the other over one connection."""

    __slots__ = ("commands", "hold_seconds", "ownership")

    def __init__(
        self,
        server: BackendServer,
        clock: BaseClock,
        codec: BaseServerCodec,
        ownership: BaseTask,
        hold_seconds: float,
    ) -> None:
        super().__init__(f"grants-{server.server_id}", clock)
        self.commands = ServerCommandClient(server, clock, codec)
        self.ownership = ownership
        self.hold_seconds = hold_seconds

    def next_wake(self) -> float:
        return self.clock.now() + IDLE_SECONDS

    def wake(self) -> None:
        """Nothing is done without a command."""

    def receive(self, message: object) -> object:
        if isinstance(message, CommandDue) and isinstance(message.command, GrantCommand):
            command = message.command
            ended = self.commands.grant(
                command.keys,
                command.fence,
                self.hold_seconds,
                command.handover,
                self.clock.now() + GRANT_TIMEOUT_SECONDS,
            )
            error = None if isinstance(ended, Success) else ended.failure()
            self.ownership.post(CommandEnded(message.service, command, error))
        return None

    def close(self) -> None:
        """Ends the task and its connection."""
        self.stop()
        self.commands.close()


def spawn_release(
    server: BackendServer,
    clock: BaseClock,
    codec: BaseServerCodec,
    service: str,
    command: ReleaseCommand,
    ownership: BaseTask,
) -> None:
    """Sends a release from a greenlet of its own: its answer waits for the work on the keys."""

    def run() -> None:
        commands = ServerCommandClient(server, clock, codec)
        deadline = clock.now() + RELEASE_TIMEOUT_SECONDS
        ended = commands.release(command.keys, command.fence, deadline)
        commands.close()
        if isinstance(ended, Success):
            ownership.post(CommandEnded(service, command, None, ended.unwrap()))
        else:
            ownership.post(CommandEnded(service, command, ended.failure()))

    gevent.spawn(run)
