"""A daemon: creates, connects, starts and shuts down its tasks."""

import os

import gevent
from gevent.event import Event
from returns.result import Success

from fireflylink_caller_frontend import HttpListener, make_application
from fireflylink_core import BaseClock
from fireflylink_daemon._crash_detector import CrashDetector
from fireflylink_daemon._decider_task import DeciderTask
from fireflylink_daemon._dispatch_task import DispatchTask
from fireflylink_daemon._endpoints import make_metrics_application, make_readiness_application
from fireflylink_daemon._log import flush_log, log_event, log_problem
from fireflylink_daemon._member_task import MemberTask
from fireflylink_daemon._messages import Leave
from fireflylink_daemon._metrics import Metrics
from fireflylink_daemon._ownership_task import OwnershipTask
from fireflylink_daemon._peers import KeyCounter, PeerSocket
from fireflylink_daemon._request_handler import RequestHandler
from fireflylink_daemon._routing_state import RoutingState
from fireflylink_daemon._settings import Settings, read_settings
from fireflylink_daemon._store_reader import StoreReader
from fireflylink_daemon._task import spawn_supervised
from fireflylink_daemon._view_task import ViewTask
from fireflylink_decisions.shutdown import ShutdownPlan
from fireflylink_platform import (
    READY_PATH,
    PlatformCallerCodec,
    PlatformItemDecoder,
    PlatformServerCodec,
    PlatformStoreClient,
)
from fireflylink_protocol import MemberRecord

MEMBER_REMOVAL_DELAY_SECONDS = 4.0
"""Time from the start of the shutdown until this daemon's member record is deleted.

While the daemon still sends requests, the other members must count its shares of the limits. The
delay is less than ``leave_seconds`` (6 s), within which the process ends."""

SETTINGS_CHECK_INTERVAL_SECONDS = 1.0


