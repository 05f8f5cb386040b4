"""Flags that the commands of this package share."""

from absl import flags

SEED = flags.DEFINE_integer("seed", 1, "Seed of arrivals, faults and service times.")
