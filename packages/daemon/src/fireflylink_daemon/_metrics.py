"""Counters and latency histograms of a daemon."""

import base64

from hdrh.histogram import HdrHistogram

from fireflylink_core import BaseReply, NotRun, Outcome, OutcomeUnknown

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_FIGURES = 2
MAX_HISTOGRAMS = 512
OTHER_TENANTS = "other"
EXPORTED_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS_PER_SECOND = 1_000_000

HistogramName = tuple[str, str]
"""Service and tenant."""


class Metrics:
    """Latency of requests for each service and tenant, and counts of replies by reason.

    The number of histograms is bounded: tenants beyond it share one histogram a service.
    """

    __slots__ = ("gauges", "histograms", "replies")

    def __init__(self) -> None:
        self.histograms: dict[HistogramName, HdrHistogram] = {}
        self.replies: dict[tuple[str, str, str], int] = {}
        self.gauges: dict[str, float] = {}

    def note_reply(self, service: str, tenant: str, reply: BaseReply, seconds: float) -> None:
        """Counts a reply to a caller and records its latency."""
        reason = reply.reason if isinstance(reply, NotRun | OutcomeUnknown) else "whole"
        name = (service, reply.outcome.value, reason)
        self.replies[name] = self.replies.get(name, 0) + 1
        if reply.outcome is Outcome.ANSWERED:
            microseconds = int(seconds * MICROSECONDS_PER_SECOND)
            self._histogram(service, tenant).record_value(
                min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
            )

    def _histogram(self, service: str, tenant: str) -> HdrHistogram:
        name = (service, tenant)
        found = self.histograms.get(name)
        if found is not None:
            return found
        if len(self.histograms) >= MAX_HISTOGRAMS:
            name = (service, OTHER_TENANTS)
        return self.histograms.setdefault(
            name, HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_FIGURES)
        )

    def encoded_histograms(self) -> dict[str, str]:
        """Returns each histogram in the encoding of HdrHistogram, which clients can merge."""
        return {
            f"{service}/{tenant}": _text(histogram.encode())
            for (service, tenant), histogram in sorted(self.histograms.items())
        }

    def exposition(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        lines = [
            "# HELP fireflylink_replies_total Replies to callers by outcome and reason.",
            "# TYPE fireflylink_replies_total counter",
        ]
        for (service, outcome, reason), count in sorted(self.replies.items()):
            labels = _labels(service=service, outcome=outcome, reason=reason)
            lines.append(f"fireflylink_replies_total{labels} {count}")
        lines.extend(self._latency_lines())
        for name, value in sorted(self.gauges.items()):
            lines.append(f"# TYPE fireflylink_{name} gauge")
            lines.append(f"fireflylink_{name} {value:g}")
        return "\n".join(lines) + "\n"

    def _latency_lines(self) -> list[str]:
        lines = [
            "# HELP fireflylink_latency_seconds Latency of answered requests.",
            "# TYPE fireflylink_latency_seconds summary",
        ]
        for (service, tenant), histogram in sorted(self.histograms.items()):
            for percentile in EXPORTED_PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_SECOND
                labels = _labels(service=service, tenant=tenant, quantile=f"{percentile / 100:g}")
                lines.append(f"fireflylink_latency_seconds{labels} {value:g}")
            labels = _labels(service=service, tenant=tenant)
            count = histogram.get_total_count()
            lines.append(f"fireflylink_latency_seconds_count{labels} {count}")
        return lines


def _labels(**labels: str) -> str:
    pairs = ",".join(f'{name}="{_escaped(value)}"' for name, value in labels.items())
    return "{" + pairs + "}"


def _escaped(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _text(encoded: bytes | str) -> str:
    """Returns an encoded histogram as text; the library's encoding is base64 already."""
    if isinstance(encoded, str):
        return encoded
    try:
        return encoded.decode("ascii")
    except UnicodeDecodeError:
        return base64.b64encode(encoded).decode("ascii")
