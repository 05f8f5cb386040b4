"""Measures the decisions about requests beside naive baselines on a manual clock."""

from absl import app, flags

from fireflylink_core import ServiceKind
from fireflylink_experiments.requests._run import RunResult, run
from fireflylink_experiments.requests._scenarios import SCENARIOS
from fireflylink_experiments.requests._sizes import SIZES, ServiceSize

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of everything that is random.")
flags.DEFINE_float("seconds", 10.0, "Simulated seconds of load per run.")
flags.DEFINE_string("service", "", "Measures only this service.")
flags.DEFINE_string("scenario", "", "Measures only this scenario.")
flags.DEFINE_string("policy", "", "Measures only this policy.")

POLICIES = ("policy", "no-delegation", "round-robin", "least-in-flight")
HEADER = (
    f"{'service':13} {'scenario':18} {'policy':16} {'requests':>8} {'p50':>7} {'p99':>7}"
    f" {'p99.9':>7} {'goodput':>7} {'shed':>6} {'unknown':>7} {'retries':>7} {'cold':>4}"
    f" {'crash':>5} {'late':>5} {'doubled':>7} {'lost':>4} {'wrong':>5}"
)


def policies_of(size: ServiceSize) -> tuple[str, ...]:
    """Returns the policies that differ for a service."""
    if size.kind is ServiceKind.POOLED:
        return POLICIES
    return tuple(policy for policy in POLICIES if policy != "no-delegation")


def row(result: RunResult) -> str:
    """Returns one line of the table."""
    return (
        f"{result.size.name:13} {result.scenario:18} {result.policy:16} {result.requests:8d}"
        f" {result.p50:7.1f} {result.p99:7.1f} {result.p999:7.1f} {result.goodput:7.3f}"
        f" {result.shed:6.3f} {result.unknown:7.4f} {result.retries:7.4f}"
        f" {result.highest_cold_load:4d} {result.crashes:5d} {result.late_work:5d}"
        f" {result.doubled:7d} {result.lost:4d} {result.wrongly_not_run:5d}"
    )


def main(arguments: list[str]) -> None:
    """Prints one line per service, scenario and policy."""
    del arguments
    print(HEADER)
    for size in SIZES:
        if FLAGS.service not in ("", size.name):
            continue
        for scenario in SCENARIOS:
            if FLAGS.scenario not in ("", scenario.name):
                continue
            for policy in policies_of(size):
                if FLAGS.policy in ("", policy):
                    result = run(size, scenario, policy, FLAGS.seconds, FLAGS.seed)
                    print(row(result), flush=True)


if __name__ == "__main__":
    app.run(main)
