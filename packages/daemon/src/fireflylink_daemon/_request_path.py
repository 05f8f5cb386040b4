"""A request from its route to its reply: placement, attempts, retries."""

from fireflylink_backend_client import Cancellation
from fireflylink_caller_frontend import BaseDisconnectNotifier, BaseRequestHandler
from fireflylink_core import (
    NO_KEY,
    Answered,
    BaseCallResult,
    BaseClock,
    BaseReply,
    CallerDisconnected,
    CallerLimits,
    CallerRequest,
    Declined,
    Lost,
    LostReason,
    NotRun,
    NotSent,
    OutcomeUnknown,
    Route,
    ServerAnswer,
)
from fireflylink_daemon._crash_detector import CrashDetector
from fireflylink_daemon._dispatch_task import DispatchTask, WaitingRequest
from fireflylink_daemon._line_budget import LineBudget
from fireflylink_daemon._log import log_event
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._peers import KeyCounter
from fireflylink_daemon._serving import Serving
from fireflylink_decisions.dispatch import BaseDispatchResult, Dispatched, QueuedRequest, Refused
from fireflylink_decisions.poison import fingerprint_of
from fireflylink_decisions.retries import Attempts, BaseRetryDecision, Retry, ReturnReply

NO_ROUTE_STATUS = 404
SERVER_ERROR = 500
CRASH_REASONS = (LostReason.RESET, LostReason.CLOSED)
NOT_CONFIGURED_RETRY_SECONDS = 1.0
LEAVING_RETRY_SECONDS = 0.05
REPLY_MARGIN_SECONDS = 0.03
"""Time for the reply to reach the caller before its deadline."""

MILLISECONDS_PER_SECOND = 1000.0


