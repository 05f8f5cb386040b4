"""Replays the stored patterns with the production code and with the baseline.

python -m fireflylink_emulator.replay --seed 1
"""

import sys

from absl import flags
from returns.result import Success

from fireflylink_emulator._emulation import Emulation
from fireflylink_emulator._flags import SEED
from fireflylink_emulator._pattern import read_pattern
from fireflylink_emulator._run_statistics import RunStatistics
from fireflylink_emulator._scenario_run import replay_scenario
from fireflylink_emulator._scenarios import SCENARIOS


def _row(name: str, emulation: Emulation, statistics: RunStatistics) -> str:
    peak_cold = max(server.peak_cold_requests_per_second for server in emulation.servers)
    moved_keys = sum(decider.moved_keys for decider in emulation.deciders.values())
    return (
        f"{name:<42} {statistics.earned_fraction:>5.3f} {statistics.requests:>6}"
        f" {statistics.in_time:>6} {statistics.late:>6}"
        f" {statistics.refused:>7} {statistics.failed:>6} {statistics.percentile(0.5):>6.3f}"
        f" {statistics.percentile(0.99):>6.3f} {peak_cold:>5} {moved_keys:>7}"
        f" {statistics.guarantee_violations:>6}"
    )


def main() -> int:
    """Prints the rows of each scenario and its baseline; returns 1 if a pattern is unreadable."""
    flags.FLAGS(sys.argv)
    print(
        f"{'situation':<42} worth  asked in-time   late refused failed  p50 s  p99 s  cold   moved"
        " broken"
    )
    for scenario in SCENARIOS:
        pattern = read_pattern(scenario.name)
        if not isinstance(pattern, Success):
            print(pattern.failure().detail, file=sys.stderr)
            return 1
        for baseline in (False, True):
            emulation = replay_scenario(scenario, pattern.unwrap(), SEED.value, baseline)
            name = f"{scenario.name}, baseline" if baseline else scenario.name
            for profile in scenario.profiles:
                suffix = "" if profile is scenario.profile else f" ({profile.request_type})"
                print(_row(name + suffix, emulation, emulation.callers.statistics_of(profile)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
