"""Searches by seed for two owners of a key.

The tasks of several daemons, of which one decides, move keys between servers that run requests,
while commands, answers, daemons and servers fail. Thousands of moves take seconds, because the
clock is virtual. Two owners are printed with the trace of the keys::

    python -m fireflylink_experiments.ownership_search --first_seed 1 --seeds 20 --moves 2000
"""

import sys
from collections import Counter

from absl import flags, logging

from fireflylink_experiments._ownership_search import OwnershipPlay, PlayResult

FIRST_SEED = flags.DEFINE_integer("first_seed", 1, "Seed of the first run.")
SEEDS = flags.DEFINE_integer("seeds", 10, "Number of runs, each with the next seed.", lower_bound=1)
MOVES = flags.DEFINE_integer("moves", 2000, "Moves of keys in each run.", lower_bound=1)


def _print_result(result: PlayResult) -> None:
    commands = " ".join(f"{name}={count}" for name, count in sorted(result.commands.items()))
    faults = " ".join(f"{name}={count}" for name, count in sorted(result.faults.items()))
    print(
        f"seed {result.seed}: {result.moves} moves in {result.seconds:.0f} s, {commands}; {faults};"
        f" overlaps={len(result.violations)}",
        flush=True,
    )
    for violation in result.violations:
        print(f"  {violation.kind.value} at {violation.time:.3f}: {violation.description}")
        for line in violation.trace:
            print(f"    {line}")


def main() -> None:
    """Prints a line for each run, its violations, and the totals."""
    flags.FLAGS(sys.argv)
    logging.set_verbosity(logging.FATAL)
    totals: Counter[str] = Counter()
    for seed in range(FIRST_SEED.value, FIRST_SEED.value + SEEDS.value):
        result = OwnershipPlay(seed).run(MOVES.value)
        _print_result(result)
        totals += Counter(
            runs=1,
            moves=result.moves,
            overlaps=len(result.violations),
            runs_with_overlaps=bool(result.violations),
        )
        totals += result.commands + result.faults
    print("total: " + " ".join(f"{name}={count}" for name, count in sorted(totals.items())))


if __name__ == "__main__":
    main()
