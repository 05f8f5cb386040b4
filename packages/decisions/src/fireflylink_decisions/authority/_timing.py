"""Times of the ownership protocol, in seconds."""

GRANT_TERM = 2.0
"""How long authority and grants last after the moment at which they were asked for."""

RENEWAL_PERIOD = 0.4
"""How often authority and grants are renewed; four attempts fit into a term."""

CLOCK_DRIFT = 0.01
"""Largest relative difference in rate between two clocks that the protocol tolerates."""

FENCE_WAIT = GRANT_TERM * (1 + 2 * CLOCK_DRIFT)
"""Wait after which everything given before it has ended, on any clock within the drift."""
