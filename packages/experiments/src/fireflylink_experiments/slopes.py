"""Measures how the cost of planning and granting keys grows with the number of servers.

It prints the cost for several numbers of servers, from which the slope is read. Its output is the
source of figures in ``docs/CAPACITY.md``::

    python -m fireflylink_experiments.slopes --seed 1
"""

import random
import sys
import time
from collections.abc import Callable

from absl import flags

from fireflylink_core import KEY_COUNT, ManualClock, OwnershipTable, ServerIncarnation
from fireflylink_decisions.ownership import (
    GRANT_TIMEOUT_SECONDS,
    Candidate,
    GrantCommand,
    GrantTracker,
    OverloadDetector,
    RangeLoad,
    initial_table,
    plan_table,
)
from fireflylink_protocol import LoadReport, encode_datagram, encode_table

SEED = flags.DEFINE_integer("seed", 1, "Seed of the random loads.")

SERVER_COUNTS = (30, 100, 300, 1000)
REQUESTS_PER_SECOND_PER_SERVER = 10.0
REPETITIONS = 5
MILLISECONDS_PER_SECOND = 1000.0


def _make_candidates(rng: random.Random, server_count: int) -> list[Candidate]:
    incarnations = (
        ServerIncarnation(f"i-{rng.getrandbits(40):010x}", 1787427283046)
        for _ in range(server_count)
    )
    return [Candidate(incarnation, 25.0, "a") for incarnation in incarnations]


def _make_range_load(rng: random.Random, server_count: int) -> RangeLoad:
    requests_per_second = server_count * REQUESTS_PER_SECOND_PER_SERVER
    keys = sorted({rng.randrange(KEY_COUNT) for _ in range(int(requests_per_second))})
    return RangeLoad([(key, requests_per_second / len(keys)) for key in keys])


def _mean_milliseconds(action: Callable[[], object]) -> float:
    started = time.perf_counter()
    for _ in range(REPETITIONS):
        action()
    return (time.perf_counter() - started) / REPETITIONS * MILLISECONDS_PER_SECOND


def _grant_cost(table: OwnershipTable) -> tuple[float, int]:
    """Returns the milliseconds of grant tracking, and the grants, per second of simulated time.

    10 s are simulated in steps of 0.1 s.
    """
    clock = ManualClock()
    grants = GrantTracker(clock.now())
    grants.mark_no_former_decider()
    grants.set_table(table)
    sent = 0
    started = time.perf_counter()
    for _ in range(100):
        for command in grants.due_commands(clock.now()):
            if isinstance(command, GrantCommand):
                grants.record_sent(command, clock.now() + GRANT_TIMEOUT_SECONDS)
                grants.record_granted(command, clock.now())
                sent += 1
        clock.advance(0.1)
    return (time.perf_counter() - started) * MILLISECONDS_PER_SECOND / 10.0, sent // 10


def main() -> None:
    """Prints one row for each number of servers."""
    flags.FLAGS(sys.argv)
    rng = random.Random(SEED.value)
    print(
        f"seed {SEED.value}; a fleet of N servers of one service,"
        f" {REQUESTS_PER_SECOND_PER_SERVER:g}/s each"
    )
    print("servers  plan ms grant ms/s  grants/s  table bytes  report bytes")
    for server_count in SERVER_COUNTS:
        candidates = _make_candidates(rng, server_count)
        table = initial_table("availability", candidates, 1)
        load = _make_range_load(rng, server_count)
        plan_ms = _mean_milliseconds(
            lambda c=candidates, t=table, r=load: plan_table(t, c, r, OverloadDetector(), 0.0)  # type: ignore[misc]
        )
        grant_ms, grants = _grant_cost(table)
        keys = tuple(rng.randrange(KEY_COUNT) for _ in range(min(400, server_count)))
        report = encode_datagram(LoadReport("front-1", "availability", 1, len(keys), keys))
        print(
            f"{server_count:>7} {plan_ms:>8.1f} {grant_ms:>10.1f} {grants:>9}"
            f" {len(encode_table(table)):>12} {len(report):>13}"
        )


if __name__ == "__main__":
    main()
