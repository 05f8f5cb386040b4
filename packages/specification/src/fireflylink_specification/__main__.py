"""Prints the results of all checks: ``python -m fireflylink_specification``.

With ``--guard KEY`` it prints instead the counterexamples that removing this guard leads to.
"""

from collections.abc import Iterator, Sequence

from absl import app, flags

from fireflylink_specification._guards import Guard
from fireflylink_specification._report import (
    model_lines,
    removal_lines,
    trace_lines,
)

_GUARD = flags.DEFINE_enum(
    "guard",
    None,
    [guard.key for guard in Guard],
    "Print the full counterexample found when this guard is removed.",
)


def _selected_lines() -> Iterator[str]:
    if _GUARD.value is not None:
        return trace_lines(next(guard for guard in Guard if guard.key == _GUARD.value))
    return _all_lines()


def _all_lines() -> Iterator[str]:
    yield from model_lines()
    yield from removal_lines()


def _main(arguments: Sequence[str]) -> None:
    if len(arguments) > 1:
        raise app.UsageError("no arguments are expected")
    for line in _selected_lines():
        print(line, flush=True)


if __name__ == "__main__":
    app.run(_main)
