"""Commands that measure a decision beside its naive baseline."""
