"""Counts doubled, lost and wrongly reported requests among generated ones with faults."""

from absl import app, flags

from fireflylink_experiments.request_faults._run import FaultRun

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "Seed of everything that is random.")
flags.DEFINE_integer("requests", 1_000_000, "Generated requests, without repetitions.")


def main(arguments: list[str]) -> None:
    """Prints the counts; fails when a guarantee was violated."""
    del arguments
    fault_run = FaultRun(FLAGS.requests, FLAGS.seed)
    violations = fault_run.run()
    print(f"requests={violations.requests} attempts={violations.attempts}")
    print(f"faults={fault_run.faults.counts}")
    for name, count in sorted(violations.outcomes.items()):
        print(f"told {name}: {count}")
    print(
        f"doubled={violations.doubled} lost={violations.open_attempts}"
        f" wrongly_not_run={violations.wrongly_not_run}"
        f" highest_cold_load={violations.highest_cold_load}"
    )
    if violations.total:
        raise SystemExit(1)


if __name__ == "__main__":
    app.run(main)
