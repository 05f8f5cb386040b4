"""Tasks that send grants and releases to backend servers."""

from returns.result import Result, Success

from fireflylink_backend_client import BaseServerCodec, CommandError, ServerCommandClient
from fireflylink_core import BackendServer, BaseClock, ReceiveLimits
from fireflylink_daemon._messages import CommandCompleted, SendCommand
from fireflylink_daemon._task import BaseTask
from fireflylink_decisions.ownership import BaseCommand, GrantCommand, ReleaseCommand

IDLE_WAKE_INTERVAL_SECONDS = 3600.0
"""A ``CommandTask`` without messages wakes at this interval and does nothing."""

MAX_GRANTS_IN_PROGRESS = 4
"""Grants that are sent to one server side by side. Each needs a connection of its own, and a server
accepts a limited number of connections from all callers together."""

MAX_RELEASES_IN_PROGRESS = 12
"""Releases that wait for one server side by side. A server answers a release only when its requests
on the keys have ended, so that more of them are in progress than grants."""

PROMPT_ANSWER_SECONDS = 0.1
"""A further connection to a server is opened only when all commands in progress have waited for
their answers for so long. A server that answers promptly needs one connection."""


class CommandTask(BaseTask):
    """Sends commands to one server, one at a time over one connection.

    It is given a command only while it has none, so that no command waits in its mailbox. It posts
    a ``CommandCompleted`` to ``ownership_task`` for each of them. A command is not sent after the
    deadline in its message, for which the sender's ``GrantTracker`` accounts.
    """

    __slots__ = ("command_client", "hold_seconds", "ownership_task")

    def __init__(
        self,
        server: BackendServer,
        clock: BaseClock,
        codec: BaseServerCodec,
        ownership_task: BaseTask,
        hold_seconds: float,
        receive_limits: ReceiveLimits | None = None,
    ) -> None:
        super().__init__(f"commands-{server.server_id}", clock)
        self.command_client = ServerCommandClient(server, clock, codec, receive_limits)
        self.ownership_task = ownership_task
        self.hold_seconds = hold_seconds

    def next_wake_at(self) -> float:
        return self.clock.now() + IDLE_WAKE_INTERVAL_SECONDS

    def on_wake(self) -> None:
        """Does nothing: this task only reacts to commands."""

    def receive(self, message: object) -> object:
        if not isinstance(message, SendCommand):
            return None
        result = self._send(message.command, message.deadline)
        error = None if isinstance(result, Success) else result.failure()
        handover = result.unwrap() if isinstance(result, Success) else ""
        self.ownership_task.post(
            CommandCompleted(message.service, message.command, error, handover, self)
        )
        return None

    def close(self) -> None:
        """Stops the task and resets its connection; a command in progress ends."""
        self.stop()
        self.command_client.close()

    def _send(self, command: BaseCommand, deadline: float) -> Result[str, CommandError]:
        if isinstance(command, GrantCommand):
            granted = self.command_client.grant(
                command.keys, command.fence, self.hold_seconds, command.handover, deadline
            )
            return granted.map(lambda _granted: "")
        if isinstance(command, ReleaseCommand):
            return self.command_client.release(command.keys, command.fence, deadline)
        raise TypeError(type(command).__name__)


class ServerCommandTasks:
    """The ``CommandTask``s of one server incarnation, owned by ``OwnershipTask``.

    ``idle`` are the tasks without a command, and ``busy`` has the command of each of the others.
    ``last_sent_at`` is when a task was last given one, in seconds on the clock. There is no line of
    commands: one that finds no free task stays due in the ``GrantTracker``, and what is sent later
    is decided then. ``has_refused`` is true if that happened since a task was last given a command.
    """

    __slots__ = (
        "busy",
        "clock",
        "codec",
        "has_refused",
        "hold_seconds",
        "idle",
        "last_sent_at",
        "limit",
        "ownership_task",
        "receive_limits",
        "server",
    )

    def __init__(
        self,
        server: BackendServer,
        clock: BaseClock,
        codec: BaseServerCodec,
        ownership_task: BaseTask,
        hold_seconds: float,
        limit: int,
        receive_limits: ReceiveLimits | None = None,
    ) -> None:
        self.server = server
        self.clock = clock
        self.codec = codec
        self.ownership_task = ownership_task
        self.hold_seconds = hold_seconds
        self.limit = limit
        self.receive_limits = receive_limits
        self.idle: list[CommandTask] = []
        self.busy: dict[CommandTask, SendCommand] = {}
        self.last_sent_at = float("-inf")
        self.has_refused = False

    def has_free_task(self, now: float) -> bool:
        """Whether a command can be sent now."""
        free = (
            bool(self.idle)
            or not self.busy
            or (len(self.busy) < self.limit and now >= self.last_sent_at + PROMPT_ANSWER_SECONDS)
        )
        self.has_refused = self.has_refused or not free
        return free

    def send(self, service: str, command: BaseCommand, deadline: float) -> None:
        """Gives a command to a task; ``has_free_task`` must be true."""
        task = self.idle.pop() if self.idle else self._start_task()
        message = SendCommand(service, command, deadline)
        self.busy[task] = message
        self.last_sent_at = self.clock.now()
        self.has_refused = False
        task.post(message)

    def record_completed(self, task: CommandTask) -> None:
        """Records that a task's command has ended."""
        if self.busy.pop(task, None) is not None:
            self.idle.append(task)

    def close(self) -> list[SendCommand]:
        """Stops all tasks and resets their connections; returns the commands in progress."""
        for task in (*self.idle, *self.busy):
            task.close()
        in_progress = list(self.busy.values())
        self.idle = []
        self.busy = {}
        return in_progress

    def _start_task(self) -> CommandTask:
        task = CommandTask(
            self.server,
            self.clock,
            self.codec,
            self.ownership_task,
            self.hold_seconds,
            self.receive_limits,
        )
        task.start()
        return task
