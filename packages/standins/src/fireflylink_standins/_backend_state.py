"""State of a backend stand-in: slots, cold start, drain and keys. No I/O."""

import collections
import enum
import random

from fireflylink_core import BaseClock, BaseValue
from fireflylink_standins._backend_grants import CallFence, GrantBook
from fireflylink_standins._backend_settings import BackendSettings
from fireflylink_standins._journal import Journal, JournalEntry

MILLISECONDS_PER_SECOND = 1000.0
DRAIN_NOTICE_MS = 2000.0
REMEMBERED_REQUESTS = 200_000


class Refusal(enum.Enum):
    """Why a request is not run; the value is the word in ``Fireflylink-Not-Run``."""

    BUSY = "busy"
    DRAINING = "draining"
    STALE_GRANT = "stale-grant"
    DEADLINE = "deadline"


class OverloadCrash(BaseValue):
    """The server crashes because a cold start received more than it can handle."""

    __slots__ = ()


class ServerCall(BaseValue):
    """A request as the server received it. ``deadline_ms`` is on the server's own clock."""

    __slots__ = ("body", "call_id", "deadline_ms", "fence", "key", "method", "request_id", "tenant")

    def __init__(
        self,
        method: str,
        key: str,
        body: bytes,
        call_id: str,
        request_id: str,
        deadline_ms: float,
        fence: CallFence,
        tenant: str,
    ) -> None:
        self.method = method
        self.key = key
        self.body = body
        self.call_id = call_id
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.fence = fence
        self.tenant = tenant


class KeyState:
    """What the server holds for a key."""

    __slots__ = ("value", "version")

    def __init__(self) -> None:
        self.value = b""
        self.version = 0


