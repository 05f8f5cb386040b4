"""Prints how long keys are not served after failures, beside a baseline without a decider.

python -m fireflylink_emulator.outages --seed 1

In the baseline, owners are found by a hash of the key, and holds last as long as the platform
allows. The keys of a lost server are served again when that hold has expired. The loss also changes
the owner of all other keys.
"""

import statistics
import sys

from absl import flags

from fireflylink_emulator._failures import FAILURES, RENEWAL_PHASES, measure_recovery
from fireflylink_emulator._flags import SEED


def main() -> None:
    """Prints one row for each failure."""
    flags.FLAGS(sys.argv)
    print(f"{'loss':<32} least part held  seconds until whole: median, most  baseline")
    for name, inject_failure, baseline in FAILURES:
        results = [
            measure_recovery(inject_failure, SEED.value + phase) for phase in range(RENEWAL_PHASES)
        ]
        lowest = min(fraction for fraction, _ in results)
        times = sorted(seconds for _, seconds in results)
        median = statistics.median(times)
        print(f"{name:<32} {lowest:>15.2f} {median:>27.2f} {times[-1]:>5.2f} {baseline:>9.2f}")


if __name__ == "__main__":
    main()
