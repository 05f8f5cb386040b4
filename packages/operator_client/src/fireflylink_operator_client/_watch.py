"""Following the changes of stored documents."""

from collections.abc import Callable

import gevent
from gevent.queue import Queue
from returns.result import Failure

from fireflylink_core import BaseValue
from fireflylink_operator_client._store import BaseStore, StoredEntry

WATCH_SECONDS = 20.0
RETRY_PERIOD = 1.0


class WatchEvent(BaseValue):
    """An entry that changed, or the reason for which changes cannot be seen at the moment."""

    __slots__ = ("entry", "problem")

    def __init__(self, entry: StoredEntry | None, problem: str = "") -> None:
        self.entry = entry
        self.problem = problem


class PrefixWatchTask:
    """Watches a prefix and sends an event for each entry that changes.

    It starts with the entries that are there. A problem is sent once, however long it lasts.
    """

    __slots__ = ("events", "prefix", "problem", "revision", "store")

    def __init__(self, store: BaseStore, prefix: str, events: "Queue[WatchEvent]") -> None:
        self.store = store
        self.prefix = prefix
        self.events = events
        self.revision = -1
        self.problem = ""

    def run(self) -> None:
        """Watches until it is killed."""
        while True:
            first = self.revision < 0
            found = (
                self.store.read_prefix(self.prefix)
                if first
                else self.store.watch(self.prefix, self.revision, WATCH_SECONDS)
            )
            if isinstance(found, Failure):
                self._report(str(found.failure()))
                gevent.sleep(RETRY_PERIOD)
                continue
            self.problem = ""
            snapshot = found.unwrap()
            self.revision = max(self.revision, snapshot.revision)
            for entry in sorted(snapshot.entries, key=lambda entry: entry.revision):
                self.events.put(WatchEvent(entry))

    def _report(self, problem: str) -> None:
        if not self.problem:
            self.events.put(WatchEvent(None, problem))
        self.problem = problem


def follow(
    store: BaseStore, prefixes: tuple[str, ...], handle: Callable[[WatchEvent], bool]
) -> None:
    """Passes events of several prefixes to a function until it returns false."""
    events: Queue[WatchEvent] = Queue()
    tasks = [gevent.spawn(PrefixWatchTask(store, prefix, events).run) for prefix in prefixes]
    try:
        while handle(events.get()):
            pass
    finally:
        gevent.killall(tasks)
