"""For how long keys are not served after losses, beside a baseline without a decider's help.

python -m fireflylink_emulator.outages --seed 1

The baseline waits for the longest hold that the platform allows, and its owners are found by hash:
a lost server's keys come back when that hold is over, all others change hands with them.
"""

import statistics
import sys

from absl import flags

from fireflylink_emulator._failures import FAILURES, PHASES, measure_recovery
from fireflylink_emulator._flags import SEED


def main() -> None:
    """Prints one row a loss."""
    flags.FLAGS(sys.argv)
    print(f"{'loss':<32} least part held  seconds until whole: median, most  baseline")
    for name, lose, naive in FAILURES:
        found = [measure_recovery(lose, SEED.value + phase) for phase in range(PHASES)]
        least = min(part for part, _ in found)
        times = sorted(seconds for _, seconds in found)
        median = statistics.median(times)
        print(f"{name:<32} {least:>15.2f} {median:>27.2f} {times[-1]:>5.2f} {naive:>9.2f}")


if __name__ == "__main__":
    main()
