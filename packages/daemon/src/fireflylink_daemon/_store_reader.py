"""Reading of the store: a snapshot of all items first, then the changes, also through relays."""

import math
import random

import gevent
from gevent.queue import Empty, Queue
from returns.result import Success

from fireflylink_core import BaseClock, ChangeFragment
from fireflylink_daemon._log import log_event, log_problem
from fireflylink_daemon._member_task import MemberTask
from fireflylink_daemon._messages import (
    RelayRoleChanged,
    StoreReadFailed,
    StoreReadSucceeded,
    UpdatesRead,
)
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._peers import BaseFragmentReceiver, PeerSocket
from fireflylink_daemon._relay_sender import RelaySender
from fireflylink_daemon._relayed_changes import relayed_change, store_change
from fireflylink_daemon._task import spawn_supervised
from fireflylink_daemon._view_task import ViewTask
from fireflylink_decisions.relay import (
    MAX_CONTACT_AGE_SECONDS,
    MAX_GAP_SECONDS,
    RelayFollower,
    RelayRoles,
)
from fireflylink_protocol import RelayedChange, decode_changes
from fireflylink_store import (
    BaseItemDecoder,
    BaseStore,
    BaseUpdate,
    HistoryCompactedError,
    StoreError,
    StoreRestoredError,
    era_of,
    era_of_lease,
)

ALL_ITEMS_PREFIX = ""
READ_TIMEOUT_SECONDS = 2.0
WATCH_WAIT_SECONDS = 2.0
"""How long the store waits for changes before it answers a watch call without any. Each call to the
store has a cost; but an outage during the wait, or a lost answer, may be noticed only after it.
With the margin this is below 3 s: from then on a daemon must have what the store has."""

WATCH_TIMEOUT_MARGIN_SECONDS = 0.8
"""Time for the answer to arrive after the store has waited ``WATCH_WAIT_SECONDS``."""

BATCH_SECONDS = 0.2
"""Pause after changes, so that the next call reads several at once: each watch call has a cost."""

UNRELAYED_BATCH_SECONDS = 0.6
"""That pause for a daemon that will have a relay, or hears none at the moment. When all daemons of
a fleet start together, each of them would otherwise be answered at each registration."""

GAP_WAIT_SECONDS = 0.001
"""Wait of the call that reads changes which a relay knows: they are there already."""

STATEMENT_INTERVAL_SECONDS = 0.2
"""How often a relay states what it knows; see ``MAX_CONTACT_AGE_SECONDS``."""

MAX_READ_JITTER_SECONDS = 0.15
"""A daemon reads by itself up to this much later than it would have to, at random, so that the loss
of a relay does not bring all its followers to the store at once."""

RELAY_LEAD_SECONDS = 0.35
"""A relay reads by itself this much sooner than its followers would, so that they go on hearing
from it when the relay before it is lost."""

MILLISECONDS_PER_SECOND = 1000.0
MAX_WAITING_FRAGMENTS = 500
INITIAL_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 0.3


