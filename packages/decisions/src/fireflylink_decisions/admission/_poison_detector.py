"""Detection of requests that crash every server that runs them."""

import enum
from collections.abc import Iterable

from fireflylink_core import BaseValue

SUSPICION_SECONDS = 600.0
CASE_SECONDS = 10.0
CRASHES_TO_BLOCK = 2
MAX_FINGERPRINTS = 1_024
NEVER = float("-inf")

CrashId = tuple[str, str, float]
"""Server, its generation if known, and when its gateway lost the first connection. The generation
alone does not tell two crashes apart: a server may crash again before it has replied."""


class Suspicion(enum.Enum):
    """What is thought of a fingerprint: ``SUSPECT`` runs alone, ``BLOCKED`` does not run."""

    NONE = "none"
    SUSPECT = "suspect"
    BLOCKED = "blocked"


class CrashEvidence(enum.IntEnum):
    """What a crash says about a request that was in flight; the highest one holds.

    ``ALONE``: it was the only request of the server. ``CLEARED``: it has since run alone without a
    crash.
    """

    PRESENT = 1
    ALONE = 2
    CLEARED = 3


class CrashReport(BaseValue):
    """One crash and one fingerprint that was in flight, as daemons tell each other."""

    __slots__ = ("crash_id", "evidence", "fingerprint", "remaining_seconds")

    def __init__(
        self,
        fingerprint: str,
        crash_id: CrashId,
        evidence: CrashEvidence,
        remaining_seconds: float,
    ) -> None:
        self.fingerprint = fingerprint
        self.crash_id = crash_id
        self.evidence = evidence
        self.remaining_seconds = remaining_seconds


class FingerprintRecord:
    """The crashes at which a fingerprint was in flight."""

    __slots__ = ("crashes", "expires_at")

    def __init__(self, expires_at: float) -> None:
        self.crashes: dict[CrashId, CrashEvidence] = {}
        self.expires_at = expires_at

    def suspicion(self) -> Suspicion:
        """Two crashes, one of them alone, block; one crash makes a suspect."""
        held = [evidence for evidence in self.crashes.values() if evidence < CrashEvidence.CLEARED]
        if len(held) >= CRASHES_TO_BLOCK and CrashEvidence.ALONE in held:
            return Suspicion.BLOCKED
        return Suspicion.SUSPECT if held else Suspicion.NONE


class CrashCase:
    """A server that lost a connection and may have crashed."""

    __slots__ = ("alone", "fingerprints", "generation", "opened_at")

    def __init__(
        self, generation: str, fingerprints: frozenset[str], alone: bool, opened_at: float
    ) -> None:
        self.generation = generation
        self.fingerprints = fingerprints
        self.alone = alone
        self.opened_at = opened_at


class PoisonDetector:
    """Recognises by its fingerprint a request that crashes servers.

    A lost connection opens a case with the requests in flight. A refused connection or a new
    generation confirms the crash; an answer of the same generation to a later request closes the
    case. From the moment the case opens its requests are suspects, which run alone, so that the
    first repetition shows which of them is to blame: an answer clears it, a second crash blocks it.
    ``changes`` rises whenever ``reports`` has something new for the other daemons; telling them at
    once keeps a request that is resent from crashing a server at each of them. While ``records``
    and ``cases`` are empty, no fingerprint has to be computed.
    """

    __slots__ = ("cases", "changes", "last_crashes", "records")

    def __init__(self) -> None:
        self.changes = 0
        self.last_crashes: dict[str, float] = {}
        self.cases: dict[str, CrashCase] = {}
        self.records: dict[str, FingerprintRecord] = {}

    def suspicion(self, fingerprint: str, now: float) -> Suspicion:
        """Returns what is thought of a request now."""
        record = self.records.get(fingerprint)
        if record is not None and record.expires_at > now:
            found = record.suspicion()
            if found is not Suspicion.NONE:
                return found
        for case in self.cases.values():
            if fingerprint in case.fingerprints and now - case.opened_at < CASE_SECONDS:
                return Suspicion.SUSPECT
        return Suspicion.NONE

    def connection_lost(
        self,
        server_id: str,
        generation: str,
        in_flight: Iterable[str],
        sent_at: float,
        now: float,
    ) -> None:
        """Opens a case for a server with the fingerprints that were in flight on it.

        A request that was sent before the last crash was lost in that one.
        """
        if server_id in self.cases or sent_at <= self.last_crashes.get(server_id, NEVER):
            return
        fingerprints = tuple(in_flight)
        alone = len(fingerprints) == 1
        self.cases[server_id] = CrashCase(generation, frozenset(fingerprints), alone, now)

    def restarted(self, server_id: str, now: float) -> None:
        """Confirms the crash of a server that refused a connection or has a new generation."""
        case = self.cases.pop(server_id, None)
        if case is None or now - case.opened_at >= CASE_SECONDS:
            return
        self.last_crashes[server_id] = case.opened_at
        evidence = CrashEvidence.ALONE if case.alone else CrashEvidence.PRESENT
        for fingerprint in case.fingerprints:
            crash = (server_id, case.generation, case.opened_at)
            self.note(fingerprint, crash, evidence, now + SUSPICION_SECONDS)

    def answered(self, server_id: str, generation: str, sent_at: float) -> None:
        """Closes the case of a server that answers a later request in the same generation."""
        case = self.cases.get(server_id)
        if case is not None and case.generation == generation and sent_at > case.opened_at:
            del self.cases[server_id]

    def ran_alone(self, fingerprint: str) -> None:
        """Clears a suspect that was answered while it was alone on a server."""
        record = self.records.get(fingerprint)
        if record is not None and record.suspicion() is not Suspicion.BLOCKED:
            record.crashes = dict.fromkeys(record.crashes, CrashEvidence.CLEARED)
            self.changes += 1
        for case in self.cases.values():
            case.fingerprints -= {fingerprint}

    def reports(self, now: float) -> tuple[CrashReport, ...]:
        """Returns every confirmed crash for the other daemons."""
        return tuple(
            CrashReport(fingerprint, crash, evidence, record.expires_at - now)
            for fingerprint, record in self.records.items()
            if record.expires_at > now
            for crash, evidence in record.crashes.items()
        )

    def merge(self, reports: Iterable[CrashReport], now: float) -> None:
        """Takes the reports of another daemon into account, in any order and any number."""
        for report in reports:
            if report.remaining_seconds > 0.0:
                expires_at = now + min(report.remaining_seconds, SUSPICION_SECONDS)
                self.note(report.fingerprint, report.crash_id, report.evidence, expires_at)

    def expire(self, now: float) -> None:
        """Drops what no longer counts."""
        for fingerprint in [f for f, r in self.records.items() if r.expires_at <= now]:
            del self.records[fingerprint]
        for server_id in [s for s, c in self.cases.items() if now - c.opened_at >= CASE_SECONDS]:
            del self.cases[server_id]

    def note(
        self, fingerprint: str, crash: CrashId, evidence: CrashEvidence, expires_at: float
    ) -> None:
        """Notes a crash for a fingerprint. Only a crash that was not known extends the term."""
        record = self.records.get(fingerprint)
        if record is None:
            if len(self.records) >= MAX_FINGERPRINTS:
                del self.records[next(iter(self.records))]
            record = self.records[fingerprint] = FingerprintRecord(expires_at)
        known = record.crashes.get(crash)
        if known is None:
            record.expires_at = max(record.expires_at, expires_at)
        if known is None or evidence > known:
            record.crashes[crash] = evidence
            self.changes += 1
