"""Keys with which daemons authenticate each other."""

from fireflylink_core import BaseValue


class PeerCredentials(BaseValue):
    """Certificate and key of this daemon and the authority that signed those of its peers, in PEM.

    Both sides of a connection present a certificate, so that a process without one signed by the
    authority cannot send control messages.
    """

    __slots__ = ("authority", "certificate", "private_key")

    def __init__(self, authority: bytes, certificate: bytes, private_key: bytes) -> None:
        self.authority = authority
        self.certificate = certificate
        self.private_key = private_key

    def __repr__(self) -> str:
        return "PeerCredentials(...)"