class BackendState:
    """Everything a backend server knows, apart from its connections."""

    __slots__ = (
        "clock",
        "cold",
        "cold_notice_at",
        "cold_unnoticed",
        "drain_started_ms",
        "generation",
        "generation_number",
        "grants",
        "in_flight",
        "journal",
        "keys",
        "random",
        "seen_posts",
        "settings",
        "slow_factor",
        "successes",
        "unavailable",
    )

    def __init__(self, settings: BackendSettings, clock: BaseClock) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random.Random(settings.server_id)
        self.journal = Journal(settings.journal_limit)
        self.grants = GrantBook()
        self.keys: dict[str, KeyState] = {}
        self.in_flight: set[JournalEntry] = set()
        self.seen_posts: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.slow_factor = 1.0
        self.drain_started_ms: float | None = None
        self.unavailable = False
        self.generation_number = 0
        self.restart(cold=settings.starts_cold)

    def restart(self, cold: bool) -> None:
        """Starts a new generation, as a process that begins with empty memory."""
        for entry in self.in_flight:
            entry.finish("crashed", self.machine_ms())
        self.in_flight = set()
        self.keys = {}
        self.grants.forget_grant()
        if not self.settings.durable_epochs:
            self.grants.forget_epochs()
        self._new_generation(cold)
        self.cold_unnoticed = False
        self.cold_notice_at: float | None = None

    def turn_cold(self) -> None:
        """Becomes cold without any sign: connections, grants and running requests stay."""
        self.keys = {}
        self._new_generation(cold=True)
        self.cold_unnoticed = True
        self.cold_notice_at = None

    def machine_ms(self) -> float:
        """Returns milliseconds on the clock that all stand-ins of the machine share."""
        return self.clock.now() * MILLISECONDS_PER_SECOND

    def clock_ms(self) -> float:
        """Returns milliseconds on the server's own clock."""
        return self.machine_ms() + self.settings.clock_offset_ms

    def capacity(self) -> int:
        """Returns how many requests the server can run at once at present."""
        if not self.cold:
            return self.settings.slots
        ramped = self.successes // max(1, self.settings.cold_ramp_successes)
        return min(self.settings.slots, self.settings.cold_slots + ramped)

    def check(self, call: ServerCall) -> Refusal | None:
        """Applies drain, deadline and grant; slots are taken by ``start``."""
        if self.drain_started_ms is not None:
            if self.clock_ms() - self.drain_started_ms > DRAIN_NOTICE_MS:
                self.journal.violate("work-after-drain")
            return Refusal.DRAINING
        if self.clock_ms() >= call.deadline_ms:
            return Refusal.DEADLINE
        covered = self.grants.covers(call.fence, self.clock_ms())
        if self.settings.checks_grants and not covered:
            return Refusal.STALE_GRANT
        return None

    def start(self, call: ServerCall) -> JournalEntry | Refusal | OverloadCrash:
        """Takes a slot for a request and begins to run it."""
        limited = self.cold and self.capacity() < self.settings.slots
        running = self._running_in_generation() if limited else len(self.in_flight)
        if running >= self.capacity():
            return self._over_capacity(limited)
        if not self.grants.covers(call.fence, self.clock_ms()):
            self.journal.violate("outside-grant")
        violation = self.grants.note_request(call.fence)
        if violation:
            self.journal.violate(violation)
        self._note_post(call)
        entry = self._entry_of(call)
        self.in_flight.add(entry)
        self.journal.add(entry)
        return entry

    def service_seconds(self) -> float:
        """Returns how long the next request takes."""
        spread = self.settings.service_spread
        factor = self.slow_factor * (1.0 + self.random.uniform(-spread, spread))
        if self.cold:
            factor *= self.settings.cold_factor
        return self.settings.service_time_ms * factor / MILLISECONDS_PER_SECOND

    def complete(self, call: ServerCall, entry: JournalEntry) -> KeyState:
        """Applies the effect of a request and frees its slot."""
        self.finish(entry, "done")
        if entry.generation == self.generation:
            self._note_success()
        state = self.keys.setdefault(call.key, KeyState())
        if call.method in ("PUT", "POST"):
            state.value = call.body
            state.version += 1
        elif call.method == "DELETE":
            state.value = b""
            state.version += 1
        return state

    def finish(self, entry: JournalEntry, ending: str) -> None:
        """Frees the slot of a request."""
        self.in_flight.discard(entry)
        entry.finish(ending, self.machine_ms())

    def finish_late(self, call: ServerCall, entry: JournalEntry) -> None:
        """Frees the slot of a request whose deadline passed; it was not run any longer than that.

        A frozen server notices only when it resumes, but did nothing in between.
        """
        self.in_flight.discard(entry)
        deadline = call.deadline_ms - self.settings.clock_offset_ms
        entry.finish("deadline", min(deadline, self.machine_ms()))

    def note_answer(self) -> None:
        """Records that an answer named the present generation."""
        if self.cold_unnoticed and self.cold_notice_at is None:
            self.cold_notice_at = self.machine_ms() + self.settings.cold_notice_ms

    def warmth(self) -> str:
        """Returns the state that the server reports."""
        if self.drain_started_ms is not None:
            return "draining"
        return "cold" if self.cold else "warm"

    def running_of(self, shards: set[int]) -> int:
        """Returns how many requests of the shards are running."""
        return sum(1 for entry in self.in_flight if entry.shard in shards)

    def _new_generation(self, cold: bool) -> None:
        self.generation_number += 1
        token = self.random.getrandbits(32)
        self.generation = f"{self.settings.server_id}.{self.generation_number}.{token:08x}"
        self.cold = cold
        self.successes = 0

    def _running_in_generation(self) -> int:
        return sum(1 for entry in self.in_flight if entry.generation == self.generation)

    def _over_capacity(self, limited: bool) -> Refusal | OverloadCrash:
        if not limited:
            return Refusal.BUSY
        notice_at = self.cold_notice_at
        unnoticed = self.cold_unnoticed and (notice_at is None or self.machine_ms() < notice_at)
        if unnoticed:
            return Refusal.BUSY
        self.journal.violate("cold-overload")
        return OverloadCrash()

    def _note_success(self) -> None:
        self.successes += 1
        if self.cold and self.capacity() >= self.settings.slots:
            self.cold = False

    def _note_post(self, call: ServerCall) -> None:
        if call.method != "POST":
            return
        if call.request_id in self.seen_posts:
            self.journal.violate("duplicate-request")
        self.seen_posts[call.request_id] = None
        if len(self.seen_posts) > REMEMBERED_REQUESTS:
            self.seen_posts.popitem(last=False)

    def _entry_of(self, call: ServerCall) -> JournalEntry:
        return JournalEntry(
            server_id=self.settings.server_id,
            generation=self.generation,
            service=self.settings.service,
            key=call.key,
            method=call.method,
            request_id=call.request_id,
            call_id=call.call_id,
            shard=call.fence.shard,
            epoch=call.fence.epoch,
            gateway_epoch=call.fence.gateway_epoch,
            start_ms=self.machine_ms(),
        )
