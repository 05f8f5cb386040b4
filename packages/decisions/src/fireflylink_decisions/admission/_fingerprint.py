"""Fingerprints that recognise a request when it is sent again."""

import hashlib

from fireflylink_core import CallerRequest

FINGERPRINT_BYTES = 16


def fingerprint_of(request: CallerRequest) -> str:
    """Returns a hash of the service, method, key, query and body of a request."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    head = "\0".join((request.service, request.method, request.key, request.query, ""))
    digest.update(head.encode())
    digest.update(request.body)
    return digest.hexdigest()