class Daemon:
    """The tasks and listeners of one daemon process.

    Tasks that refer to each other are connected by assignment after they have been created.

    Example::

        daemon = Daemon(settings, "settings.json", SystemClock())
        daemon.start()
        daemon.wait()
    """

    __slots__ = (
        "caller_listener",
        "clock",
        "decider_task",
        "dispatch_task",
        "member_task",
        "metrics",
        "metrics_listener",
        "ownership_task",
        "peers",
        "readiness_listener",
        "request_handler",
        "routing_state",
        "settings",
        "settings_file_stamp",
        "settings_path",
        "shutting_down",
        "stopped",
        "store_clients",
        "store_reader",
        "view_task",
    )

    def __init__(self, settings: Settings, settings_path: str, clock: BaseClock) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.settings_file_stamp = _file_stamp(settings_path)
        self.clock = clock
        self.shutting_down = False
        self.stopped = Event()
        self.metrics = Metrics()
        self.store_clients: list[PlatformStoreClient] = []
        codec = PlatformServerCodec()
        self.routing_state = RoutingState(settings, clock, codec)
        self.dispatch_task = DispatchTask(self.routing_state.dispatcher, clock)
        self.view_task = ViewTask(self.routing_state, clock)
        record = MemberRecord(
            settings.instance,
            clock.wall_ms(),
            settings.data_centre,
            settings.address,
            settings.advertised_peer_port,
        )
        self.member_task = MemberTask(
            record, self._make_store_client(), self.view_task, clock, self.metrics
        )
        self.decider_task = DeciderTask(
            record, self._make_store_client(), self.routing_state, clock, self.metrics
        )
        key_counter = KeyCounter()
        self.peers = PeerSocket(
            settings.instance, settings.address, settings.peer_port, key_counter, self.view_task
        )
        self.ownership_task = OwnershipTask(
            self.routing_state, self.decider_task, self.peers, clock, codec
        )
        self.peers.ownership_task = self.ownership_task
        self.decider_task.ownership_task = self.ownership_task
        self.view_task.ownership_task = self.ownership_task
        self.view_task.member_task = self.member_task
        self.store_reader = StoreReader(
            self._make_store_client(),
            PlatformItemDecoder(),
            self.view_task,
            self.member_task,
            self.peers,
            clock,
            self.metrics,
        )
        self.peers.store_reader = self.store_reader
        self.member_task.on_store_back = self.store_reader.interrupt
        self.member_task.on_store_restored = self.store_reader.interrupt_former_era
        self.request_handler = request_handler = RequestHandler(
            self.routing_state,
            self.dispatch_task,
            key_counter,
            CrashDetector(self.peers, clock),
            clock,
            self.metrics,
        )
        request_handler.notice_recorder.view_task = self.view_task
        self.caller_listener = HttpListener(
            make_application(request_handler, PlatformCallerCodec()),
            settings.caller_address.host,
            settings.caller_address.port,
            request_handler.limits,
            request_handler.record_refusal,
        )
        self.readiness_listener = HttpListener(
            make_readiness_application(READY_PATH, self.is_ready),
            settings.readiness_address.host,
            settings.readiness_address.port,
            request_handler.limits,
        )
        self.metrics_listener = HttpListener(
            make_metrics_application(self.metrics),
            settings.address,
            settings.metrics_port,
            request_handler.limits,
        )
        self._register_gauges()

    def start(self) -> None:
        """Starts the listeners and the tasks."""
        for listener in (self.caller_listener, self.readiness_listener, self.metrics_listener):
            listener.start()
        for task in (
            self.view_task,
            self.member_task,
            self.decider_task,
            self.ownership_task,
            self.store_reader,
            self.peers,
        ):
            task.start()
        spawn_supervised("settings-watcher", self._watch_settings_file)
        log_event(
            "started",
            instance=self.settings.instance,
            data_centre=self.settings.data_centre,
            callers=self.settings.caller_address,
            store=self.settings.store_address,
        )

    def wait(self) -> None:
        """Waits until the daemon has shut down."""
        self.stopped.wait()

    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections to the daemon."""
        return not self.shutting_down and self.routing_state.routes is not None

    def shut_down(self) -> None:
        """Shuts the daemon down within the ``leave_seconds`` setting, in stages.

        1. Draining: the daemon is not ready, but handles new connections and requests.
        2. No new connections: requests on open connections are still handled.
        3. Closed: new requests are refused, and those in progress may complete.
        4. Ended: each request that is still in progress gets an answer of the daemon.
        5. Stopped: the process ends.

        From the start on, requests that cannot be expected to complete in time are refused.
        """
        if self.shutting_down:
            return
        self.shutting_down = True
        plan = ShutdownPlan.of(self.clock.now(), self.settings.bounds.leave_seconds)
        log_event(
            "leaving", instance=self.settings.instance, active=self.caller_listener.active_requests
        )
        self.request_handler.begin_shutdown(plan)
        self.caller_listener.begin_drain(self._seconds_until(plan.accepts_until))
        self.decider_task.post(Leave())
        gevent.spawn_later(MEMBER_REMOVAL_DELAY_SECONDS, self.member_task.post, Leave())
        gevent.sleep(self._seconds_until(plan.accepts_until))
        self.caller_listener.stop_accepting()
        gevent.sleep(self._seconds_until(plan.handles_until))
        # A new request might not complete in time. It is refused at once, so that its caller can
        # send it to another daemon.
        self.request_handler.closed = True
        gevent.spawn_later(
            self._seconds_until(plan.answers_until), self.request_handler.end_open_requests
        )
        idle = self.caller_listener.wait_until_connections_end(self._seconds_until(plan.ends_at))
        log_event("stopped", instance=self.settings.instance, quiet=idle)
        flush_log()
        self.stopped.set()

    def _seconds_until(self, time: float) -> float:
        return max(0.0, time - self.clock.now())

    def reload(self) -> None:
        """Reads the settings file again.

        The address of the store, ``leave_seconds`` and the limits for retries and for draining and
        cold servers apply from now on. This daemon's member record, the addresses and ports of its
        sockets, ``hold_max_ms`` and ``minimum_lease_ms`` change only at the next start.
        """
        self.settings_file_stamp = _file_stamp(self.settings_path)
        result = read_settings(self.settings_path)
        if not isinstance(result, Success):
            log_problem("settings-refused", problem=result.failure())
            return
        settings = self.settings.apply_to_running(result.unwrap())
        changed = settings != self.settings
        self.settings = settings
        self.routing_state.set_settings(settings)
        for client in self.store_clients:
            client.set_address(settings.store_address.host, settings.store_address.port)
        log_event("settings-reloaded", changed=changed, needs_restart=settings != result.unwrap())

    def _make_store_client(self) -> PlatformStoreClient:
        address = self.settings.store_address
        client = PlatformStoreClient(address.host, address.port, self.clock)
        self.store_clients.append(client)
        return client

    def _watch_settings_file(self) -> None:
        while not self.shutting_down:
            gevent.sleep(SETTINGS_CHECK_INTERVAL_SECONDS)
            if _file_stamp(self.settings_path) != self.settings_file_stamp:
                self.reload()

    def _register_gauges(self) -> None:
        routing_state = self.routing_state
        register = self.metrics.register_gauge
        register("requests_active", lambda: self.caller_listener.active_requests)
        register("requests_waiting", lambda: routing_state.dispatcher.queued_count)
        register("members", lambda: len(routing_state.fleet_position.members))
        register("decider", lambda: float(self.decider_task.election.is_decider))
        register("store_reached", lambda: float(routing_state.directory.store_reachable))
        register("servers", lambda: len(routing_state.directory.entries))
        register(
            "connections_opened",
            lambda: sum(pool.connect_attempts for pool in routing_state.connection_pools.values()),
        )
        register(
            "configuration_problems",
            lambda: (
                len(routing_state.configuration.problems) if routing_state.configuration else 0
            ),
        )
        register(
            "configuration_version",
            lambda: routing_state.routes.version if routing_state.routes else 0,
        )


def _file_stamp(path: str) -> tuple[int, int]:
    """Returns the modification time in ns and the size of a file, which reveal a change."""
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
