"""Generated requests with faults: counts the promises that were broken.

python -m fireflylink_emulator.faults --seed 1 --requests 1000000
"""

import sys

from absl import flags

from fireflylink_emulator._fault_run import FAULT_PROFILES, run_with_faults
from fireflylink_emulator._flags import SEED
from fireflylink_emulator._run_statistics import RunStatistics

REQUESTS = flags.DEFINE_integer("requests", 1_000_000, "How many requests are asked.", 1)


def main() -> int:
    """Prints the counts; returns 1 when a promise was broken."""
    flags.FLAGS(sys.argv)
    emulation, begun = run_with_faults(REQUESTS.value, SEED.value)
    print("faults: " + ", ".join(f"{name} {count}" for name, count in sorted(begun.items())))
    tallies = [emulation.callers.statistics_of(profile) for profile in FAULT_PROFILES]
    for profile, statistics in zip(FAULT_PROFILES, tallies, strict=True):
        print(_line(profile.name, statistics))
    for profile in FAULT_PROFILES:
        servers = emulation.servers_of(profile)
        highest = max(server.peak_cold_requests for server in servers)
        bound = servers[0].cold_limit
        print(f"{profile.name}: most in a second at a cold server {highest}, bound {bound:.1f}")
    exceeded = any(server.peak_cold_requests > server.cold_limit for server in emulation.servers)
    return int(exceeded or any(tally.guarantee_violations for tally in tallies))


def _line(name: str, statistics: RunStatistics) -> str:
    return (
        f"{name}: asked {statistics.requests}, in time {statistics.in_time}, late"
        f" {statistics.late}, refused"
        f" {statistics.refused}, failed {statistics.failed}; doubled"
        f" {statistics.duplicate_executions}, lost {statistics.answers_without_execution},"
        f" wrongly refused {statistics.refused_but_executed}"
    )


if __name__ == "__main__":
    sys.exit(main())
