"""The promises that a soak checks, from what callers and servers have seen."""

import collections
from collections.abc import Iterator

from fireflylink_soak._callers import LEFT, LOST, SUCCESS_STATUS, Reply
from fireflylink_soak._calm_period import CalmPeriod
from fireflylink_soak._grant_checks import check_rising_fences, check_work_has_ended
from fireflylink_soak._ownership_check import check_one_owner
from fireflylink_soak._record import DRAINING, RAN, REJECTED, STARTED, ServerEvent
from fireflylink_soak._violation import Violation
from fireflylink_standins import COLD_REQUESTS_PER_SECOND, DAEMON_BOUNDS, VERSION_PATH

NOT_RUN_STATUSES = (408, 421, 429, 503)
NO_ROUTE_STATUS = 404
VERSION_IN_FORCE_SECONDS = 0.25
"""A daemon that has shown a version answers requests sent this much later by no older one."""

COLD_WINDOW_SECONDS = 1.0
DRAIN_SECONDS = DAEMON_BOUNDS["drain_ms"] / 1000
EVACUATION_SECONDS = 5.0
LOSS_SLACK_SECONDS = 0.2
"""A connection may end without an answer this soon after a request that is not passed on: the
request has then crossed the close."""

LEAVING_SLACK_SECONDS = 0.5
MAX_RUNS_AFTER_LEAVING = 3


def check_all(replies: list[Reply], events: list[ServerEvent], calm: CalmPeriod) -> list[Violation]:
    """Returns all broken promises."""
    return [
        *check_own_answers(replies),
        *check_at_most_once(replies, events),
        *check_refusals(replies, events),
        *check_one_owner(events),
        *check_work_has_ended(events),
        *check_rising_fences(events),
        *check_versions(replies),
        *check_cold_servers(events),
        *check_retry_budget(replies, events),
        *check_planned_stop(replies, events, calm),
        *check_draining(events, calm),
        *check_evacuation(events, calm),
        *check_callers_that_left(replies, events, calm),
    ]


def check_own_answers(replies: list[Reply]) -> Iterator[Violation]:
    """A success is the whole answer to the caller's own request."""
    for reply in replies:
        if reply.status != SUCCESS_STATUS:
            continue
        _, _, rest = reply.body.partition(b" ")
        if rest != reply.request.encode() + b" " + reply.sent_body:
            yield Violation("own answer", f"request {reply.request} got {reply.body[:80]!r}")


def check_at_most_once(replies: list[Reply], events: list[ServerEvent]) -> Iterator[Violation]:
    """A request that may not be repeated runs once at most."""
    runs = collections.Counter(event.request for event in events if event.what == RAN)
    for reply in replies:
        if not reply.may_repeat and runs[reply.request] > 1:
            yield Violation("at most once", f"request {reply.request} ran {runs[reply.request]}x")


def check_refusals(replies: list[Reply], events: list[ServerEvent]) -> Iterator[Violation]:
    """A request that was answered "not run" has not run, and does not run later."""
    ran = {event.request for event in events if event.what == RAN}
    for reply in replies:
        if reply.status in NOT_RUN_STATUSES and not reply.may_repeat and reply.request in ran:
            yield Violation("true refusal", f"request {reply.request} got {reply.status} and ran")


def check_versions(replies: list[Reply]) -> Iterator[Violation]:
    """A daemon that has shown a version does not answer by an older one again."""
    shown: dict[int, list[tuple[float, int]]] = collections.defaultdict(list)
    probes = [reply for reply in replies if reply.path.startswith(VERSION_PATH)]
    for reply in probes:
        if reply.status == SUCCESS_STATUS:
            shown[reply.incarnation].append((reply.ended_at, _version_of(reply)))
    for reply in probes:
        version = _version_of(reply)
        if reply.status == NO_ROUTE_STATUS and any(
            seen >= version and at + VERSION_IN_FORCE_SECONDS < reply.at
            for at, seen in shown[reply.incarnation]
        ):
            yield Violation("no older version", f"request {reply.request}: no version {version}")


def _version_of(reply: Reply) -> int:
    return int(reply.path.split("/")[2])


