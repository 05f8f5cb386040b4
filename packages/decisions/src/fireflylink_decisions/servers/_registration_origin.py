"""Where a registration was read."""

import enum


class RegistrationOrigin(enum.Enum):
    """Whether a server has just written its registration.

    A ``WRITE`` is one change of the store. A ``SNAPSHOT`` of the store has registrations that were
    written at any time before. A ``RESTORED_SNAPSHOT`` is the first one after the store came back
    from a copy: it may have registrations that had been deleted.
    """

    WRITE = "write"
    SNAPSHOT = "snapshot"
    RESTORED_SNAPSHOT = "restored snapshot"
