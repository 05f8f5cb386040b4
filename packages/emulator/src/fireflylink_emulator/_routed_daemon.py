"""Emulated daemon that runs the production code for dispatch, limits and retries."""

from collections.abc import Callable

from fireflylink_core import (
    Answered,
    BaseCallResult,
    BaseReply,
    CallerDisconnected,
    Declined,
    KeyRange,
    Lost,
    LostReason,
    NotSent,
    OwnershipTable,
    ServerIncarnation,
)
from fireflylink_decisions.dispatch import (
    BaseDispatchResult,
    Dispatched,
    Dispatcher,
    QueuedRequest,
    Refused,
    ServicePool,
)
from fireflylink_decisions.limits import ColdLimit, FleetPosition, RetryBudget, RetryBudgetLimits
from fireflylink_decisions.retries import RETRY_AFTER_SECONDS, Attempts, Retry, ReturnReply
from fireflylink_decisions.servers import ServerTracker, ServiceLimits
from fireflylink_emulator._base_daemon import (
    ERROR_ANSWER,
    OK_ANSWER,
    REPLY_MARGIN_SECONDS,
    BaseEmulatedDaemon,
)
from fireflylink_emulator._caller_attempt import CallerAttempt, CallOutcome, CallStatus
from fireflylink_emulator._emulated_server import EmulatedServer
from fireflylink_emulator._event_scheduler import EventScheduler
from fireflylink_emulator._profile import FleetProfile, ServiceProfile

SWEEP_INTERVAL_SECONDS = 0.02
"""Interval of sweeps, which dispatch queued requests or refuse those that would be late."""

MILLISECONDS_PER_SECOND = 1000.0
DECLINED_STATUS = 503
MISDIRECTED_STATUS = 421


class _ActiveAttempt:
    """An attempt of a caller that the daemon has received and not yet replied to.

    ``server_attempts`` decides whether the request is sent to another server.
    """

    __slots__ = ("attempt", "disconnected", "on_reply", "server_attempts")

    def __init__(
        self,
        attempt: CallerAttempt,
        server_attempts: Attempts,
        on_reply: Callable[[BaseReply], None],
    ) -> None:
        self.attempt = attempt
        self.server_attempts = server_attempts
        self.on_reply = on_reply
        self.disconnected = False