def check_cold_servers(events: list[ServerEvent]) -> Iterator[Violation]:
    """A cold server gets no more requests in any second than its limit, from all daemons."""
    limit = COLD_REQUESTS_PER_SECOND * DAEMON_BOUNDS["cold_factor"] + DAEMON_BOUNDS["cold_extra"]
    cold_until = {event.server: event.until for event in events if event.what == STARTED}
    windows: dict[str, collections.deque[float]] = collections.defaultdict(collections.deque)
    for event in events:
        if event.what != RAN or event.at >= cold_until.get(event.server, 0.0):
            continue
        window = windows[event.server]
        window.append(event.at)
        while window[0] <= event.at - COLD_WINDOW_SECONDS:
            window.popleft()
        if len(window) > limit:
            yield Violation(
                "cold limit",
                f"{event.server} got {len(window)} requests in the second before "
                f"{event.at:.2f}, the last is {event.request}",
            )
            return


def check_retry_budget(replies: list[Reply], events: list[ServerEvent]) -> Iterator[Violation]:
    """Arrivals beyond the first of each request stay within the budget of all daemons."""
    window_seconds = DAEMON_BOUNDS["retry_window_seconds"]
    arrived: set[str] = set()
    repeats: collections.deque[float] = collections.deque()
    sent_at = sorted(reply.at for reply in replies)
    for event in events:
        if event.what not in (RAN, REJECTED):
            continue
        if event.request not in arrived:
            arrived.add(event.request)
            continue
        repeats.append(event.at)
        while repeats[0] <= event.at - window_seconds:
            repeats.popleft()
        requests = sum(event.at - window_seconds < at <= event.at for at in sent_at)
        budget = requests * DAEMON_BOUNDS["retry_ratio"] + DAEMON_BOUNDS["retry_extra"]
        if len(repeats) > budget:
            yield Violation("retry budget", f"{len(repeats)} repeats before {event.at:.2f}")
            return


def check_planned_stop(
    replies: list[Reply], events: list[ServerEvent], calm: CalmPeriod
) -> Iterator[Violation]:
    """Planned work cuts off no request that was read."""
    ran = {event.request for event in events if event.what == RAN}
    for reply in replies:
        if reply.status != LOST or not calm.starts_at <= reply.at <= calm.ends_at:
            continue
        if reply.request in ran or reply.ended_at > reply.at + LOSS_SLACK_SECONDS:
            yield Violation(
                "planned stop",
                f"request {reply.request} to daemon {reply.daemon} was cut after "
                f"{reply.ended_at - reply.at:.2f} s",
            )


def check_draining(events: list[ServerEvent], calm: CalmPeriod) -> Iterator[Violation]:
    """A draining server gets no requests after the time for draining."""
    draining_since = {
        event.server: event.at
        for event in events
        if event.what == DRAINING and calm.starts_at <= event.at <= calm.ends_at
    }
    for event in events:
        since = draining_since.get(event.server)
        if event.what == RAN and since is not None and since + DRAIN_SECONDS < event.at:
            yield Violation("drained", f"request {event.request} reached {event.server}")


def check_evacuation(events: list[ServerEvent], calm: CalmPeriod) -> Iterator[Violation]:
    """The servers of an evacuated data centre get no requests."""
    for event in events:
        if (
            event.what == RAN
            and event.server in calm.evacuated_servers
            and calm.evacuated_at + EVACUATION_SECONDS < event.at <= calm.ends_at
        ):
            yield Violation("evacuated", f"request {event.request} reached {event.server}")


def check_callers_that_left(
    replies: list[Reply], events: list[ServerEvent], calm: CalmPeriod
) -> Iterator[Violation]:
    """Requests whose callers have left do not reach servers later."""
    left_at = {
        reply.request: reply.ended_at
        for reply in replies
        if reply.status == LEFT and calm.starts_at <= reply.at <= calm.ends_at
    }
    late = [
        event.request
        for event in events
        if event.what == RAN
        and event.request in left_at
        and event.at > left_at[event.request] + LEAVING_SLACK_SECONDS
    ]
    if len(late) > MAX_RUNS_AFTER_LEAVING:
        yield Violation("callers that left", f"requests {' '.join(late)} ran later")
