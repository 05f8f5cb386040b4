"""Interface of the commands."""

import abc
import sys
from pathlib import Path

from absl import flags
from returns.result import Failure, Result, Success

from fireflylink_core import ReleaseNote
from fireflylink_documents import decode_note
from fireflylink_operator_client._errors import ClientError, RefusedError, UsageError
from fireflylink_operator_client._output import Outcome
from fireflylink_operator_client._session import Session

STANDARD_INPUT = "-"


class BaseVerb(abc.ABC):
    """A command: its name, its arguments, its flags and what it does.

    ``description`` is the text that ``--help`` shows.
    """

    __slots__ = ()

    name: str
    arguments: tuple[str, ...] = ()
    optional_arguments: tuple[str, ...] = ()
    description: str

    def define_flags(self, values: flags.FlagValues) -> None:  # noqa: B027
        """Adds the flags of this command."""

    @abc.abstractmethod
    def run(
        self, session: Session, arguments: tuple[str, ...], values: flags.FlagValues
    ) -> Result[Outcome, ClientError]:
        """Runs the command with checked arguments."""

    @property
    def usage(self) -> str:
        """The command line of this command."""
        shown = [f"[{argument}]" for argument in self.optional_arguments]
        return " ".join(["fireflylink", self.name, *self.arguments, *shown, "[flags]"])

    def check_arguments(self, arguments: tuple[str, ...]) -> Result[tuple[str, ...], ClientError]:
        """Returns the arguments if their number is right."""
        fewest = len(self.arguments)
        if fewest <= len(arguments) <= fewest + len(self.optional_arguments):
            return Success(arguments)
        return Failure(UsageError(f"usage: {self.usage}"))


def load_note(path: str) -> Result[tuple[ReleaseNote, bytes], ClientError]:
    """Reads a release note from a file, or from standard input for ``-``."""
    try:
        payload = sys.stdin.buffer.read() if path == STANDARD_INPUT else Path(path).read_bytes()
    except OSError as error:
        return Failure(UsageError(f"cannot read {path}: {error.strerror}"))
    decoded = decode_note(payload)
    return decoded.map(lambda note: (note, payload)).alt(
        lambda error: RefusedError(f"{path}: {error}")
    )
