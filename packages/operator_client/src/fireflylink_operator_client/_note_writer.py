"""Writing the configuration that a release note leads to."""

import gevent
from returns.result import Failure, Result, Success

from fireflylink_core import BaseClock, BaseValue, Configuration, ReleaseNote
from fireflylink_decisions.releases import (
    NoteError,
    VersionConflictError,
    apply_note,
    find_applied,
    version_conflict,
)
from fireflylink_operator_client._errors import (
    ClientError,
    ConflictError,
    RefusedError,
    UnavailableError,
    UnknownOutcomeError,
)
from fireflylink_operator_client._repository import CurrentConfiguration, Repository
from fireflylink_operator_client._store import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

READ_BACK_SECONDS = 5.0
RETRY_PERIOD = 0.1


class WrittenNote(BaseValue):
    """A note that certainly is a part of the stored configuration.

    ``version`` is the version that the note made. ``repeated`` tells that an earlier command
    applied it.
    """

    __slots__ = ("configuration", "repeated", "version", "warnings")

    def __init__(
        self,
        configuration: Configuration,
        version: int,
        repeated: bool,
        warnings: tuple[str, ...] = (),
    ) -> None:
        self.configuration = configuration
        self.version = version
        self.repeated = repeated
        self.warnings = warnings


class NoteWriter:
    """Writes one note, at most once.

    A write whose reply was lost may still take effect later, so it is sent again with the same
    expected revision until either it is known to have taken effect or another write came first.
    """

    __slots__ = ("clock", "note", "payload", "read_back_seconds", "repository")

    def __init__(
        self,
        repository: Repository,
        clock: BaseClock,
        note: ReleaseNote,
        payload: bytes,
        read_back_seconds: float = READ_BACK_SECONDS,
    ) -> None:
        self.repository = repository
        self.clock = clock
        self.note = note
        self.payload = payload
        self.read_back_seconds = read_back_seconds

    def write(self) -> Result[WrittenNote, ClientError]:
        """Applies the note to the stored configuration, then stores the note in the history."""
        current = self.repository.read_current().alt(_nothing_written)
        return current.bind(self._apply).map(self._with_history)

    def _apply(self, current: CurrentConfiguration) -> Result[WrittenNote, ClientError]:
        applied = apply_note(current.configuration, self.note, self.clock.wall_ms())
        if isinstance(applied, Failure):
            return Failure(client_error(applied.failure()))
        configuration = applied.unwrap()
        if configuration.version == current.configuration.version:
            return Success(self._written(configuration, repeated=True))
        return self._write(configuration, current.revision)

    def _write(
        self, configuration: Configuration, revision: int
    ) -> Result[WrittenNote, ClientError]:
        deadline = self.clock.now() + self.read_back_seconds
        uncertain = False
        while True:
            written = self.repository.write_current(configuration, revision)
            if isinstance(written, Success):
                return Success(self._written(configuration, repeated=False))
            error = written.failure()
            if isinstance(error, StoreUnavailableError) and not uncertain:
                return Failure(UnavailableError(f"platform unavailable, nothing written: {error}"))
            uncertain = uncertain or isinstance(error, StoreOutcomeUnknownError)
            refused = isinstance(error, StoreConflictError)
            outcome = self._read_back(revision, certainly_refused=refused and not uncertain)
            if outcome is not None:
                return outcome
            if self.clock.now() >= deadline:
                return Failure(self._unknown_outcome(str(error)))
            gevent.sleep(RETRY_PERIOD)

    def _read_back(
        self, revision: int, certainly_refused: bool
    ) -> Result[WrittenNote, ClientError] | None:
        """Returns the outcome of the write, or ``None`` when it cannot be told yet."""
        found = self.repository.read_current()
        if isinstance(found, Failure):
            return Failure(self._unnamed_conflict(found.failure())) if certainly_refused else None
        current = found.unwrap()
        applied = find_applied(current.configuration, self.note.note_id)
        if applied is not None and applied.digest == self.note.digest:
            return Success(self._written(current.configuration, repeated=False))
        if current.revision == revision:
            return None
        return Failure(ConflictError(str(version_conflict(current.configuration, self.note))))

    def _written(self, configuration: Configuration, repeated: bool) -> WrittenNote:
        applied = find_applied(configuration, self.note.note_id)
        version = configuration.version if applied is None else applied.version
        return WrittenNote(configuration, version, repeated)

    def _with_history(self, written: WrittenNote) -> WrittenNote:
        stored = self.repository.write_history(written.version, self.payload)
        if isinstance(stored, Success) or isinstance(stored.failure(), StoreConflictError):
            return written
        warning = (
            f"the note is in the configuration, but not yet in its history: {stored.failure()}; "
            "apply it again to complete the history"
        )
        return written.replace(warnings=(warning,))

    def _unnamed_conflict(self, error: ClientError) -> ConflictError:
        return ConflictError(
            f"another change was written first, nothing written; which one is not known: {error}"
        )

    def _unknown_outcome(self, reason: str) -> UnknownOutcomeError:
        return UnknownOutcomeError(
            f"the write of version {self.note.for_version + 1} may have taken effect: {reason}; "
            "apply the note again to find out, it is never applied twice"
        )


def _nothing_written(error: ClientError) -> ClientError:
    """Adds to an outage before the write what it means for the note."""
    if isinstance(error, UnavailableError):
        return UnavailableError(f"{error}; nothing written, apply the same file again later")
    return error


def client_error(error: NoteError) -> ClientError:
    """Returns the error of this package for a note that does not apply."""
    if isinstance(error, VersionConflictError):
        return ConflictError(*error.problems)
    return RefusedError(*error.problems)
