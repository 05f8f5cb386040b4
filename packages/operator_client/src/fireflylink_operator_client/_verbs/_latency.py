"""The command ``latency``."""

from typing import Any

from absl import flags
from hdrh.histogram import HdrHistogram
from returns.result import Failure, Result, Success

from fireflylink_documents import FieldReader, read_fields
from fireflylink_operator_client._ask_all import ask_all
from fireflylink_operator_client._daemon_reader import BaseDaemonReader, DaemonError
from fireflylink_operator_client._directory import DaemonAddress
from fireflylink_operator_client._errors import ClientError, ExitStatus, UnavailableError
from fireflylink_operator_client._output import Outcome, table
from fireflylink_operator_client._session import Session
from fireflylink_operator_client._verbs._base import BaseVerb

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MICROSECONDS_PER_MILLISECOND = 1000.0

Histograms = dict[str, Any]
"""A histogram in microseconds for each "service/tenant"."""


class LatencyVerb(BaseVerb):
    """Shows latency percentiles over all daemons."""

    __slots__ = ()

    name = "latency"
    description = (
        "Shows the latency of each service and tenant in milliseconds, merged from the histograms "
        "of all daemons. Exit status 3 means that some daemons did not answer."
    )

    def define_flags(self, values: flags.FlagValues) -> None:
        flags.DEFINE_string("service", "", "Show one service only.", flag_values=values)

    def run(
        self, session: Session, arguments: tuple[str, ...], values: flags.FlagValues
    ) -> Result[Outcome, ClientError]:
        found = session.directory.daemons()
        if isinstance(found, Failure):
            return Failure(found.failure())
        asked = ask_all(found.unwrap(), lambda entry: _read_histograms(session.reader, entry))
        merged: Histograms = {}
        problems: list[str] = []
        for address, answer in asked:
            if isinstance(answer, Failure):
                problems.append(f"{address.data_centre} {address.label}: {answer.failure()}")
            else:
                _merge(merged, answer.unwrap())
        if not asked or len(problems) == len(asked):
            return Failure(UnavailableError("no daemon answered", *problems))
        shown = {name: merged[name] for name in sorted(merged) if _selected(name, values.service)}
        return Success(_outcome(shown, len(asked) - len(problems), len(asked), problems))


def _read_histograms(
    reader: BaseDaemonReader, address: DaemonAddress
) -> Result[Histograms, DaemonError]:
    return reader.latency(address).bind(
        lambda payload: read_fields(payload, _decode, allow_unknown=True).alt(
            lambda error: DaemonError(str(error))
        )
    )


def _decode(fields: FieldReader) -> Histograms:
    entries = fields.child("histograms")
    return {name: _decode_histogram(entries, name) for name in entries.checked_names()}


def _decode_histogram(fields: FieldReader, name: str) -> Any:
    text = fields.raw(name)
    try:
        return HdrHistogram.decode(text)
    # The decoder has no common base for the errors that malformed text leads to.
    except Exception as error:
        raise fields.error(name, "must be an encoded HdrHistogram") from error


def _merge(merged: Histograms, found: Histograms) -> None:
    for name, histogram in found.items():
        if name not in merged:
            merged[name] = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        merged[name].add(histogram)


def _selected(name: str, service: str) -> bool:
    return not service or name.partition("/")[0] == service


def _outcome(shown: Histograms, answered: int, listed: int, problems: list[str]) -> Outcome:
    rows = []
    entries = {}
    for name, histogram in shown.items():
        service, _, tenant = name.partition("/")
        count = histogram.get_total_count()
        values = {f"p{level:g}": _value_at(histogram, level) for level in PERCENTILES}
        values["max"] = histogram.get_max_value() / MICROSECONDS_PER_MILLISECOND
        rows.append((service, tenant, count, *(f"{value:.2f}" for value in values.values())))
        entries[name] = {"count": count, "milliseconds": values}
    document = {"latency": entries, "answered": answered, "listed": listed}
    headings = ("service", "tenant", "requests", *(f"p{level:g}" for level in PERCENTILES), "max")
    lines = table(headings, rows) or ["no requests were measured"]
    status = ExitStatus.DONE if answered == listed else ExitStatus.NOT_CONFIRMED
    return Outcome(document, lines, status, tuple(problems))


def _value_at(histogram: Any, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) / MICROSECONDS_PER_MILLISECOND
