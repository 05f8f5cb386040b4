"""Reading of the store: a snapshot of all items first, then the changes."""

import gevent
from returns.result import Success

from fireflylink_core import BaseClock
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._messages import StoreReadFailed, StoreReadSucceeded, UpdatesRead
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._task import BaseTask, spawn_supervised
from fireflylink_store import (
    BaseItemDecoder,
    BaseStore,
    BaseUpdate,
    HistoryCompactedError,
    StoreError,
)

ALL_ITEMS_PREFIX = ""
READ_TIMEOUT_SECONDS = 2.0
WATCH_WAIT_SECONDS = 4.0
"""How long the store waits for changes before it answers a watch call without any. Each call to the
store has a cost; but an outage during the wait may be noticed only after it."""

WATCH_TIMEOUT_MARGIN_SECONDS = 1.0
"""Time for the answer to arrive after the store has waited ``WATCH_WAIT_SECONDS``."""

BATCH_SECONDS = 0.1
"""Pause after changes, so that the next call reads several at once: each watch call has a cost."""

INITIAL_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 0.3


class StoreReader:
    """A greenlet that owns a store client and posts the decoded updates to ``view_task``."""

    __slots__ = (
        "clock",
        "decoder",
        "greenlet",
        "metrics",
        "retry_delay_seconds",
        "revision",
        "store",
        "store_reachable",
        "view_task",
    )

    def __init__(
        self,
        store: BaseStore,
        decoder: BaseItemDecoder,
        view_task: BaseTask,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.decoder = decoder
        self.view_task = view_task
        self.clock = clock
        self.metrics = metrics
        self.revision = 0
        self.store_reachable: bool | None = None
        self.retry_delay_seconds = INITIAL_RETRY_DELAY_SECONDS
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the reader's greenlet."""
        self.greenlet = spawn_supervised("store-reader", self._run)

    def stop(self) -> None:
        """Kills the reader's greenlet without waiting until it has ended."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            error = self._read_changes() if self.revision else self._read_snapshot()
            if error is None:
                self.retry_delay_seconds = INITIAL_RETRY_DELAY_SECONDS
                continue
            self._handle_error(error)
            gevent.sleep(self.retry_delay_seconds)
            self.retry_delay_seconds = min(MAX_RETRY_DELAY_SECONDS, self.retry_delay_seconds * 2)

    def _read_snapshot(self) -> StoreError | None:
        read = self.store.list(ALL_ITEMS_PREFIX, self.clock.now() + READ_TIMEOUT_SECONDS)
        self.metrics.count("store_calls", kind="list", result=type(read).__name__)
        if not isinstance(read, Success):
            return read.failure()
        snapshot = read.unwrap()
        self._mark_store_reachable()
        updates = tuple(update for item in snapshot.items for update in self.decoder.decode(item))
        self.revision = snapshot.revision
        self._post_updates(updates, is_snapshot=True)
        log_event("store-read", items=len(snapshot.items), revision=snapshot.revision)
        return None

    def _read_changes(self) -> StoreError | None:
        deadline = self.clock.now() + WATCH_WAIT_SECONDS + WATCH_TIMEOUT_MARGIN_SECONDS
        read = self.store.watch(ALL_ITEMS_PREFIX, self.revision, WATCH_WAIT_SECONDS, deadline)
        self.metrics.count("store_calls", kind="watch", result=type(read).__name__)
        if not isinstance(read, Success):
            return read.failure()
        batch = read.unwrap()
        self._mark_store_reachable()
        updates = tuple(
            update for change in batch.changes for update in self.decoder.decode(change)
        )
        self.revision = max(self.revision, batch.revision)
        if updates:
            self._post_updates(updates, is_snapshot=False)
            gevent.sleep(BATCH_SECONDS)
        return None

    def _post_updates(self, updates: tuple[BaseUpdate, ...], is_snapshot: bool) -> None:
        self.view_task.post(UpdatesRead(updates, self.revision, is_snapshot))

    def _mark_store_reachable(self) -> None:
        if self.store_reachable is not True:
            self.store_reachable = True
            log_event("store-reached", revision=self.revision)
            self.view_task.post(StoreReadSucceeded())

    def _handle_error(self, error: StoreError) -> None:
        if isinstance(error, HistoryCompactedError):
            log_problem("store-history-gone", revision=self.revision)
            self.revision = 0
            # The missed changes may include registrations that expired and came back. As after an
            # outage, a server whose registration is missing gets a grace time.
            self.view_task.post(StoreReadFailed(str(error)))
            self.store_reachable = False
            return
        if self.store_reachable is not False:
            self.store_reachable = False
            log_problem("store-lost", problem=error, revision=self.revision)
            self.view_task.post(StoreReadFailed(str(error)))
