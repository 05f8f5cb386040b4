"""Plays seeds of the soak: ``python -m fireflylink_soak --first_seed 1 --seeds 50``.

The exit status is 1 if a promise was broken. Then the faults of the seed and the log lines of the
programs about the ids concerned are printed; ``--first_seed N --seeds 1`` plays the seed again.
``--regressions`` plays the seeds that have failed before. A large run:
``--daemons 60 --keyed 70 --pooled 50``. ``--moves`` moves keys as often as possible, beside slow
work and commands that are lost, late or answered twice.
"""

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import pathlib  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402

from absl import app, flags  # noqa: E402

from fireflylink_core import SystemClock  # noqa: E402
from fireflylink_soak import REGRESSIONS, RunResult, SoakRun, log_lines_of  # noqa: E402

FIRST_SEED = flags.DEFINE_integer("first_seed", 1, "The first seed.", 0)
SEEDS = flags.DEFINE_integer("seeds", 1, "How many seeds to play, one after the other.", 1, 1000)
SECONDS = flags.DEFINE_float("seconds", 20.0, "Time with faults of each seed.", 1.0, 600.0)
DAEMONS = flags.DEFINE_integer("daemons", 4, "Daemons.", 2, 100)
KEYED = flags.DEFINE_integer("keyed", 4, "Servers that own keys.", 1, 100)
POOLED = flags.DEFINE_integer("pooled", 3, "Servers that do not.", 1, 100)
MOVES = flags.DEFINE_bool("moves", False, "Move many keys, with faults of the commands.")
KEEP = flags.DEFINE_string("keep", None, "Folder for the logs and records of seeds that fail.")
REGRESSION = flags.DEFINE_bool("regressions", False, "Play the seeds that have failed before.")


def main(_arguments: list[str]) -> None:
    """Plays the seeds and prints one line for each."""
    failed = []
    plays = _plays()
    for seed, seconds, moves in plays:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            run = SoakRun(folder, SystemClock(), seed, moves=moves)
            result = run.play(seconds, DAEMONS.value, KEYED.value, POOLED.value)
            print(_summary(seed, result), flush=True)
            if result.violations:
                failed.append(seed)
                _print_violations(folder, result)
                if KEEP.value:
                    shutil.copytree(folder, pathlib.Path(KEEP.value) / str(seed))
    print(f"{len(plays)} seeds, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


def _plays() -> list[tuple[int, float, bool]]:
    """Returns the seeds to play, each with its time with faults in seconds, and the mode."""
    if REGRESSION.value:
        return [(played.seed, played.seconds, played.moves) for played in REGRESSIONS]
    last = FIRST_SEED.value + SEEDS.value
    return [(seed, SECONDS.value, MOVES.value) for seed in range(FIRST_SEED.value, last)]


def _summary(seed: int, result: RunResult) -> str:
    statuses = collections.Counter(reply.status for reply in result.replies)
    return (
        f"seed={seed} requests={len(result.replies)} runs={result.runs} faults={result.faults} "
        f"recovery_seconds={result.recovery_seconds:.1f} megabytes={result.megabytes:.0f} "
        f"moves={result.moves} grants={result.events['granted']} "
        f"releases={result.events['released']} servers={result.events['started']} "
        f"kinds={dict(sorted(result.kinds.items()))} "
        f"statuses={dict(sorted(statuses.items()))} violations={len(result.violations)}"
    )


def _print_violations(folder: pathlib.Path, result: RunResult) -> None:
    for line in result.trace:
        print(f"  {line}")
    for violation in result.violations:
        print(f"  BROKEN {violation}")
        for line in log_lines_of(folder, violation.detail):
            print(f"    {line}")


if __name__ == "__main__":
    app.run(main)