class RoutedDaemon(BaseEmulatedDaemon):
    """Daemon that routes requests with the production code.

    ``Dispatcher`` chooses the server of a request, and ``Attempts`` decides on retries.
    ``position`` is the daemon's place among the daemons that the store lists, from which its shares
    of the limits of the fleet follow. If ``heeds_notices`` is false, it sends requests also to
    servers that have asked for a pause or announced that they leave.
    ``service_times`` (server name and seconds) and ``requested_keys`` are collected for the next
    report to the decider. ``queued`` maps requests in the dispatcher's queue to their attempts.
    """

    __slots__ = (
        "active_attempts",
        "dispatcher",
        "heeds_notices",
        "position",
        "profiles",
        "queued",
        "requested_keys",
        "retry_budgets",
        "servers",
        "service_times",
        "sweep_scheduled",
        "trackers",
    )

    def __init__(
        self,
        name: str,
        data_centre: str,
        fleet: FleetProfile,
        scheduler: EventScheduler,
        profiles: tuple[ServiceProfile, ...],
        members: tuple[str, ...],
    ) -> None:
        super().__init__(name, data_centre, fleet, scheduler)
        self.position = FleetPosition(name, members)
        self.profiles = {profile.service: profile for profile in profiles}
        self.dispatcher = Dispatcher()
        self.heeds_notices = True
        self.trackers: dict[ServerIncarnation, ServerTracker] = {}
        self.servers: dict[ServerIncarnation, EmulatedServer] = {}
        self.active_attempts: dict[CallerAttempt, _ActiveAttempt] = {}
        self.queued: dict[QueuedRequest, _ActiveAttempt] = {}
        self.sweep_scheduled = False
        self.requested_keys: list[int] = []
        self.service_times: list[tuple[str, float]] = []
        limits = RetryBudgetLimits(
            fleet.retry_budget_ratio, fleet.retry_budget_extra, fleet.retry_budget_window_seconds
        )
        self.retry_budgets = {profile.service: RetryBudget(limits) for profile in profiles}
        for profile in profiles:
            self.dispatcher.pools[profile.service] = ServicePool(
                profile.keyed, self._service_limits(profile)
            )

    def update_members(self, members: tuple[str, ...]) -> None:
        """Replaces the names of the daemons that are listed in the store."""
        self.position = FleetPosition(self.name, members)
        for name, pool in self.dispatcher.pools.items():
            pool.limits = self._service_limits(self.profiles[name])

    def update_servers(self, servers: list[EmulatedServer]) -> None:
        now = self.scheduler.clock.now()
        for pool in self.dispatcher.pools.values():
            pool.trackers = {}
        for server in servers:
            registration = server.registration()
            tracker = self.trackers.get(registration.incarnation)
            if tracker is None:
                tracker = self.trackers[registration.incarnation] = ServerTracker(registration)
                self.servers[registration.incarnation] = server
            if registration.cold_ms > 0:
                tracker.cold_limiter.mark_cold(now + registration.cold_ms / MILLISECONDS_PER_SECOND)
            self.dispatcher.pools[server.profile.service].trackers[
                registration.incarnation
            ] = tracker
        self._sweep()

    def update_table(self, table: OwnershipTable) -> None:
        self.dispatcher.pools[table.service].set_table(table, self.scheduler.clock.now())

    def record_granted_keys(self, service: str, keys: KeyRange, fence: int) -> None:
        """Records that a range was granted to its new holder, as the decider has announced."""
        self.dispatcher.pools[service].confirmed_grants.add((keys, fence))
        self._sweep()

    def receive(self, attempt: CallerAttempt, on_reply: Callable[[BaseReply], None]) -> None:
        self.retry_budgets[attempt.profile.service].record_request(self.scheduler.clock.now())
        if attempt.profile.keyed:
            self.requested_keys.append(attempt.key)
        server_attempts = Attempts(attempt.profile.idempotent, attempt.profile.max_attempts)
        active = _ActiveAttempt(attempt, server_attempts, on_reply)
        self.active_attempts[attempt] = active
        self._submit(active)

    def cancel(self, attempt: CallerAttempt) -> None:
        active = self.active_attempts.pop(attempt, None)
        if active is None:
            return
        active.disconnected = True
        for request, queued in list(self.queued.items()):
            if queued is active:
                del self.queued[request]
                self.dispatcher.cancel(request)
        active_call = self.active_calls.get(attempt)
        if active_call is not None:
            active_call[0].on_disconnect(active_call[1])
            # The tracker of the server counts the call as one that timed out.
            active_call[1].on_done(CallOutcome(CallStatus.LATE))
        active.on_reply(CallerDisconnected())

    def _submit(self, active: _ActiveAttempt) -> None:
        attempt = active.attempt
        request = QueuedRequest(
            attempt.profile.service,
            attempt.profile.priority,
            attempt.received_at,
            attempt.deadline - REPLY_MARGIN_SECONDS,
            attempt.key if attempt.profile.keyed else -1,  # NO_KEY
            frozenset(active.server_attempts.tried_servers),
            attempt.received_at + attempt.profile.objective_seconds,
        )
        result = self.dispatcher.submit(request, self.scheduler.clock.now())
        if result is not None:
            self._apply_result(active, result)
            return
        self.queued[request] = active
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.scheduler.schedule_after(SWEEP_INTERVAL_SECONDS, self._sweep_periodically)

    def _sweep_periodically(self) -> None:
        self._sweep()
        if self.queued:
            self.scheduler.schedule_after(SWEEP_INTERVAL_SECONDS, self._sweep_periodically)
        else:
            self.sweep_scheduled = False

    def _sweep(self) -> None:
        if not self.queued:
            return
        for request, result in self.dispatcher.sweep(self.scheduler.clock.now()):
            self._apply_result(self.queued.pop(request), result)

    def _apply_result(self, active: _ActiveAttempt, result: BaseDispatchResult) -> None:
        if isinstance(result, Refused):
            reply = active.server_attempts.final_reply(result.reason, result.retry_after)
            self._finish(active, reply)
        elif isinstance(result, Dispatched):
            incarnation = result.tracker.server.incarnation
            active.server_attempts.record_sent(incarnation.server_id)
            sent_at = self.scheduler.clock.now()
            self.call(
                active.attempt,
                self.servers[incarnation],
                lambda outcome: self._on_outcome(active, result, sent_at, outcome),
            )

    def _on_outcome(
        self, active: _ActiveAttempt, dispatched: Dispatched, sent_at: float, outcome: CallOutcome
    ) -> None:
        now = self.scheduler.clock.now()
        tracker = dispatched.tracker
        tracker.record_completed()
        if outcome.load is not None:
            tracker.record_load(outcome.load, now)
        self._record_status(active, dispatched, now - sent_at, outcome.status)
        if outcome.is_leaving and self.heeds_notices and not active.attempt.profile.keyed:
            tracker.send_window.close_at(now)
        if outcome.pause_seconds and self.heeds_notices:
            tracker.record_pause(now + outcome.pause_seconds, now, self.position)
            self.dispatcher.pools[tracker.server.service].record_pause(tracker)
        if outcome.status is CallStatus.MISDIRECTED:
            self.dispatcher.record_misdirected(active.attempt.profile.service, dispatched, now)
        self._sweep()
        if active.disconnected:
            return
        retry_budget = self.retry_budgets[active.attempt.profile.service]
        remaining_seconds = active.attempt.deadline - REPLY_MARGIN_SECONDS - now
        retry_after = self.dispatcher.retry_after_pause(
            active.attempt.profile.service, active.attempt.key, now
        )
        decision = active.server_attempts.decide(
            _call_result(outcome),
            remaining_seconds,
            retry_budget.allows_retry(now, self.position),
            RETRY_AFTER_SECONDS if retry_after is None else retry_after,
        )
        if isinstance(decision, Retry):
            if decision.reached_server:
                retry_budget.record_retry(now)
            self._submit(active)
        elif isinstance(decision, ReturnReply):
            self._finish(active, decision.reply)

    def _record_status(
        self, active: _ActiveAttempt, dispatched: Dispatched, seconds: float, status: CallStatus
    ) -> None:
        now = self.scheduler.clock.now()
        tracker = dispatched.tracker
        name = tracker.server.server_id
        if status is CallStatus.ANSWERED:
            if (
                tracker.record_answer(seconds, dispatched.queueing_factor, now)
                and active.attempt.profile.keyed
            ):
                self.service_times.append((name, seconds))
        elif status is CallStatus.LATE:
            service_seconds = tracker.record_timeout(seconds, dispatched.queueing_factor, now)
            if active.attempt.profile.keyed:
                self.service_times.append((name, service_seconds))
        elif status is CallStatus.NOT_SENT:
            tracker.record_no_response(now)
        elif status is not CallStatus.MISDIRECTED:
            tracker.record_failure(now)

    def _finish(self, active: _ActiveAttempt, reply: BaseReply) -> None:
        self.active_attempts.pop(active.attempt, None)
        if not active.disconnected:
            active.on_reply(reply)

    def _service_limits(self, profile: ServiceProfile) -> ServiceLimits:
        cold = ColdLimit(
            profile.max_cold_requests_per_second, self.fleet.cold_factor, self.fleet.cold_extra
        )
        return ServiceLimits(cold, self.fleet.connection_limit, self.position, self.data_centre)


def _call_result(outcome: CallOutcome) -> BaseCallResult:
    status = outcome.status
    if status is CallStatus.ANSWERED:
        return Answered(OK_ANSWER, outcome.load)
    if status is CallStatus.FAILED:
        return Answered(ERROR_ANSWER, outcome.load)
    if status is CallStatus.DECLINED:
        return Declined(DECLINED_STATUS, False, outcome.load)
    if status is CallStatus.MISDIRECTED:
        return Declined(MISDIRECTED_STATUS, True, outcome.load)
    if status is CallStatus.NOT_SENT:
        return NotSent("refused")
    reason = LostReason.LATE if status is CallStatus.LATE else LostReason.RESET
    return Lost(reason, status.value)
