"""Measurement of the ownership planner beside rendezvous hashing with a lease on every shard."""
