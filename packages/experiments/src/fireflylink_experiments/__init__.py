"""Commands that measure the decision code of the daemon."""
