"""Records what servers announce with their answers about the requests that they want."""

from fireflylink_core import ServerNotice
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._messages import ServerLeaving
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_daemon._task import BaseTask
from fireflylink_decisions.servers import ServerTracker

PAUSE_LOG_INTERVAL_SECONDS = 1.0
"""Least time between two lines about the pauses of a server. Requests in flight may all be turned
away, each with an end of the pause that is a little later."""


class NoticeRecorder:
    """Applies the notices of servers to their trackers, and logs them.

    A server that leaves is reported to ``view_task``, which owns the state of the request path.
    """

    __slots__ = ("metrics", "routing_state", "view_task")

    def __init__(self, routing_state: RoutingState, metrics: Metrics) -> None:
        self.routing_state = routing_state
        self.metrics = metrics
        self.view_task: BaseTask | None = None

    def record(
        self, request_id: str, tracker: ServerTracker, notice: ServerNotice, now: float
    ) -> None:
        """Records what a server announced with its answer to the request ``request_id``."""
        if notice.is_leaving and not tracker.announced_leaving:
            self._record_leaving(request_id, tracker, now)
        if notice.pause_until is not None:
            self._record_pause(request_id, tracker, notice.pause_until, now)
        if notice.problem and notice.problem not in tracker.logged_problems:
            tracker.logged_problems.add(notice.problem)
            log_problem(
                "server-notice-unusable",
                server=tracker.server.incarnation,
                request=request_id,
                problem=notice.problem,
                value=notice.problem_value,
            )

    def _record_pause(
        self, request_id: str, tracker: ServerTracker, until: float, now: float
    ) -> None:
        self.metrics.count("server_pauses")
        is_later = self.routing_state.record_pause(tracker, until)
        if is_later and now >= tracker.pause_logged_at + PAUSE_LOG_INTERVAL_SECONDS:
            tracker.pause_logged_at = now
            log_event(
                "server-paused",
                server=tracker.server.incarnation,
                request=request_id,
                service=tracker.server.service,
                paused_until=until,
                now=now,
                in_flight=tracker.in_flight,
            )

    def _record_leaving(self, request_id: str, tracker: ServerTracker, now: float) -> None:
        tracker.announced_leaving = True
        tracker.send_window.close_at(now + self.routing_state.drain_seconds(tracker.server.service))
        self.metrics.count("servers_leaving")
        log_event(
            "server-leaving",
            server=tracker.server.incarnation,
            request=request_id,
            service=tracker.server.service,
            requests_end_at=tracker.send_window.closes_at,
            now=now,
        )
        if self.view_task is not None:
            self.view_task.post(ServerLeaving(tracker.server.incarnation, now))
