"""Reading of the store: everything once, then what changes."""

import gevent
from returns.result import Success

from fireflylink_core import BaseClock
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._messages import StoreLost, StoreReached, UpdatesRead
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._task import BaseTask
from fireflylink_store import (
    BaseItemDecoder,
    BaseStore,
    BaseUpdate,
    HistoryCompactedError,
    StoreError,
)

EVERYTHING = ""
READ_SECONDS = 2.0
WATCH_SECONDS = 4.0
WATCH_MARGIN_SECONDS = 1.0
GATHER_SECONDS = 0.1
"""Changes within this time are read with one call: each waiting call is paid for."""

FIRST_RETRY_SECONDS = 0.1
LAST_RETRY_SECONDS = 0.3


class StoreReader:
    """A greenlet that owns a client of the store and posts what it reads to the view's task."""

    __slots__ = (
        "clock",
        "decoder",
        "greenlet",
        "metrics",
        "reached",
        "retry_seconds",
        "revision",
        "store",
        "view",
    )

    def __init__(
        self,
        store: BaseStore,
        decoder: BaseItemDecoder,
        view: BaseTask,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.decoder = decoder
        self.view = view
        self.clock = clock
        self.metrics = metrics
        self.revision = 0
        self.reached: bool | None = None
        self.retry_seconds = FIRST_RETRY_SECONDS
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts to read."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends the reading."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            error = self._watch() if self.revision else self._read_everything()
            if error is None:
                self.retry_seconds = FIRST_RETRY_SECONDS
                continue
            self._note_error(error)
            gevent.sleep(self.retry_seconds)
            self.retry_seconds = min(LAST_RETRY_SECONDS, self.retry_seconds * 2)

    def _read_everything(self) -> StoreError | None:
        read = self.store.list(EVERYTHING, self.clock.now() + READ_SECONDS)
        self.metrics.count("store_calls", kind="list", result=type(read).__name__)
        if not isinstance(read, Success):
            return read.failure()
        snapshot = read.unwrap()
        self._note_reached()
        updates = tuple(update for item in snapshot.items for update in self.decoder.decode(item))
        self.revision = snapshot.revision
        self._post(updates, whole=True)
        log_event("store-read", items=len(snapshot.items), revision=snapshot.revision)
        return None

    def _watch(self) -> StoreError | None:
        deadline = self.clock.now() + WATCH_SECONDS + WATCH_MARGIN_SECONDS
        read = self.store.watch(EVERYTHING, self.revision, WATCH_SECONDS, deadline)
        self.metrics.count("store_calls", kind="watch", result=type(read).__name__)
        if not isinstance(read, Success):
            return read.failure()
        changes = read.unwrap()
        self._note_reached()
        updates = tuple(
            update for change in changes.changes for update in self.decoder.decode(change)
        )
        self.revision = max(self.revision, changes.revision)
        if updates:
            self._post(updates, whole=False)
            gevent.sleep(GATHER_SECONDS)
        return None

    def _post(self, updates: tuple[BaseUpdate, ...], whole: bool) -> None:
        self.view.post(UpdatesRead(updates, self.revision, whole))

    def _note_reached(self) -> None:
        if self.reached is not True:
            self.reached = True
            log_event("store-reached", revision=self.revision)
            self.view.post(StoreReached())

    def _note_error(self, error: StoreError) -> None:
        if isinstance(error, HistoryCompactedError):
            log_problem("store-history-gone", revision=self.revision)
            self.revision = 0
            # Registrations may have lapsed and come back in the gap that was not seen.
            self.view.post(StoreLost(str(error)))
            self.reached = False
            return
        if self.reached is not False:
            self.reached = False
            log_problem("store-lost", problem=error, revision=self.revision)
            self.view.post(StoreLost(str(error)))
