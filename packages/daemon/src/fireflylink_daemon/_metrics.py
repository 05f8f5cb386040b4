"""Counters, gauges and latency histograms of a daemon, in the Prometheus text format."""

from collections.abc import Callable

from hdrh.histogram import HdrHistogram

MIN_LATENCY_MICROSECONDS = 1
MAX_LATENCY_MICROSECONDS = 60_000_000
SIGNIFICANT_FIGURES = 2
MAX_HISTOGRAMS = 64
"""Each one uses tens of kilobytes of memory; routes beyond this number share another one."""

SHARED_HISTOGRAM_NAME = "other"
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS_PER_SECOND = 1_000_000

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """The counters, gauges and latency histograms of one daemon.

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

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Adds a gauge; ``read`` is called for its value at each exposition."""
        self.gauges[name] = read

    def record_latency(self, route: str, seconds: float) -> None:
        """Records the latency of an answered request."""
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        clamped = min(max(microseconds, MIN_LATENCY_MICROSECONDS), MAX_LATENCY_MICROSECONDS)
        self._histogram(route).record_value(clamped)

    def exposition(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), count in sorted(self.counters.items()):
            lines.append(f"fireflylink_{name}_total{_format_labels(labels)} {count}")
        for name, read in sorted(self.gauges.items()):
            lines.append(f"fireflylink_{name} {read():g}")
        for route, histogram in sorted(self.histograms.items()):
            lines.extend(_latency_lines(route, histogram))
        return "\n".join(lines) + "\n"

    def _histogram(self, route: str) -> HdrHistogram:
        histogram = self.histograms.get(route)
        if histogram is not None:
            return histogram
        name = route if len(self.histograms) < MAX_HISTOGRAMS else SHARED_HISTOGRAM_NAME
        return self.histograms.setdefault(
            name,
            HdrHistogram(MIN_LATENCY_MICROSECONDS, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_FIGURES),
        )


def _latency_lines(route: str, histogram: HdrHistogram) -> list[str]:
    lines = []
    for percentile in PERCENTILES:
        seconds = histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_SECOND
        labels = _format_labels((("route", route), ("quantile", f"{percentile / 100:g}")))
        lines.append(f"fireflylink_latency_seconds{labels} {seconds:g}")
    labels = _format_labels((("route", route),))
    lines.append(f"fireflylink_latency_seconds_count{labels} {histogram.get_total_count()}")
    return lines


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escape(value)}"' for name, value in labels) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