class _Course:
    """One request on its way: what was decided for it so far."""

    __slots__ = (
        "attempts",
        "cancellation",
        "latest",
        "left",
        "objective_at",
        "request",
        "route",
        "service",
        "wait",
    )

    def __init__(
        self, request: CallerRequest, route: Route, service: str, latest: float, attempts: Attempts
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.latest = latest
        self.objective_at = request.received_at + route.objective_ms / MILLISECONDS_PER_SECOND
        self.attempts = attempts
        self.cancellation = Cancellation()
        self.wait = WaitingRequest()
        self.left = False

    def leave(self) -> None:
        """Ends the wait or the call: the caller has left."""
        self.left = True
        self.cancellation.cancel()
        self.wait.woken.set()


class RequestPath(BaseRequestHandler):
    """Handles callers' requests with the state of ``Serving``."""

    __slots__ = ("clock", "closed", "crashes", "dispatch", "keys", "lines", "metrics", "serving")

    def __init__(
        self,
        serving: Serving,
        dispatch: DispatchTask,
        keys: KeyCounter,
        crashes: CrashDetector,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        self.serving = serving
        self.dispatch = dispatch
        self.closed = False
        self.keys = keys
        self.lines = LineBudget()
        self.crashes = crashes
        self.clock = clock
        self.metrics = metrics

    def limits(self) -> CallerLimits:
        return self.serving.limits()

    def handle(
        self, request: CallerRequest, disconnect_notifier: BaseDisconnectNotifier
    ) -> BaseReply:
        routes = self.serving.routes
        if self.closed:
            return self._refused(request, NotRun("leaving", retry_after=LEAVING_RETRY_SECONDS))
        if routes is None:
            return self._refused(
                request, NotRun("no-configuration", 503, NOT_CONFIGURED_RETRY_SECONDS)
            )
        route = routes.find(request.host, request.path)
        if route is None:
            return self._refused(request, NotRun("no-route", NO_ROUTE_STATUS))
        if self._is_poison(request):
            return self._refused(request, NotRun("poison"))
        course = self._course(request, route)
        disconnect_notifier.on_disconnect(course.leave)
        reply = self._run(course)
        self._finish(course, reply)
        return reply

    def _is_poison(self, request: CallerRequest) -> bool:
        poison = self.serving.poison
        return poison.has_suspects() and poison.is_poison(fingerprint_of(request), self.clock.now())

    def _course(self, request: CallerRequest, route: Route) -> _Course:
        service = self.serving.splits.choose(route)
        self.serving.budget(service).record_request(request.received_at)
        if request.key != NO_KEY:
            self.keys.record_request(service, request.key)
        timeout = route.timeout_ms / MILLISECONDS_PER_SECOND
        latest = min(request.deadline - REPLY_MARGIN_SECONDS, request.received_at + timeout)
        attempts = Attempts(route.idempotent, route.max_attempts)
        return _Course(request, route, service, latest, attempts)

    def _run(self, course: _Course) -> BaseReply:
        while True:
            placement = self._place(course)
            if course.left:
                self._undo(placement)
                return CallerDisconnected()
            if isinstance(placement, Refused):
                return course.attempts.refusal_reply(placement.reason, placement.retry_after)
            if not isinstance(placement, Dispatched):
                return course.attempts.refusal_reply("not-placed", NOT_CONFIGURED_RETRY_SECONDS)
            result = self._call(course, placement)
            if course.left:
                return CallerDisconnected()
            decision = self._next(course, placement, result)
            if isinstance(decision, ReturnReply):
                return decision.reply

    def _place(self, course: _Course) -> BaseDispatchResult | None:
        request = QueuedRequest(
            course.service,
            course.route.priority,
            course.request.received_at,
            course.latest,
            course.request.key,
            frozenset(course.attempts.tried_servers),
            course.objective_at,
        )
        course.wait.woken.clear()
        if course.left:
            return None
        return self.dispatch.place(request, course.wait)

    def _undo(self, placement: BaseDispatchResult | None) -> None:
        if isinstance(placement, Dispatched):
            placement.tracker.record_completed()

    def _call(self, course: _Course, dispatched: Dispatched) -> BaseCallResult:
        tracker = dispatched.tracker
        pool = self.serving.pool_of(tracker)
        sent_at = self.clock.now()
        course.attempts.record_sent(tracker.server.server_id)
        try:
            result = pool.call(course.request, course.latest, course.cancellation)
        finally:
            tracker.record_completed()
        now = self.clock.now()
        if isinstance(result, Answered | Declined) and result.load is not None:
            tracker.record_load(result.load, now)
        if isinstance(result, Answered) and result.answer.status < SERVER_ERROR:
            seconds = now - sent_at
            if (
                tracker.record_answer(seconds, dispatched.queueing_factor, now)
                and course.request.key != NO_KEY
            ):
                self.keys.record_service_time(course.service, tracker.server.server_id, seconds)
        elif _failed_at_server(result):
            tracker.record_failure(now)
        elif isinstance(result, Lost) and result.reason is LostReason.LATE:
            seconds = tracker.record_timeout(now - sent_at, dispatched.queueing_factor, now)
            if course.request.key != NO_KEY:
                self.keys.record_service_time(course.service, tracker.server.server_id, seconds)
        elif isinstance(result, NotSent):
            tracker.record_no_response(now)
        if isinstance(result, Lost) and result.reason in CRASH_REASONS:
            self.crashes.record_lost_connection(tracker.server, course.request)
        self.dispatch.sweep()
        return result

    def _next(
        self, course: _Course, dispatched: Dispatched, result: BaseCallResult
    ) -> BaseRetryDecision:
        now = self.clock.now()
        budget = self.serving.budget(course.service)
        if isinstance(result, Declined) and result.misdirected:
            self.dispatch.dispatcher.record_misdirected(course.service, dispatched, now)
        decision = course.attempts.decide(
            result, course.latest - now, budget.allows_retry(now, self.serving.position)
        )
        if isinstance(decision, Retry):
            if decision.reached_server:
                budget.record_retry(now)
            log_event(
                "request-retried",
                request=course.request.request_id,
                server=dispatched.tracker.server.server_id,
                result=type(result).__name__,
                reason=decision.reason,
                left_seconds=course.latest - now,
            )
        return decision

    def _refused(self, request: CallerRequest, reply: NotRun) -> NotRun:
        self.metrics.count("requests", route="none", outcome=reply.reason)
        log_event(
            "request-refused",
            request=request.request_id,
            host=request.host,
            path=request.path,
            reason=reply.reason,
            status=reply.status,
            version=self.serving.routes.version if self.serving.routes is not None else 0,
        )
        return reply

    def _finish(self, course: _Course, reply: BaseReply) -> None:
        seconds = self.clock.now() - course.request.received_at
        outcome, status = _outcome(reply)
        self.metrics.count("requests", route=course.route.name, outcome=outcome)
        if isinstance(reply, ServerAnswer):
            self.metrics.record_latency(course.route.name, seconds)
        self._log_request(course, reply, outcome, status, seconds)

    def _log_request(
        self, course: _Course, reply: BaseReply, outcome: str, status: int, seconds: float
    ) -> None:
        if not self.lines.take(isinstance(reply, ServerAnswer), self.clock.now()):
            return
        omitted = self.lines.take_omitted()
        if omitted:
            log_event("request-lines-omitted", count=omitted)
        table = self.serving.owner_tables.get(course.service)
        log_event(
            "request",
            request=course.request.request_id,
            route=course.route.name,
            service=course.service,
            key=course.request.key,
            outcome=outcome,
            status=status,
            servers=",".join(course.attempts.tried_servers) or "none",
            seconds=seconds,
            limit_seconds=course.latest - course.request.received_at,
            version=self.serving.routes.version if self.serving.routes is not None else 0,
            fence=table.fence if table is not None else 0,
            waiting=self.dispatch.dispatcher.queued_count,
            **({} if isinstance(reply, ServerAnswer) else self._owner_fields(course)),
        )

    def _owner_fields(self, course: _Course) -> dict[str, object]:
        """Returns what was known of the owner of a key when its request was not answered."""
        pool = self.serving.dispatcher.pools.get(course.service)
        if pool is None or not pool.keyed or pool.table is None:
            return {}
        assignment = pool.table.find(course.request.key)
        if assignment is None:
            return {"owner": "none"}
        now = self.clock.now()
        tracker = pool.trackers.get(assignment.owner)
        fields: dict[str, object] = {
            "owner": assignment.owner,
            "keys_fence": assignment.fence,
            "moving": bool(assignment.previous_holders),
            "table_age": now - pool.table_received_at,
            "reachable": tracker is not None,
        }
        if tracker is not None:
            fields["owner_queue"] = tracker.expected_load(now)
            fields["owner_report_age"] = (
                now - tracker.reported_at if tracker.reported_load else -1.0
            )
            fields["owner_failures"] = tracker.consecutive_no_responses
        return fields


def _failed_at_server(result: BaseCallResult) -> bool:
    """Whether the server failed the request, or turned it away other than for its key."""
    if isinstance(result, Declined):
        return not result.misdirected
    if isinstance(result, Lost):
        return result.reason not in (LostReason.CANCELLED, LostReason.LATE)
    return isinstance(result, Answered)


def _outcome(reply: BaseReply) -> tuple[str, int]:
    if isinstance(reply, ServerAnswer):
        return "answered", reply.status
    if isinstance(reply, NotRun):
        return reply.reason, reply.status
    if isinstance(reply, OutcomeUnknown):
        return f"unknown-{reply.reason}", 504 if reply.timed_out else 502
    return "caller-left", 0