class StoreReader(BaseFragmentReceiver):
    """A greenlet that owns a store client and posts the decoded updates to ``view_task``.

    A few daemons, the relays, send the store's changes on to the others (see ``RelayRoles``). A
    daemon reads by itself at its start, while it has no relay or hears nothing recent from one, and
    once when changes that a relay knows do not arrive in time. ``known_mode`` is whether it reads
    by itself and whether it sends on what it knows, as the member task was last told.
    ``snapshot_era`` is the era of the store in which this daemon last read all items, None before.
    ``last_read_succeeded`` is whether its own last read did, apart from what relays send.
    """

    __slots__ = (
        "clock",
        "confirmed_at",
        "decoder",
        "follower",
        "greenlets",
        "inbox",
        "known_mode",
        "last_read_succeeded",
        "member_task",
        "metrics",
        "outages",
        "read_jitter_seconds",
        "reading",
        "relay_outages",
        "relay_sender",
        "retry_delay_seconds",
        "revision",
        "routing_state",
        "snapshot_era",
        "store",
        "store_reachable",
        "view_task",
    )

    def __init__(
        self,
        store: BaseStore,
        decoder: BaseItemDecoder,
        view_task: ViewTask,
        member_task: MemberTask,
        peers: PeerSocket,
        clock: BaseClock,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.decoder = decoder
        self.view_task = view_task
        self.routing_state = view_task.routing_state
        self.member_task = member_task
        self.relay_sender = RelaySender(view_task.routing_state, peers)
        self.clock = clock
        self.metrics = metrics
        self.revision = 0
        self.snapshot_era: int | None = None
        self.last_read_succeeded = False
        self.confirmed_at = float("-inf")
        self.outages = 0
        self.reading = False
        self.relay_outages: dict[str, int] = {}
        self.follower = RelayFollower()
        self.inbox: Queue = Queue()
        self.known_mode = (True, False)
        self.read_jitter_seconds = random.random() * MAX_READ_JITTER_SECONDS
        self.store_reachable: bool | None = None
        self.retry_delay_seconds = INITIAL_RETRY_DELAY_SECONDS
        self.greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Starts the reader's greenlets."""
        self.greenlets = [
            spawn_supervised("store-reader", self._run),
            spawn_supervised("relay", self._send_statements),
        ]

    def stop(self) -> None:
        """Kills the reader's greenlets without waiting until they have ended."""
        for greenlet in self.greenlets:
            greenlet.kill(block=False)

    def post_fragment(self, fragment: ChangeFragment) -> None:
        """Takes a fragment that a relay has sent; drops it if too many wait.

        While this daemon reads by itself, fragments are not needed and may be dropped.
        """
        if self.inbox.qsize() < MAX_WAITING_FRAGMENTS:
            self.inbox.put(fragment)

    def interrupt(self) -> None:
        """Ends the call in progress, so that the store is read again at once.

        To be called when the store answers other calls again after an outage: a call that was sent
        during the outage may get no answer any more.
        """
        if self.reading:
            log_event("store-call-interrupted", revision=self.revision)
            self.store.interrupt()

    def interrupt_former_era(self, era: int) -> None:
        """Ends the call in progress if it was sent before the store was restored to ``era``.

        The answer may be lost, and what this daemon knows would stay in force while it waits.
        """
        if self.revision and era_of(self.revision) < era:
            self.interrupt()

    def _run(self) -> None:
        while True:
            self._take_waiting_fragments()
            follows = self._follows_relay()
            self._set_mode(not follows, bool(self.relay_sender.roles().followers))
            if follows:
                self._follow()
            else:
                self._read()

    def _read(self) -> None:
        # What this daemon knows is confirmed at once if that has become too old.
        is_recent = self.clock.now() < self.contact_at() + MAX_CONTACT_AGE_SECONDS / 2
        wait_seconds = WATCH_WAIT_SECONDS if is_recent else GAP_WAIT_SECONDS
        self.reading = True
        try:
            error = self._read_changes(wait_seconds) if self.revision else self._read_snapshot()
        finally:
            self.reading = False
        if error is None:
            self.retry_delay_seconds = INITIAL_RETRY_DELAY_SECONDS
            return
        self._handle_error(error)
        gevent.sleep(self.retry_delay_seconds)
        self.retry_delay_seconds = min(MAX_RETRY_DELAY_SECONDS, self.retry_delay_seconds * 2)

    def _set_mode(self, reads: bool, is_relay: bool) -> None:
        if (reads, is_relay) != self.known_mode:
            self.known_mode = (reads, is_relay)
            self.member_task.post(RelayRoleChanged(reads, is_relay))
            log_event("relay-role", reads=reads, relays=is_relay)

    def _follows_relay(self) -> bool:
        roles = self.relay_sender.roles()
        return bool(self.revision) and roles.has_relay and self.clock.now() < self._read_at(roles)

    def _read_at(self, roles: RelayRoles) -> float:
        """Returns when this daemon reads by itself if no relay states anything newer."""
        lead_seconds = RELAY_LEAD_SECONDS if roles.followers else 0.0
        return self.follower.outdated_at() + self.read_jitter_seconds - lead_seconds

    def contact_at(self) -> float:
        """Returns when the store had, as far as is known, no more than this daemon knows."""
        reads, _ = self.known_mode
        if not reads:
            return self.follower.contact_at
        contact_at = max(self.confirmed_at, self.follower.contact_at)
        # A renewal says nothing about what the store refuses to this daemon, or about what was read
        # before the store was restored.
        is_current = era_of_lease(self.member_task.lease_id) == era_of(self.revision)
        if self.last_read_succeeded and self.revision and is_current:
            contact_at = max(contact_at, self.member_task.confirmed_at)
        return contact_at

    def _contact_age_ms(self) -> int:
        # Rounded up, so that an age does not shrink on its way through several daemons.
        age_ms = math.ceil((self.clock.now() - self.contact_at()) * MILLISECONDS_PER_SECOND)
        return max(0, age_ms)

    def _follow(self) -> None:
        """Waits for a fragment; reads the store once if changes do not arrive in time."""
        now = self.clock.now()
        if self.follower.has_gap(now):
            self.metrics.count("relay_gaps")
            error = self._read_changes(GAP_WAIT_SECONDS)
            if error is not None:
                self._handle_error(error)
                gevent.sleep(self.retry_delay_seconds)
            return
        wait_seconds = self._read_at(self.relay_sender.roles()) - now
        if self.follower.behind_since is not None:
            wait_seconds = min(wait_seconds, MAX_GAP_SECONDS)
        try:
            fragment = self.inbox.get(timeout=max(0.0, wait_seconds))
        except Empty:
            return
        self._apply_fragment(fragment)

    def _take_waiting_fragments(self) -> None:
        while not self.inbox.empty():
            self._apply_fragment(self.inbox.get())

    def _apply_fragment(self, fragment: ChangeFragment) -> None:
        known_outages = self.relay_outages.get(fragment.instance, fragment.outages)
        self.relay_outages[fragment.instance] = fragment.outages
        if era_of(fragment.after) != era_of(fragment.revision):
            # No relay sends this: what a restore took back is not among the changes.
            log_problem("relayed-changes-unreadable", problem="they are of two eras of the store")
            return
        self.follower.record_fragment(fragment, self.clock.now())
        if not self.revision:
            return
        if fragment.outages > known_outages and self.store_reachable:
            # Registrations may have expired meanwhile, as if this daemon had lost the store itself.
            self.outages += 1
            self.store_reachable = False
            self.view_task.post(StoreReadFailed(f"{fragment.instance} lost the store"))
        self._mark_store_reachable()
        while (payload := self.follower.take_payload()) is not None:
            self._apply_payload(payload)

    def _apply_payload(self, payload: bytes) -> None:
        known_revision = self.revision
        self.revision = self.follower.revision
        self.metrics.count("relayed_batches")
        decoded = decode_changes(payload)
        if not isinstance(decoded, Success):
            log_problem("relayed-changes-unreadable", problem=decoded.failure())
            # The next snapshot has what the unreadable batch had.
            self.revision = 0
            return
        changes = tuple(change for change in decoded.unwrap() if change.revision > known_revision)
        updates = tuple(
            update for change in changes for update in self.decoder.decode(store_change(change))
        )
        if updates:
            self._post_changes(updates)
        self._send_batch(known_revision, changes)

    def _send_batch(self, after: int, changes: tuple[RelayedChange, ...]) -> None:
        age_ms = self._contact_age_ms()
        self.relay_sender.send_batch(after, self.revision, changes, self.outages, age_ms)

    def _send_statements(self) -> None:
        """States periodically to the followers what this daemon knows, if it is a relay.

        A relay whose knowledge is too old is silent, so that others read by themselves.
        """
        while True:
            gevent.sleep(STATEMENT_INTERVAL_SECONDS)
            if self.clock.now() < self.contact_at() + MAX_CONTACT_AGE_SECONDS:
                self.relay_sender.send_statement(self.outages, self._contact_age_ms())

    def _read_snapshot(self) -> StoreError | None:
        read = self.store.list(ALL_ITEMS_PREFIX, self.clock.now() + READ_TIMEOUT_SECONDS)
        self.metrics.count("store_calls", kind="list", result=type(read).__name__)
        if not isinstance(read, Success):
            return read.failure()
        snapshot = read.unwrap()
        self.last_read_succeeded = True
        self.confirmed_at = self.clock.now()
        self._mark_store_reachable()
        updates = tuple(update for item in snapshot.items for update in self.decoder.decode(item))
        former_era = self.snapshot_era
        self.snapshot_era = era_of(snapshot.revision)
        is_restored = former_era is not None and self.snapshot_era > former_era
        self.revision = snapshot.revision
        self.relay_sender.relayed_revision = snapshot.revision
        self.follower.set_revision(self.revision)
        self.view_task.post(UpdatesRead(updates, self.revision, True, is_restored))
        log_event("store-read", items=len(snapshot.items), revision=snapshot.revision)
        return None

    def _read_changes(self, wait_seconds: float) -> StoreError | None:
        deadline = self.clock.now() + wait_seconds + WATCH_TIMEOUT_MARGIN_SECONDS
        read = self.store.watch(ALL_ITEMS_PREFIX, self.revision, wait_seconds, deadline)
        self.metrics.count("store_calls", kind="watch", result=type(read).__name__)
        if not isinstance(read, Success):
            return read.failure()
        batch = read.unwrap()
        self.last_read_succeeded = True
        self.confirmed_at = self.clock.now()
        self._mark_store_reachable()
        updates = tuple(
            update for change in batch.changes for update in self.decoder.decode(change)
        )
        after = self.revision
        self.revision = max(self.revision, batch.revision)
        self.follower.set_revision(self.revision)
        if updates:
            self._post_changes(updates)
        self._send_batch(after, tuple(relayed_change(change) for change in batch.changes))
        if updates:
            gevent.sleep(self._batch_seconds())
        return None

    def _batch_seconds(self) -> float:
        roles = self.relay_sender.roles()
        is_listed = self.routing_state.settings.instance in self.routing_state.members
        return UNRELAYED_BATCH_SECONDS if roles.has_relay or not is_listed else BATCH_SECONDS

    def _post_changes(self, updates: tuple[BaseUpdate, ...]) -> None:
        self.view_task.post(UpdatesRead(updates, self.revision, is_snapshot=False))

    def _mark_store_reachable(self) -> None:
        if self.store_reachable is not True:
            self.store_reachable = True
            log_event("store-reached", revision=self.revision)
            self.view_task.post(StoreReadSucceeded())

    def _handle_error(self, error: StoreError) -> None:
        self.last_read_succeeded = False
        if self.store_reachable is not False:
            self.outages += 1
        if isinstance(error, HistoryCompactedError | StoreRestoredError):
            if isinstance(error, StoreRestoredError):
                log_problem("store-restored", era=error.era, revision=self.revision)
            else:
                log_problem("store-history-gone", revision=self.revision)
            self.revision = 0
            # The missed changes may include registrations that expired and came back, and those of
            # a restored copy are old. As after an outage, a server whose registration is missing
            # gets a grace time.
            self.view_task.post(StoreReadFailed(str(error)))
            self.store_reachable = False
            return
        if self.store_reachable is not False:
            self.store_reachable = False
            log_problem("store-lost", problem=error, revision=self.revision)
            self.view_task.post(StoreReadFailed(str(error)))
