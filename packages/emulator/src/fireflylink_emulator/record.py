"""Generates the arrival patterns that ``replay`` and the tests read.

python -m fireflylink_emulator.record --seed 1
"""

import random
import sys

from absl import flags

from fireflylink_emulator._flags import SEED
from fireflylink_emulator._pattern import PATTERN_DIRECTORY, encode_pattern
from fireflylink_emulator._scenarios import SCENARIOS


def main() -> None:
    """Writes the pattern of each scenario to a file."""
    flags.FLAGS(sys.argv)
    PATTERN_DIRECTORY.mkdir(exist_ok=True)
    for scenario in SCENARIOS:
        pattern = scenario.generate_pattern(random.Random(SEED.value))
        path = PATTERN_DIRECTORY / f"{scenario.name}.txt"
        path.write_text(encode_pattern(pattern))
        print(f"{path.name}: {len(pattern.arrivals)} arrivals in {pattern.duration_seconds:.1f} s")


if __name__ == "__main__":
    main()
