"""Entry point of ``fireflylink``."""

import os
import sys
import textwrap
from collections.abc import Callable, Sequence
from typing import Any, TextIO

from absl import flags
from returns.result import Failure, Result

from fireflylink_operator_client._connections import open_session
from fireflylink_operator_client._errors import ClientError, ExitStatus
from fireflylink_operator_client._output import Outcome, json_text
from fireflylink_operator_client._session import Session
from fireflylink_operator_client._verbs import VERBS, BaseVerb

PROGRAM = "fireflylink"
DEFAULT_SETTINGS = "fireflylink.json"
INTERRUPTED = 130
HELP_COLUMNS = 80

Emit = Callable[[dict[str, Any], str], None]
Connect = Callable[[str, Emit], Result[Session, ClientError]]


def main() -> int:
    """Runs the command line of this process and returns its exit status."""
    try:
        status = run(sys.argv[1:], open_session, sys.stdout, sys.stderr)
        sys.stdout.flush()
        return status
    except KeyboardInterrupt:
        return INTERRUPTED
    except BrokenPipeError:
        # The reader of a pipe has ended; Python must not report this again when it exits.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitStatus.DONE
    except Exception as error:
        print(f"{PROGRAM}: internal error: {error!r}", file=sys.stderr)
        return ExitStatus.INTERNAL


def run(arguments: Sequence[str], connect: Connect, stdout: TextIO, stderr: TextIO) -> int:
    """Runs a command line and returns its exit status."""
    name = arguments[0] if arguments else "--help"
    if name in ("--help", "-h", "help"):
        print(general_help(), file=stdout)
        return ExitStatus.DONE if arguments else ExitStatus.USAGE
    for verb in VERBS:
        if verb.name == name:
            return _run_verb(verb, arguments[1:], connect, stdout, stderr)
    names = ", ".join(verb.name for verb in VERBS)
    print(f"{PROGRAM}: {name!r} is not a command; commands: {names}", file=stderr)
    return ExitStatus.USAGE


def general_help() -> str:
    """Returns the text of ``fireflylink --help``."""
    lines = ["usage: fireflylink COMMAND [ARGUMENTS] [flags]", "", "commands:"]
    for verb in VERBS:
        lines += ["", f"  {verb.usage}", _wrapped(verb.description, indent=6)]
    lines += ["", "fireflylink COMMAND --help shows the flags of a command."]
    return "\n".join(lines)


def verb_help(verb: BaseVerb, values: flags.FlagValues) -> str:
    """Returns the text of ``fireflylink COMMAND --help``."""
    lines = [f"usage: {verb.usage}", "", _wrapped(verb.description), "", "flags:"]
    for name in sorted(values):
        if name == values[name].name:
            default = json_text(values[name].default)
            lines.append(f"  --{name}: {values[name].help} (default: {default})")
    return "\n".join(lines)


def _wrapped(text: str, indent: int = 0) -> str:
    margin = " " * indent
    return textwrap.fill(text, HELP_COLUMNS, initial_indent=margin, subsequent_indent=margin)


def _run_verb(
    verb: BaseVerb, arguments: Sequence[str], connect: Connect, stdout: TextIO, stderr: TextIO
) -> int:
    values = _flag_values(verb)
    try:
        positional = tuple(values([PROGRAM, *arguments])[1:])
    except flags.Error as error:
        print(f"{PROGRAM}: {' '.join(str(error).split())}", file=stderr)
        return ExitStatus.USAGE
    if values.help:
        print(verb_help(verb, values), file=stdout)
        return ExitStatus.DONE
    printer = _Printer(values.json, stdout, stderr)
    checked = verb.check_arguments(positional)
    if isinstance(checked, Failure):
        return printer.failure(checked.failure())
    session = connect(values.settings, printer.emit)
    if isinstance(session, Failure):
        return printer.failure(session.failure())
    result = verb.run(session.unwrap(), positional, values)
    if isinstance(result, Failure):
        return printer.failure(result.failure())
    return printer.outcome(result.unwrap())


def _flag_values(verb: BaseVerb) -> flags.FlagValues:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    values.set_gnu_getopt(True)
    flags.DEFINE_string(
        "settings",
        DEFAULT_SETTINGS,
        "JSON file with the addresses and the files of the secrets.",
        flag_values=values,
    )
    flags.DEFINE_bool("json", False, "Print JSON instead of tables.", flag_values=values)
    flags.DEFINE_bool("help", False, "Show this text.", short_name="h", flag_values=values)
    verb.define_flags(values)
    return values


class _Printer:
    """Prints results for people, or as JSON for programs."""

    __slots__ = ("as_json", "stderr", "stdout")

    def __init__(self, as_json: bool, stdout: TextIO, stderr: TextIO) -> None:
        self.as_json = as_json
        self.stdout = stdout
        self.stderr = stderr

    def emit(self, document: dict[str, Any], line: str) -> None:
        """Prints one line while a command runs."""
        print(json_text(document) if self.as_json else line, file=self.stdout, flush=True)

    def outcome(self, outcome: Outcome) -> int:
        """Prints the result of a command and returns the exit status."""
        if self.as_json:
            if outcome.document:
                document = {**outcome.document, "warnings": list(outcome.warnings)}
                print(json_text(document), file=self.stdout)
            return outcome.exit_status
        for line in outcome.lines:
            print(line, file=self.stdout)
        for warning in outcome.warnings:
            print(f"{PROGRAM}: warning: {warning}", file=self.stderr)
        return outcome.exit_status

    def failure(self, error: ClientError) -> int:
        """Prints an error and returns the exit status."""
        if self.as_json:
            document = {"error": str(error), "problems": list(error.problems)}
            print(json_text({**document, "exit_status": error.exit_status}), file=self.stdout)
        for problem in error.problems:
            print(f"{PROGRAM}: {problem}", file=self.stderr)
        return error.exit_status
