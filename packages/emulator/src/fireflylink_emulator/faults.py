"""Runs generated requests with faults and counts violated guarantees.

python -m fireflylink_emulator.faults --seed 1 --requests 1000000
"""

import sys

from absl import flags

from fireflylink_emulator._fault_run import FAULT_RUN_PROFILES, run_with_faults
from fireflylink_emulator._flags import SEED
from fireflylink_emulator._run_statistics import RunStatistics

REQUESTS = flags.DEFINE_integer("requests", 1_000_000, "Number of requests to generate.", 1)


def main() -> int:
    """Prints the counts; returns 1 if a guarantee or the limit of a cold server was violated."""
    flags.FLAGS(sys.argv)
    emulation, fault_counts = run_with_faults(REQUESTS.value, SEED.value)
    print("faults: " + ", ".join(f"{name} {count}" for name, count in sorted(fault_counts.items())))
    all_statistics = [emulation.callers.statistics_of(profile) for profile in FAULT_RUN_PROFILES]
    for profile, statistics in zip(FAULT_RUN_PROFILES, all_statistics, strict=True):
        print(_line(profile.service, statistics))
    for profile in FAULT_RUN_PROFILES:
        servers = emulation.servers_of(profile)
        peak = max(server.peak_cold_requests_per_second for server in servers)
        limit = servers[0].cold_limit
        print(f"{profile.service}: most in a second at a cold server {peak}, bound {limit:.1f}")
    exceeded = any(
        server.peak_cold_requests_per_second > server.cold_limit for server in emulation.servers
    )
    return int(exceeded or any(statistics.guarantee_violations for statistics in all_statistics))


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
