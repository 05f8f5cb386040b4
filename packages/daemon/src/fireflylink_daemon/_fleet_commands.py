"""The tasks that send commands to all servers."""

from fireflylink_backend_client import BaseServerCodec
from fireflylink_core import BackendServer, BaseClock, ReceiveLimits, ServerIncarnation
from fireflylink_daemon._command_log import log_command_failed
from fireflylink_daemon._command_tasks import (
    MAX_GRANTS_IN_PROGRESS,
    MAX_RELEASES_IN_PROGRESS,
    CommandTask,
    ServerCommandTasks,
)
from fireflylink_daemon._messages import CommandCompleted, SendCommand
from fireflylink_daemon._task import BaseTask
from fireflylink_decisions.ownership import BaseCommand, GrantCommand


class FleetCommands:
    """The ``ServerCommandTasks`` of each server, owned by ``OwnershipTask``.

    Grants and releases of a server have tasks of their own, so that renewals do not wait for
    releases, which a server answers when its requests have ended. Their ``receive_limits`` are not
    those of the callers' requests, so that grants do not wait for these.
    """

    __slots__ = (
        "clock",
        "codec",
        "grant_tasks",
        "hold_seconds",
        "ownership_task",
        "receive_limits",
        "release_tasks",
    )

    def __init__(
        self,
        clock: BaseClock,
        codec: BaseServerCodec,
        ownership_task: BaseTask,
        hold_seconds: float,
    ) -> None:
        self.clock = clock
        self.codec = codec
        self.ownership_task = ownership_task
        self.hold_seconds = hold_seconds
        self.receive_limits = ReceiveLimits()
        self.grant_tasks: dict[ServerIncarnation, ServerCommandTasks] = {}
        self.release_tasks: dict[ServerIncarnation, ServerCommandTasks] = {}

    def has_free_task(self, server: BackendServer, command: BaseCommand, now: float) -> bool:
        """Whether a command can be sent to a server now."""
        return self._tasks(server, command).has_free_task(now)

    def send(
        self, server: BackendServer, service: str, command: BaseCommand, deadline: float
    ) -> None:
        """Sends a command; ``has_free_task`` must be true."""
        self._tasks(server, command).send(service, command, deadline)

    def record_completed(self, message: CommandCompleted) -> bool:
        """Records that a task is free again; returns whether other commands wait for it."""
        tasks = self._tasks_by_server(message.command).get(message.command.server)
        if tasks is None or not isinstance(message.sender, CommandTask):
            return False
        tasks.record_completed(message.sender)
        return tasks.has_refused

    def close_absent(self, present: set[ServerIncarnation]) -> list[SendCommand]:
        """Closes the tasks of all other servers; returns their commands in progress."""
        in_progress: list[SendCommand] = []
        for tasks_by_server in (self.grant_tasks, self.release_tasks):
            for incarnation in list(tasks_by_server):
                if incarnation not in present:
                    in_progress.extend(tasks_by_server.pop(incarnation).close())
        return in_progress

    def close(self) -> None:
        """Closes the tasks of all servers, and logs their commands in progress."""
        for message in self.close_absent(set()):
            log_command_failed(message.service, message.command, None)

    def _tasks_by_server(self, command: BaseCommand) -> dict[ServerIncarnation, ServerCommandTasks]:
        return self.grant_tasks if isinstance(command, GrantCommand) else self.release_tasks

    def _tasks(self, server: BackendServer, command: BaseCommand) -> ServerCommandTasks:
        """Returns the tasks for grants or for releases, and creates them at the first call."""
        tasks_by_server = self._tasks_by_server(command)
        tasks = tasks_by_server.get(command.server)
        if tasks is None:
            is_grant = isinstance(command, GrantCommand)
            tasks = tasks_by_server[command.server] = ServerCommandTasks(
                server,
                self.clock,
                self.codec,
                self.ownership_task,
                self.hold_seconds,
                MAX_GRANTS_IN_PROGRESS if is_grant else MAX_RELEASES_IN_PROGRESS,
                self.receive_limits,
            )
        return tasks
