"""A part of a batch of the store's changes, as one daemon passes it on to another."""

from fireflylink_core._value import BaseValue


class ChangeFragment(BaseValue):
    """One fragment of the changes of the store after revision ``after`` up to ``revision``.

    ``payload`` is the fragment with the number ``index``, from 0, of ``count``. With a count of 0
    the sender states that it knows all changes up to ``revision`` and has none to send.
    ``instance`` is the sender, and ``outages`` counts how often it has lost the store since its
    start. ``contact_age_ms`` is how long ago, in milliseconds, the sender or the daemon that it
    heard this from was in contact with the store.
    """

    __slots__ = (
        "after",
        "contact_age_ms",
        "count",
        "index",
        "instance",
        "outages",
        "payload",
        "revision",
    )

    def __init__(
        self,
        instance: str,
        after: int,
        revision: int,
        index: int,
        count: int,
        payload: bytes,
        outages: int,
        contact_age_ms: int,
    ) -> None:
        self.contact_age_ms = contact_age_ms
        self.instance = instance
        self.after = after
        self.revision = revision
        self.index = index
        self.count = count
        self.payload = payload
        self.outages = outages
