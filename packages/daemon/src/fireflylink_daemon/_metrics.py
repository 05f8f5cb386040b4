"""Counters, gauges and latency histograms of a daemon, in the Prometheus text format."""

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_FIGURES = 2
MAX_HISTOGRAMS = 64
"""Each takes tens of kilobytes; routes beyond this number share one."""

OTHER_ROUTES = "other"
QUANTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS_PER_SECOND = 1_000_000

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """What one daemon counts.

    Example::

        metrics.count("requests", route="r-1", outcome="answered")
    """

    __slots__ = ("counters", "gauges", "histograms")

    def __init__(self) -> None:
        self.counters: dict[tuple[str, Labels], int] = {}
        self.gauges: dict[str, Callable[[], float]] = {}
        self.histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, **labels: str) -> None:
        """Adds one to a counter."""
        key = (name, tuple(labels.items()))
        self.counters[key] = self.counters.get(key, 0) + 1

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Declares a gauge that is read when metrics are asked for."""
        self.gauges[name] = read

    def record_latency(self, route: str, seconds: float) -> None:
        """Records the latency of an answered request."""
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        bounded = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        self._histogram(route).record_value(bounded)

    def exposition(self) -> str:
        """Returns all metrics as text."""
        lines = []
        for (name, labels), count in sorted(self.counters.items()):
            lines.append(f"fireflylink_{name}_total{_labels(labels)} {count}")
        for name, read in sorted(self.gauges.items()):
            lines.append(f"fireflylink_{name} {read():g}")
        for route, histogram in sorted(self.histograms.items()):
            lines.extend(_latency_lines(route, histogram))
        return "\n".join(lines) + "\n"

    def _histogram(self, route: str) -> HdrHistogram:
        found = self.histograms.get(route)
        if found is not None:
            return found
        name = route if len(self.histograms) < MAX_HISTOGRAMS else OTHER_ROUTES
        return self.histograms.setdefault(
            name, HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_FIGURES)
        )


def _latency_lines(route: str, histogram: HdrHistogram) -> list[str]:
    lines = []
    for quantile in QUANTILES:
        seconds = histogram.get_value_at_percentile(quantile) / MICROSECONDS_PER_SECOND
        labels = _labels((("route", route), ("quantile", f"{quantile / 100:g}")))
        lines.append(f"fireflylink_latency_seconds{labels} {seconds:g}")
    labels = _labels((("route", route),))
    lines.append(f"fireflylink_latency_seconds_count{labels} {histogram.get_total_count()}")
    return lines


def _labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escaped(value)}"' for name, value in labels) + "}"


def _escaped(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
