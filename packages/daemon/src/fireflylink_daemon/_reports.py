"""What gateways of a data centre have reported, as its root needs it for planning."""

from fireflylink_core import LoadReport, ServerReport, ServerStatus, ShardKey

REPORT_LIFETIME = 3.0
"""Seconds after which a server report counts no more, because its gateway may be gone."""

SHARD_LOAD_LIFETIME = 75.0
"""Seconds after which the load of a shard counts no more; gateways repeat it every 30 s."""

HOT_KEY_LIFETIME = 15.0
"""Seconds after which the load of a key counts no more; gateways repeat it every 5 s."""


class ReportBoard:
    """Keeps the latest report about each server, shard and hot key."""

    __slots__ = ("_changed", "_hot_keys", "_new_loads", "_servers", "_shard_loads")

    def __init__(self) -> None:
        self._servers: dict[str, tuple[ServerStatus, float]] = {}
        self._changed: dict[str, float] = {}
        self._new_loads: dict[tuple[ShardKey, bool], LoadReport] = {}
        self._shard_loads: dict[ShardKey, tuple[float, float]] = {}
        self._hot_keys: dict[ShardKey, tuple[float, float]] = {}

    def take_servers(self, reports: tuple[ServerReport, ...], now: float) -> None:
        """Takes what gateways see of their servers."""
        for report in reports:
            known = self._servers.get(report.server_id)
            if known is None or known[0] is not report.status:
                self._changed[report.server_id] = now
            self._servers[report.server_id] = (report.status, now)

    def take_loads(self, reports: tuple[LoadReport, ...], now: float) -> None:
        """Takes loads of shards and hot keys in requests per second."""
        for report in reports:
            board = self._hot_keys if report.exception else self._shard_loads
            board[report.shard] = (report.requests_per_second, now)
            self._new_loads[(report.shard, report.exception)] = report

    def servers_with(self, status: ServerStatus, now: float) -> frozenset[str]:
        """Returns the servers whose recent report has a status."""
        return frozenset(
            server_id
            for server_id, (reported, heard) in self._servers.items()
            if reported is status and now - heard < REPORT_LIFETIME
        )

    def server_reports(self, now: float) -> tuple[ServerReport, ...]:
        """Returns the recent reports to pass on to a parent: those other than ``UP``, and ``UP``
        for as long as a parent may still hold the former status.
        """
        return tuple(
            ServerReport(server_id, status)
            for server_id, (status, heard) in sorted(self._servers.items())
            if now - heard < REPORT_LIFETIME
            and (status is not ServerStatus.UP or self._recently_changed(server_id, now))
        )

    def _recently_changed(self, server_id: str, now: float) -> bool:
        return now - self._changed.get(server_id, now) < REPORT_LIFETIME

    def shard_loads(self, now: float) -> dict[ShardKey, float]:
        """Returns the recent load of each shard in requests per second."""
        return _recent(self._shard_loads, now, SHARD_LOAD_LIFETIME)

    def hot_keys(self, now: float) -> dict[ShardKey, float]:
        """Returns the recent load of each hot key in requests per second."""
        return _recent(self._hot_keys, now, HOT_KEY_LIFETIME)

    def new_load_reports(self) -> tuple[LoadReport, ...]:
        """Returns the load reports that were not passed on to a parent yet.

        One that is lost with its message is replaced by the gateway's next one, well within the
        lifetime of the last.
        """
        reports = tuple(self._new_loads.values())
        self._new_loads = {}
        return reports


def _recent(
    board: dict[ShardKey, tuple[float, float]], now: float, lifetime: float
) -> dict[ShardKey, float]:
    return {shard: load for shard, (load, heard) in board.items() if now - heard < lifetime}
