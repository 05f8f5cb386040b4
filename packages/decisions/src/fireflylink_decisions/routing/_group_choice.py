"""Choice of a group for an idempotent request of a pooled service."""

from collections.abc import Iterable, Mapping

from fireflylink_core import BaseValue

REPORT_TERM_SECONDS = 3.0


class GroupReport(BaseValue):
    """Load of a group as its gateway reports it.

    ``in_flight`` includes requests that wait. ``capacity`` is the sum of the limits of the group's
    servers. ``service_seconds`` is its recent service time.
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


class GroupChoice:
    """Takes the group with the lowest expected time: hop, wait and service.

    The reported load is older than this daemon's own requests, so requests that it has sent to a
    group since the report are added to the reported number.
    """

    __slots__ = ("hop_seconds", "outstanding", "reports", "sent_since")

    def __init__(self, hop_seconds: Mapping[str, float]) -> None:
        self.hop_seconds = dict(hop_seconds)
        self.reports: dict[str, GroupReport] = {}
        self.sent_since: dict[str, int] = {}

    def report(self, report: GroupReport) -> None:
        """Takes a newer report into account."""
        self.reports[report.group_id] = report
        self.sent_since[report.group_id] = 0

    def sent(self, group_id: str) -> None:
        """Notes a request that was sent to a group."""
        self.sent_since[group_id] = self.sent_since.get(group_id, 0) + 1

    def ended(self, group_id: str) -> None:
        """Notes the end of a request that was sent to a group."""
        self.sent_since[group_id] = self.sent_since.get(group_id, 0) - 1

    def expected_seconds(self, group_id: str, now: float) -> float | None:
        """Returns the expected time of a request in a group; None when nothing is known."""
        report = self.reports.get(group_id)
        if report is None or now - report.received_at > REPORT_TERM_SECONDS:
            return None
        if report.capacity <= 0:
            return float("inf")
        load = report.in_flight + self.sent_since.get(group_id, 0) + 1
        rounds = max(1.0, load / report.capacity)
        return self.hop_seconds.get(group_id, 0.0) + rounds * report.service_seconds

    def choose(self, group_ids: tuple[str, ...], now: float) -> str:
        """Returns the group with the lowest expected time; unknown groups come last."""
        best = self.quickest(group_ids, now)
        return group_ids[0] if best is None else best[0]

    def quickest(self, group_ids: Iterable[str], now: float) -> tuple[str, float] | None:
        """Returns the known group with the lowest expected time, and that time in seconds."""
        best = None
        for group_id in group_ids:
            seconds = self.expected_seconds(group_id, now)
            if seconds is not None and (best is None or seconds < best[1]):
                best = (group_id, seconds)
        return best
