"""Handling of one request: routing, dispatch to a server, retries, reply."""

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
from fireflylink_daemon._dispatch_task import DispatchTask
from fireflylink_daemon._log import log_event
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._notice_recorder import NoticeRecorder
from fireflylink_daemon._peers import KeyCounter
from fireflylink_daemon._request_context import RequestContext
from fireflylink_daemon._request_log_limiter import RequestLogLimiter
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_decisions.dispatch import BaseDispatchResult, Dispatched, QueuedRequest, Refused
from fireflylink_decisions.poison import fingerprint_of
from fireflylink_decisions.retries import (
    MIN_SERVER_ERROR_STATUS,
    RETRY_AFTER_SECONDS,
    Attempts,
    BaseRetryDecision,
    Retry,
    ReturnReply,
)
from fireflylink_decisions.shutdown import ShutdownPlan

NO_ROUTE_STATUS = 404
POSSIBLE_CRASH_REASONS = (LostReason.RESET, LostReason.CLOSED)
NO_CONFIGURATION_RETRY_SECONDS = 1.0
LEAVING_RETRY_SECONDS = 0.05
"""Short, because the caller can send the request to another daemon."""

REPLY_MARGIN_SECONDS = 0.03
"""Reserved so that the reply reaches the caller before its deadline."""

MILLISECONDS_PER_SECOND = 1000.0


