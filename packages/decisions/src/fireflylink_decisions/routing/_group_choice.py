"""Choice of a group for a request that any group of a pooled service may run."""

from collections import deque
from collections.abc import Iterable, Mapping

from fireflylink_core import BaseValue

REPORT_TERM_SECONDS = 3.0


class GroupReport(BaseValue):
    """Load of a group as its gateway reports it, by Sync and with each reply to another daemon.

    ``in_flight`` includes requests that wait. ``capacity`` is the number of requests that the
    group's servers may run at once. ``service_seconds`` is its recent service time.
    """

    __slots__ = ("capacity", "group_id", "in_flight", "received_at", "service_seconds")

    def __init__(
        self,
        group_id: str,
        in_flight: int,
        capacity: int,
        service_seconds: float,
        received_at: float,
    ) -> None:
        self.group_id = group_id
        self.in_flight = in_flight
        self.capacity = capacity
        self.service_seconds = service_seconds
        self.received_at = received_at


class GroupView:
    """What a daemon knows about a group: its round trip, its last report, what was sent since."""

    __slots__ = ("report", "round_trip_seconds", "sent")

    def __init__(self, round_trip_seconds: float) -> None:
        self.round_trip_seconds = round_trip_seconds
        self.report: GroupReport | None = None
        self.sent: deque[float] = deque()

    def expected_seconds(self, now: float) -> float | None:
        """Returns the expected time of a request, or None without a recent report."""
        report = self.report
        if report is None or now - report.received_at > REPORT_TERM_SECONDS:
            return None
        if report.capacity <= 0:
            return float("inf")
        load = report.in_flight + len(self.sent) + 1
        rounds = max(1.0, load / report.capacity)
        return self.round_trip_seconds + rounds * report.service_seconds


class GroupChoice:
    """Takes the group with the lowest expected time: round trip, wait and service.

    A report does not include the requests that were on their way when it was made, so those that
    this daemon has sent since, or within one round trip before, are added.
    """

    __slots__ = ("views",)

    def __init__(self, round_trip_seconds: Mapping[str, float]) -> None:
        self.views = {
            group_id: GroupView(seconds) for group_id, seconds in round_trip_seconds.items()
        }

    def report(self, report: GroupReport) -> None:
        """Takes a newer report into account."""
        view = self.views.get(report.group_id)
        if view is None:
            return
        view.report = report
        included_until = report.received_at - view.round_trip_seconds
        while view.sent and view.sent[0] <= included_until:
            view.sent.popleft()

    def sent(self, group_id: str, now: float) -> None:
        """Notes a request that was sent to a group."""
        self.views[group_id].sent.append(now)

    def choose(self, group_ids: tuple[str, ...], now: float) -> str:
        """Returns the group with the lowest expected time; unknown groups come last."""
        best = self.quickest(group_ids, now)
        return group_ids[0] if best is None else best[0]

    def quickest(self, group_ids: Iterable[str], now: float) -> tuple[str, float] | None:
        """Returns the known group with the lowest expected time, and that time in seconds."""
        best = None
        for group_id in group_ids:
            seconds = self.views[group_id].expected_seconds(now)
            if seconds is not None and (best is None or seconds < best[1]):
                best = (group_id, seconds)
        return best
