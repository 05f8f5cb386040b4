"""Requests that crash every server that runs them."""

import collections
import hashlib

from fireflylink_core import CallerRequest, ServerIncarnation

CRASHES = 3
"""Distinct incarnations of servers that must have ended under a request before it is refused."""

MEMORY_SECONDS = 60.0
MAX_SUSPECTS = 2000
FINGERPRINT_BYTES = 8


def fingerprint_of(request: CallerRequest) -> bytes:
    """Returns what is the same each time that a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, request.host, request.target, str(request.key)):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.digest()


class PoisonRegistry:
    """Which requests were running when servers crashed, as all daemons tell each other.

    A request that merely ran beside a poisonous one is seen at one crash, seldom at two. Only one
    that was there at the end of three incarnations of servers is refused.

    Example::

        registry.record_crash(fingerprint_of(request), server.incarnation, now)
    """

    __slots__ = ("suspects",)

    def __init__(self) -> None:
        self.suspects: collections.OrderedDict[bytes, dict[ServerIncarnation, float]] = (
            collections.OrderedDict()
        )

    def record_crash(self, fingerprint: bytes, incarnation: ServerIncarnation, now: float) -> None:
        """Takes a request that ran on a server when it crashed."""
        incarnations = self.suspects.setdefault(fingerprint, {})
        incarnations[incarnation] = now
        self.suspects.move_to_end(fingerprint)
        while len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)

    def is_poison(self, fingerprint: bytes, now: float) -> bool:
        """Whether a request is refused."""
        incarnations = self.suspects.get(fingerprint)
        if incarnations is None:
            return False
        recent = sum(now - at < MEMORY_SECONDS for at in incarnations.values())
        return recent >= CRASHES

    def has_suspects(self) -> bool:
        """Whether fingerprints have to be computed at all."""
        return bool(self.suspects)