class RequestHandler(BaseRequestHandler):
    """Routes callers' requests, dispatches and retries them, with the state of ``RoutingState``.

    While ``closed`` is true, every new request is refused. ``shutdown_plan`` is None until the
    daemon shuts down.
    """

    __slots__ = (
        "clock",
        "closed",
        "crash_detector",
        "dispatch_task",
        "key_counter",
        "log_limiter",
        "metrics",
        "notice_recorder",
        "open_contexts",
        "routing_state",
        "shutdown_plan",
    )

    def __init__(
        self,
        routing_state: RoutingState,
        dispatch_task: DispatchTask,
        key_counter: KeyCounter,
        crash_detector: CrashDetector,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        self.routing_state = routing_state
        self.dispatch_task = dispatch_task
        self.closed = False
        self.shutdown_plan: ShutdownPlan | None = None
        self.open_contexts: set[RequestContext] = set()
        self.key_counter = key_counter
        self.log_limiter = RequestLogLimiter()
        self.crash_detector = crash_detector
        self.clock = clock
        self.metrics = metrics
        self.notice_recorder = NoticeRecorder(routing_state, metrics)

    def begin_shutdown(self, plan: ShutdownPlan) -> None:
        """Bounds the deadlines of all requests by the end of the shutdown."""
        self.shutdown_plan = plan
        for context in self.open_contexts:
            context.deadline = plan.bounded_deadline(context.deadline)

    def end_open_requests(self) -> None:
        """Gives every request that is still in progress an answer of this daemon."""
        if self.open_contexts:
            log_event("requests-ended", count=len(self.open_contexts))
        for context in list(self.open_contexts):
            context.end()

    def limits(self) -> CallerLimits:
        return self.routing_state.caller_limits()

    def handle(
        self, request: CallerRequest, disconnect_notifier: BaseDisconnectNotifier
    ) -> BaseReply:
        routes = self.routing_state.routes
        if self.closed:
            return self._refuse(request, NotRun("leaving", retry_after=LEAVING_RETRY_SECONDS))
        if routes is None:
            return self._refuse(
                request, NotRun("no-configuration", 503, NO_CONFIGURATION_RETRY_SECONDS)
            )
        route = routes.find(request.host, request.path)
        if route is None and routes.is_complete:
            return self._refuse(request, NotRun("no-route", NO_ROUTE_STATUS))
        if route is None or not route.targets:
            return self._refuse(
                request, NotRun("unreadable-route", 503, NO_CONFIGURATION_RETRY_SECONDS)
            )
        if self._is_poison(request):
            return self._refuse(request, NotRun("poison"))
        context = self._make_context(request, route)
        disconnect_notifier.on_disconnect(context.on_disconnect)
        self.open_contexts.add(context)
        try:
            reply = self._execute(context)
        finally:
            self.open_contexts.discard(context)
        self._record_outcome(context, reply)
        return reply

    def _is_poison(self, request: CallerRequest) -> bool:
        poison = self.routing_state.poison
        return poison.has_suspects() and poison.is_poison(fingerprint_of(request), self.clock.now())

    def _make_context(self, request: CallerRequest, route: Route) -> RequestContext:
        service = self.routing_state.traffic_splitter.choose(route)
        self.routing_state.retry_budget(service).record_request(request.received_at)
        if request.key != NO_KEY:
            self.key_counter.record_request(service, request.key)
        timeout = route.timeout_ms / MILLISECONDS_PER_SECOND
        deadline = min(request.deadline - REPLY_MARGIN_SECONDS, request.received_at + timeout)
        if self.shutdown_plan is not None:
            deadline = self.shutdown_plan.bounded_deadline(deadline)
        attempts = Attempts(route.idempotent, route.max_attempts)
        return RequestContext(request, route, service, deadline, attempts)

    def _execute(self, context: RequestContext) -> BaseReply:
        while True:
            dispatch_result = self._dispatch(context)
            if context.caller_disconnected:
                self._undo_dispatch(dispatch_result)
                return CallerDisconnected()
            if context.ended or self._would_outlast_shutdown(context, dispatch_result):
                self._undo_dispatch(dispatch_result)
                return context.attempts.final_reply("leaving", LEAVING_RETRY_SECONDS)
            if isinstance(dispatch_result, Refused):
                return context.attempts.final_reply(
                    dispatch_result.reason, dispatch_result.retry_after
                )
            # Not expected: the result is missing only after the caller has disconnected.
            if not isinstance(dispatch_result, Dispatched):
                return context.attempts.final_reply("not-placed", NO_CONFIGURATION_RETRY_SECONDS)
            result = self._call(context, dispatch_result)
            if context.caller_disconnected:
                return CallerDisconnected()
            if context.ended and isinstance(result, Lost):
                return OutcomeUnknown("leaving", timed_out=True)
            decision = self._decide_retry(context, dispatch_result, result)
            if isinstance(decision, ReturnReply):
                return decision.reply

    def _dispatch(self, context: RequestContext) -> BaseDispatchResult | None:
        request = QueuedRequest(
            context.service,
            context.route.priority,
            context.request.received_at,
            context.deadline,
            context.request.key,
            frozenset(context.attempts.tried_servers),
            context.objective_at,
        )
        context.waiter.wake_event.clear()
        if context.caller_disconnected:
            return None
        return self.dispatch_task.dispatch(request, context.waiter)

    def _would_outlast_shutdown(
        self, context: RequestContext, dispatch_result: BaseDispatchResult | None
    ) -> bool:
        """Whether a request cannot be expected to complete before the daemon ends."""
        if self.shutdown_plan is None or not isinstance(dispatch_result, Dispatched):
            return False
        now = self.clock.now()
        expected_seconds = dispatch_result.tracker.expected_seconds(now)
        return not self.shutdown_plan.may_pass_on(expected_seconds, context.deadline, now)

    def _undo_dispatch(self, dispatch_result: BaseDispatchResult | None) -> None:
        """Removes a dispatched request that is not sent after all from the in-flight count."""
        if isinstance(dispatch_result, Dispatched):
            dispatch_result.tracker.record_completed()

    def _call(self, context: RequestContext, dispatched: Dispatched) -> BaseCallResult:
        tracker = dispatched.tracker
        pool = self.routing_state.connection_pool(tracker)
        sent_at = self.clock.now()
        context.attempts.record_sent(tracker.server.server_id)
        try:
            result = pool.call(context.request, context.deadline, context.cancellation)
        finally:
            tracker.record_completed()
        now = self.clock.now()
        if isinstance(result, Answered | Declined) and result.load is not None:
            tracker.record_load(result.load, now)
        if isinstance(result, Answered | Declined | Lost) and result.notice is not None:
            self.notice_recorder.record(context.request.request_id, tracker, result.notice, now)
        if isinstance(result, Answered) and result.answer.status < MIN_SERVER_ERROR_STATUS:
            seconds = now - sent_at
            if (
                tracker.record_answer(seconds, dispatched.queueing_factor, now)
                and context.request.key != NO_KEY
            ):
                self.key_counter.record_service_time(
                    context.service, tracker.server.server_id, seconds
                )
        elif _failed_at_server(result):
            tracker.record_failure(now)
        elif isinstance(result, Lost) and result.reason is LostReason.LATE:
            seconds = tracker.record_timeout(now - sent_at, dispatched.queueing_factor, now)
            if context.request.key != NO_KEY:
                self.key_counter.record_service_time(
                    context.service, tracker.server.server_id, seconds
                )
        elif isinstance(result, NotSent) and not result.withheld:
            tracker.record_no_response(now)
        if isinstance(result, Lost) and result.reason in POSSIBLE_CRASH_REASONS:
            self.crash_detector.record_lost_connection(tracker.server, context.request)
        self.dispatch_task.sweep()
        return result

    def _decide_retry(
        self, context: RequestContext, dispatched: Dispatched, result: BaseCallResult
    ) -> BaseRetryDecision:
        now = self.clock.now()
        budget = self.routing_state.retry_budget(context.service)
        if isinstance(result, Declined) and result.misdirected:
            self.dispatch_task.dispatcher.record_misdirected(context.service, dispatched, now)
        budget_allows = budget.allows_retry(now, self.routing_state.fleet_position)
        seconds_left = context.deadline - now
        decision = context.attempts.decide(
            result, seconds_left, budget_allows, self._retry_after(context, result, now)
        )
        if isinstance(decision, Retry):
            if decision.reached_server:
                budget.record_retry(now)
            log_event(
                "request-retried",
                request=context.request.request_id,
                server=dispatched.tracker.server.server_id,
                result=type(result).__name__,
                reason=decision.reason,
                left_seconds=context.deadline - now,
            )
        return decision

    def _retry_after(self, context: RequestContext, result: BaseCallResult, now: float) -> float:
        """Returns when a caller should return whose request was declined and is not retried."""
        if not isinstance(result, Declined) or result.notice is None:
            return RETRY_AFTER_SECONDS
        seconds = self.dispatch_task.dispatcher.retry_after_pause(
            context.service, context.request.key, now
        )
        return RETRY_AFTER_SECONDS if seconds is None else seconds

    def record_refusal(self, reason: str) -> None:
        """Records that the front end refused a request that it could not read or decode."""
        self.metrics.count("requests_refused_unread")
        if self.log_limiter.try_acquire(False, self.clock.now()):
            log_event("request-unread", reason=reason)

    def _refuse(self, request: CallerRequest, reply: NotRun) -> NotRun:
        self.metrics.count("requests", route="none", outcome=reply.reason)
        log_event(
            "request-refused",
            request=request.request_id,
            host=request.host,
            path=request.path,
            reason=reply.reason,
            status=reply.status,
            version=(
                self.routing_state.routes.version if self.routing_state.routes is not None else 0
            ),
        )
        return reply

    def _record_outcome(self, context: RequestContext, reply: BaseReply) -> None:
        seconds = self.clock.now() - context.request.received_at
        outcome, status = _outcome_and_status(reply)
        self.metrics.count("requests", route=context.route.name, outcome=outcome)
        if isinstance(reply, ServerAnswer):
            self.metrics.record_latency(context.route.name, seconds)
        self._log_request(context, reply, outcome, status, seconds)

    def _log_request(
        self, context: RequestContext, reply: BaseReply, outcome: str, status: int, seconds: float
    ) -> None:
        if not self.log_limiter.try_acquire(isinstance(reply, ServerAnswer), self.clock.now()):
            return
        omitted = self.log_limiter.take_omitted()
        if omitted:
            log_event("request-lines-omitted", count=omitted)
        table = self.routing_state.ownership_tables.get(context.service)
        log_event(
            "request",
            request=context.request.request_id,
            route=context.route.name,
            service=context.service,
            key=context.request.key,
            outcome=outcome,
            status=status,
            servers=",".join(context.attempts.tried_servers) or "none",
            seconds=seconds,
            limit_seconds=context.deadline - context.request.received_at,
            version=(
                self.routing_state.routes.version if self.routing_state.routes is not None else 0
            ),
            fence=table.fence if table is not None else 0,
            waiting=self.dispatch_task.dispatcher.queued_count,
            **({} if isinstance(reply, ServerAnswer) else self._owner_fields(context)),
        )

    def _owner_fields(self, context: RequestContext) -> dict[str, object]:
        """Returns log fields about the owner of the key of a request that was not answered."""
        pool = self.routing_state.dispatcher.pools.get(context.service)
        if pool is None or not pool.keyed or pool.table is None:
            return {}
        assignment = pool.table.find(context.request.key)
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
            # -1 when the server has not reported its load.
            fields["owner_report_age"] = (
                now - tracker.reported_at if tracker.reported_load else -1.0
            )
            fields["owner_failures"] = tracker.consecutive_no_responses
        return fields


def _failed_at_server(result: BaseCallResult) -> bool:
    """Whether the server failed the request, or declined it for another reason than its key."""
    if isinstance(result, Declined):
        return not result.misdirected
    if isinstance(result, Lost):
        return result.reason not in (LostReason.CANCELLED, LostReason.LATE)
    return isinstance(result, Answered)


def _outcome_and_status(reply: BaseReply) -> tuple[str, int]:
    if isinstance(reply, ServerAnswer):
        return "answered", reply.status
    if isinstance(reply, NotRun):
        return reply.reason, reply.status
    if isinstance(reply, OutcomeUnknown):
        return f"unknown-{reply.reason}", 504 if reply.timed_out else 502
    return "caller-left", 0
