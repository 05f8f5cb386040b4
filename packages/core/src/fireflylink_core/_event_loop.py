"""Turns of the greenlets at the event loop."""

import gevent

SHORTEST_SLEEP_SECONDS = 1e-6
"""The event loop looks for input before it wakes a greenlet that sleeps, however short."""


def yield_to_event_loop() -> None:
    """Lets all other greenlets run that can, once.

    For loops that read as long as bytes are there: a read that need not wait does not let the event
    loop run, so a peer that sends without end would stop everything else.
    """
    gevent.sleep(SHORTEST_SLEEP_SECONDS)
