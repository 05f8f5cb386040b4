"""How long grants last, and until when they may arrive."""

HOLD_SECONDS = 3.0
"""How long a granted key may be served without a renewal.

The keys of a lost server are granted to another one when its hold has expired. If one more renewal
is sent to it, that is within 5 s of its loss: 1.0 s until that renewal, 0.6 s until it times out,
1.02 x 3.0 s of hold, and a margin of 0.2 s.

When a renewal is due, 2.0 s of the hold remain. That outlasts the election of another decider,
which starts when the lost decider's lease of 1.2 s ends, so that the keys stay served.
"""

RENEWAL_INTERVAL_SECONDS = 1.0
MAX_RENEWAL_INTERVAL_FRACTION = 1.0 / 3.0
"""Limit of the renewal interval, as a fraction of the hold. It applies if the setting
``hold_max_ms`` allows only holds shorter than ``HOLD_SECONDS``."""

GRANT_TIMEOUT_SECONDS = 0.6
"""Time-out of a grant. The connection is then reset, so that the grant cannot arrive later."""

RELEASE_TIMEOUT_SECONDS = 3.0
"""Time-out of a release, which a server answers when its requests on the keys have ended."""

COMMAND_RETRY_DELAY_SECONDS = 0.3
CLOCK_DRIFT_FACTOR = 1.02
"""The clock of a server may run 2% slow."""

HOLD_MARGIN_SECONDS = 0.2
"""Time added to a hold, besides the clock drift, before it counts as expired."""

OUTAGE_GRACE_SECONDS = 8.0
"""How long a decider sends grants without confirmation by the store. Its successor assumes that it
does so for all of that time, unless it has said that it stepped down: see
``former_deciders_end_at`` in ``GrantTracker``."""

MAX_DELIVERY_SECONDS = 3.0
"""How long what a process has sent may still be delivered after its end: the TCP user time-out of
the daemons' connections."""


def former_deciders_may_grant_until(elected_at: float) -> float:
    """Returns until when the deciders before the one of ``elected_at`` may grant keys."""
    return elected_at + OUTAGE_GRACE_SECONDS + GRANT_TIMEOUT_SECONDS


def former_holds_expire_at(elected_at: float, max_hold_seconds: float) -> float:
    """Returns when all holds of the deciders before the one of ``elected_at`` have expired."""
    return former_deciders_may_grant_until(elected_at) + max_hold_seconds
