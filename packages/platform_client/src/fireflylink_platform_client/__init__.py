"""Client of the platform's key-value service and instance list."""

from fireflylink_platform_client._base import BaseInstanceListClient, BaseKeyValueClient
from fireflylink_platform_client._entry import Entry, Snapshot
from fireflylink_platform_client._errors import (
    LeaseExpired,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailable,
    RevisionConflict,
)
from fireflylink_platform_client._instances import InstanceListClient
from fireflylink_platform_client._key_value import KeyValueClient

__all__ = [
    "BaseInstanceListClient",
    "BaseKeyValueClient",
    "Entry",
    "InstanceListClient",
    "KeyValueClient",
    "LeaseExpired",
    "OutcomeUnknownError",
    "PlatformError",
    "PlatformUnavailable",
    "RevisionConflict",
    "Snapshot",
]
