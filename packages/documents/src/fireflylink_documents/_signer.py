"""Signatures of stored documents."""

import hashlib
import hmac

from returns.result import Failure, Result, Success

from fireflylink_documents._errors import DocumentError

MIN_KEY_BYTES = 16
SIGNATURE_PREFIX = b"fireflylink-hmac-sha256 "
SIGNATURE_FIELD = "signature"


class DocumentSigner:
    """Signs documents under the cluster key and checks the signatures of others.

    A signed document is a line with the signature, followed by the payload. ``accepted_keys`` are
    further keys whose signatures are accepted, for the time in which the cluster key is replaced.

    Example::

        signer = DocumentSigner(key)
        signer.verify(signer.sign(b"{}"))  # Success(b"{}")
    """

    __slots__ = ("accepted_keys", "key")

    def __init__(self, key: bytes, accepted_keys: tuple[bytes, ...] = ()) -> None:
        for candidate in (key, *accepted_keys):
            if len(candidate) < MIN_KEY_BYTES:
                raise DocumentError("cluster key", f"must have at least {MIN_KEY_BYTES} bytes")
        self.key = key
        self.accepted_keys = accepted_keys

    def sign(self, payload: bytes) -> bytes:
        """Returns the signed document with the given payload."""
        return SIGNATURE_PREFIX + _signature(self.key, payload) + b"\n" + payload

    def verify(self, document: bytes) -> Result[bytes, DocumentError]:
        """Returns the payload of a signed document whose signature is authentic."""
        header, separator, payload = document.partition(b"\n")
        if not separator or not header.startswith(SIGNATURE_PREFIX):
            return Failure(DocumentError(SIGNATURE_FIELD, "is required in the first line"))
        claimed = header[len(SIGNATURE_PREFIX) :]
        authentic = False
        for key in (self.key, *self.accepted_keys):
            authentic |= hmac.compare_digest(claimed, _signature(key, payload))
        if not authentic:
            return Failure(DocumentError(SIGNATURE_FIELD, "was not made with the cluster key"))
        return Success(payload)


def _signature(key: bytes, payload: bytes) -> bytes:
    return hmac.new(key, payload, hashlib.sha256).hexdigest().encode()
