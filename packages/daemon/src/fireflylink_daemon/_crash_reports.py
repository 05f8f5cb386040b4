"""Conversion of crash reports between admission and control messages."""

from collections.abc import Iterable

from fireflylink_core import CrashReport
from fireflylink_decisions.admission import CrashEvidence, PoisonDetector
from fireflylink_decisions.admission import CrashReport as DetectorReport

MILLISECONDS_PER_SECOND = 1000.0


def crash_reports(detector: PoisonDetector, now: float) -> tuple[CrashReport, ...]:
    """Returns the crashes that a detector has confirmed, as control messages carry them."""
    return tuple(
        CrashReport(
            report.fingerprint,
            report.crash_id[0],
            report.crash_id[1],
            report.crash_id[2],
            int(report.evidence),
            int(report.remaining_seconds * MILLISECONDS_PER_SECOND),
        )
        for report in detector.reports(now)
    )


def merge_crash_reports(
    detector: PoisonDetector, reports: Iterable[CrashReport], now: float
) -> None:
    """Takes crashes that other daemons reported into a detector."""
    known = [report for report in reports if report.evidence in set(CrashEvidence)]
    detector.merge(
        (
            DetectorReport(
                report.fingerprint,
                (report.server_id, report.generation, report.noticed_at),
                CrashEvidence(report.evidence),
                report.remaining_ms / MILLISECONDS_PER_SECOND,
            )
            for report in known
        ),
        now,
    )
