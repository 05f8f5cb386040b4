"""Reasons for which a release note is not applied."""

from fireflylink_core import AppliedNote, BaseFireflylinkError, ReleaseNote

MAX_SHOWN_NOTES = 3


class NoteError(BaseFireflylinkError):
    """A release note that is refused.

    ``problems`` lists everything that is wrong, one line each; the text shows the first.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        further = len(problems) - 1
        super().__init__(f"{problems[0]} (and {further} more)" if further else problems[0])
        self.problems = problems


class NoteIdReusedError(NoteError):
    """Another note with the same id was applied before."""

    def __init__(self, note: ReleaseNote, applied: AppliedNote) -> None:
        super().__init__(
            (
                f"note_id: {note.note_id} was used for another note, by {applied.author} in "
                f"version {applied.version}; give this note an id of its own",
            )
        )
        self.applied = applied


class VersionConflictError(NoteError):
    """The configuration has changed since the version that the note was written for.

    ``others`` are the notes applied since then, oldest first, as far as they are listed.
    """

    def __init__(
        self, note: ReleaseNote, current_version: int, others: tuple[AppliedNote, ...]
    ) -> None:
        shown = "".join(
            f"; version {other.version} is note {other.note_id} by {other.author}: {other.summary}"
            for other in others[:MAX_SHOWN_NOTES]
        )
        further = len(others) - MAX_SHOWN_NOTES
        shown += f"; and {further} more" if further > 0 else ""
        super().__init__(
            (
                f"for_version: the note was written for version {note.for_version}, but the "
                f"configuration is at version {current_version}{shown}",
            )
        )
        self.current_version = current_version
        self.others = others
