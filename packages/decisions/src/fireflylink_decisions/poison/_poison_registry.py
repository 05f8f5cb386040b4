"""Detection of requests that crash every server that runs them."""

import collections
import hashlib

from fireflylink_core import CallerRequest, ServerIncarnation

MIN_CRASHED_INCARNATIONS = 3
"""Number of server incarnations that must have crashed while running a request before it is
refused."""

MAX_CRASH_AGE_SECONDS = 60.0
"""Older crashes do not count, because the servers may no longer crash at the request."""

MAX_SUSPECTS = 2000
"""Bounds the memory used: every reset connection could add a fingerprint. Those without a crash for
the longest time are dropped first."""

FINGERPRINT_BYTES = 8


def fingerprint_of(request: CallerRequest) -> bytes:
    """Returns a digest that is the same each time a caller sends the same request.

    The request id is left out, since it may differ each time the caller sends the request.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (request.method, request.host, request.target, str(request.key)):
        digest.update(field.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.digest()


class PoisonRegistry:
    """Records which requests were running when servers crashed, as reported by all daemons.

    A harmless request that runs beside a poisonous one may be present at one crash, seldom at two.
    A request is refused only after ``MIN_CRASHED_INCARNATIONS`` incarnations of servers crashed
    while running it.

    Example::

        registry.record_crash(fingerprint_of(request), server.incarnation, now)
    """

    __slots__ = ("suspects",)

    def __init__(self) -> None:
        self.suspects: collections.OrderedDict[bytes, dict[ServerIncarnation, float]] = (
            collections.OrderedDict()
        )

    def record_crash(self, fingerprint: bytes, incarnation: ServerIncarnation, now: float) -> None:
        """Records that a request was running on a server when the server crashed."""
        incarnations = self.suspects.setdefault(fingerprint, {})
        incarnations[incarnation] = now
        self.suspects.move_to_end(fingerprint)
        while len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)

    def is_poison(self, fingerprint: bytes, now: float) -> bool:
        """Whether a request is to be refused because it has crashed too many servers."""
        incarnations = self.suspects.get(fingerprint)
        if incarnations is None:
            return False
        recent = sum(
            now - crashed_at < MAX_CRASH_AGE_SECONDS for crashed_at in incarnations.values()
        )
        return recent >= MIN_CRASHED_INCARNATIONS

    def has_suspects(self) -> bool:
        """Whether any crash is recorded; if not, fingerprints need not be computed."""
        return bool(self.suspects)
