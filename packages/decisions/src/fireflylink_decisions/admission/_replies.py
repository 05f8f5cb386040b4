"""Replies of a gateway that does not start a request."""

from fireflylink_core import NotRun

RETRY_SOON_MS = 20

MOVED = NotRun("moved", "Another gateway takes over these requests.", 503, RETRY_SOON_MS)
LEAVING = NotRun("leaving", "The gateway takes no new requests.", 503, RETRY_SOON_MS)
NOT_HELD = NotRun("not-held", "Another gateway holds the shard.", 503, RETRY_SOON_MS)
DEADLINE = NotRun("deadline", "The deadline passed before the request could start.")
OVERLOADED = NotRun("overloaded", "The request would not finish before its deadline.", 503, 100)
QUEUE_FULL = NotRun("queue-full", "Too many requests wait for these servers.", 503, 100)
DRAINING = NotRun("draining", "No server of the group takes new requests.", 503, RETRY_SOON_MS)
POISON = NotRun("poison", "This request has crashed the servers that ran it.")

STOP_REPLIES = {"moved": MOVED, "leaving": LEAVING}
