"""A daemon that decides with the project's own code: placement, limits, retries."""

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
from fireflylink_decisions.retries import Attempts, Retry, ReturnReply
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

SWEEP_SECONDS = 0.02
MILLISECONDS_PER_SECOND = 1000.0
DECLINED_STATUS = 503
MISDIRECTED_STATUS = 421


class _Course:
    """One attempt of a caller on its way."""

    __slots__ = ("attempts", "done", "left", "order")

    def __init__(
        self, order: CallerAttempt, attempts: Attempts, done: Callable[[BaseReply], None]
    ) -> None:
        self.order = order
        self.attempts = attempts
        self.done = done
        self.left = False


class RoutedDaemon(BaseEmulatedDaemon):
    """Places requests with ``Dispatcher`` and repeats them with ``Attempts``.

    ``key_times`` and ``key_counts`` are what the daemon would report to the decider.
    """

    __slots__ = (
        "budgets",
        "courses",
        "dispatcher",
        "key_counts",
        "key_times",
        "position",
        "profiles",
        "servers",
        "sweeping",
        "trackers",
        "waiting",
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
        self.profiles = {profile.name: profile for profile in profiles}
        self.dispatcher = Dispatcher()
        self.trackers: dict[ServerIncarnation, ServerTracker] = {}
        self.servers: dict[ServerIncarnation, EmulatedServer] = {}
        self.courses: dict[CallerAttempt, _Course] = {}
        self.waiting: dict[QueuedRequest, _Course] = {}
        self.sweeping = False
        self.key_counts: list[int] = []
        self.key_times: list[tuple[str, float]] = []
        limits = RetryBudgetLimits(
            fleet.budget_ratio, fleet.budget_extra, fleet.budget_window_seconds
        )
        self.budgets = {profile.name: RetryBudget(limits) for profile in profiles}
        for profile in profiles:
            self.dispatcher.pools[profile.name] = ServicePool(
                profile.keyed, self._service_limits(profile)
            )

    def update_members(self, members: tuple[str, ...]) -> None:
        """Takes the daemons that the store lists."""
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
            self.dispatcher.pools[server.profile.name].trackers[registration.incarnation] = tracker
        self._sweep()

    def update_table(self, table: OwnershipTable) -> None:
        self.dispatcher.pools[table.service].set_table(table, self.scheduler.clock.now())

    def record_granted_keys(self, service: str, keys: KeyRange, fence: int) -> None:
        """Takes the decider's notice that a moved range has its new holder."""
        self.dispatcher.pools[service].confirmed_grants.add((keys, fence))
        self._sweep()

    def receive(self, attempt: CallerAttempt, done: Callable[[BaseReply], None]) -> None:
        self.budgets[attempt.profile.name].record_request(self.scheduler.clock.now())
        if attempt.profile.keyed:
            self.key_counts.append(attempt.key)
        attempts = Attempts(attempt.profile.idempotent, attempt.profile.max_attempts)
        course = _Course(attempt, attempts, done)
        self.courses[attempt] = course
        self._place(course)

    def cancel(self, attempt: CallerAttempt) -> None:
        course = self.courses.pop(attempt, None)
        if course is None:
            return
        course.left = True
        for request, waiting in list(self.waiting.items()):
            if waiting is course:
                del self.waiting[request]
                self.dispatcher.cancel(request)
        found = self.active_calls.get(attempt)
        if found is not None:
            found[0].on_disconnect(found[1])
            found[1].on_done(CallOutcome(CallStatus.LATE))
        course.done(CallerDisconnected())

    def _place(self, course: _Course) -> None:
        attempt = course.order
        request = QueuedRequest(
            attempt.profile.name,
            attempt.profile.priority,
            attempt.received_at,
            attempt.deadline - REPLY_MARGIN_SECONDS,
            attempt.key if attempt.profile.keyed else -1,
            frozenset(course.attempts.tried_servers),
            attempt.received_at + attempt.profile.objective_seconds,
        )
        result = self.dispatcher.submit(request, self.scheduler.clock.now())
        if result is not None:
            self._follow(course, result)
            return
        self.waiting[request] = course
        if not self.sweeping:
            self.sweeping = True
            self.scheduler.schedule_after(SWEEP_SECONDS, self._tick)

    def _tick(self) -> None:
        self._sweep()
        if self.waiting:
            self.scheduler.schedule_after(SWEEP_SECONDS, self._tick)
        else:
            self.sweeping = False

    def _sweep(self) -> None:
        if not self.waiting:
            return
        for request, result in self.dispatcher.sweep(self.scheduler.clock.now()):
            self._follow(self.waiting.pop(request), result)

    def _follow(self, course: _Course, placement: BaseDispatchResult) -> None:
        if isinstance(placement, Refused):
            reply = course.attempts.refusal_reply(placement.reason, placement.retry_after)
            self._finish(course, reply)
        elif isinstance(placement, Dispatched):
            incarnation = placement.tracker.server.incarnation
            course.attempts.record_sent(incarnation.server_id)
            sent_at = self.scheduler.clock.now()
            self.call(
                course.order,
                self.servers[incarnation],
                lambda outcome: self._returned(course, placement, sent_at, outcome),
            )

    def _returned(
        self, course: _Course, dispatched: Dispatched, sent_at: float, outcome: CallOutcome
    ) -> None:
        now = self.scheduler.clock.now()
        tracker = dispatched.tracker
        tracker.record_completed()
        if outcome.load is not None:
            tracker.record_load(outcome.load, now)
        self._learn(course, dispatched, now - sent_at, outcome.status)
        if outcome.status is CallStatus.MISDIRECTED:
            self.dispatcher.record_misdirected(course.order.profile.name, dispatched, now)
        self._sweep()
        if course.left:
            return
        budget = self.budgets[course.order.profile.name]
        left = course.order.deadline - REPLY_MARGIN_SECONDS - now
        decision = course.attempts.decide(
            _result(outcome), left, budget.allows_retry(now, self.position)
        )
        if isinstance(decision, Retry):
            if decision.reached_server:
                budget.record_retry(now)
            self._place(course)
        elif isinstance(decision, ReturnReply):
            self._finish(course, decision.reply)

    def _learn(
        self, course: _Course, dispatched: Dispatched, seconds: float, end: CallStatus
    ) -> None:
        now = self.scheduler.clock.now()
        tracker = dispatched.tracker
        name = tracker.server.server_id
        if end is CallStatus.ANSWERED:
            if (
                tracker.record_answer(seconds, dispatched.queueing_factor, now)
                and course.order.profile.keyed
            ):
                self.key_times.append((name, seconds))
        elif end is CallStatus.LATE:
            unqueued = tracker.record_timeout(seconds, dispatched.queueing_factor, now)
            if course.order.profile.keyed:
                self.key_times.append((name, unqueued))
        elif end is CallStatus.NOT_SENT:
            tracker.record_no_response(now)
        elif end is not CallStatus.MISDIRECTED:
            tracker.record_failure(now)

    def _finish(self, course: _Course, reply: BaseReply) -> None:
        self.courses.pop(course.order, None)
        if not course.left:
            course.done(reply)

    def _service_limits(self, profile: ServiceProfile) -> ServiceLimits:
        cold = ColdLimit(profile.cold_per_second, self.fleet.cold_factor, self.fleet.cold_extra)
        return ServiceLimits(cold, self.fleet.connection_limit, self.position, self.data_centre)


def _result(outcome: CallOutcome) -> BaseCallResult:
    end = outcome.status
    if end is CallStatus.ANSWERED:
        return Answered(OK_ANSWER, outcome.load)
    if end is CallStatus.FAILED:
        return Answered(ERROR_ANSWER, outcome.load)
    if end is CallStatus.DECLINED:
        return Declined(DECLINED_STATUS, False, outcome.load)
    if end is CallStatus.MISDIRECTED:
        return Declined(MISDIRECTED_STATUS, True, outcome.load)
    if end is CallStatus.NOT_SENT:
        return NotSent("refused")
    reason = LostReason.LATE if end is CallStatus.LATE else LostReason.RESET
    return Lost(reason, end.value)
