"""A daemon: its tasks, how they are connected, and how it leaves."""

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
from fireflylink_daemon._request_path import RequestPath
from fireflylink_daemon._serving import Serving
from fireflylink_daemon._settings import Settings, read_settings
from fireflylink_daemon._store_reader import StoreReader
from fireflylink_daemon._view_task import ViewTask
from fireflylink_platform import (
    READY_PATH,
    PlatformCallerCodec,
    PlatformItemDecoder,
    PlatformServerCodec,
    PlatformStoreClient,
)
from fireflylink_protocol import MemberRecord

NOTICE_SECONDS = 2.5
"""Time until the balancer has asked twice and sends no new connections."""

LEAVE_MARGIN_SECONDS = 0.4
LAST_IDLE_SECONDS = 0.5
MEMBER_STAYS_SECONDS = 4.0
"""While requests are still sent, the others must count this daemon's shares."""

SETTINGS_CHECK_SECONDS = 1.0


class Daemon:
    """All tasks of one process.

    Example::

        daemon = Daemon(settings, "settings.json", SystemClock())
        daemon.start()
        daemon.wait()
    """

    __slots__ = (
        "callers",
        "clock",
        "decider",
        "dispatch",
        "leaving",
        "left",
        "member",
        "metrics",
        "metrics_listener",
        "ownership",
        "path",
        "peers",
        "reader",
        "readiness",
        "serving",
        "settings",
        "settings_path",
        "settings_stamp",
        "stores",
        "view",
    )

    def __init__(self, settings: Settings, settings_path: str, clock: BaseClock) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.settings_stamp = _stamp(settings_path)
        self.clock = clock
        self.leaving = False
        self.left = Event()
        self.metrics = Metrics()
        self.stores: list[PlatformStoreClient] = []
        codec = PlatformServerCodec()
        self.serving = Serving(settings, clock, codec)
        self.dispatch = DispatchTask(self.serving.dispatcher, clock)
        self.view = ViewTask(self.serving, clock)
        record = MemberRecord(
            settings.instance,
            clock.wall_ms(),
            settings.data_centre,
            settings.address,
            settings.report_port,
        )
        self.member = MemberTask(record, self._store(), self.view, clock, self.metrics)
        self.decider = DeciderTask(record, self._store(), self.serving, clock, self.metrics)
        keys = KeyCounter()
        self.peers = PeerSocket(
            settings.instance, settings.address, settings.report_port, keys, self.view
        )
        self.ownership = OwnershipTask(self.serving, self.decider, self.peers, clock, codec)
        self.peers.ownership = self.ownership
        self.decider.ownership = self.ownership
        self.view.ownership = self.ownership
        self.view.member = self.member
        self.reader = StoreReader(
            self._store(), PlatformItemDecoder(), self.view, clock, self.metrics
        )
        self.path = path = RequestPath(
            self.serving, self.dispatch, keys, CrashDetector(self.peers, clock), clock, self.metrics
        )
        self.callers = HttpListener(
            make_application(path, PlatformCallerCodec()),
            settings.caller_address.host,
            settings.caller_address.port,
            path.limits,
        )
        self.readiness = HttpListener(
            make_readiness_application(READY_PATH, self.ready),
            settings.readiness_address.host,
            settings.readiness_address.port,
            path.limits,
        )
        self.metrics_listener = HttpListener(
            make_metrics_application(self.metrics),
            settings.address,
            settings.metrics_port,
            path.limits,
        )
        self._declare_gauges()

    def start(self) -> None:
        """Starts every task."""
        for listener in (self.callers, self.readiness, self.metrics_listener):
            listener.start()
        for task in (
            self.view,
            self.member,
            self.decider,
            self.ownership,
            self.reader,
            self.peers,
        ):
            task.start()
        gevent.spawn(self._watch_settings)
        log_event(
            "started",
            instance=self.settings.instance,
            data_centre=self.settings.data_centre,
            callers=self.settings.caller_address,
            store=self.settings.store_address,
        )

    def wait(self) -> None:
        """Waits until the daemon has left."""
        self.left.wait()

    def ready(self) -> bool:
        """Whether the daemon should get new connections."""
        return not self.leaving and self.serving.routes is not None

    def leave(self) -> None:
        """Ends the daemon within the time that the settings give, without cutting a request off."""
        if self.leaving:
            return
        self.leaving = True
        started_at = self.clock.now()
        deadline = started_at + self.settings.bounds.leave_seconds - LEAVE_MARGIN_SECONDS
        log_event("leaving", instance=self.settings.instance, active=self.callers.active_requests)
        self.callers.begin_drain(NOTICE_SECONDS)
        self.decider.post(Leave())
        gevent.spawn_later(MEMBER_STAYS_SECONDS, self.member.post, Leave())
        gevent.sleep(NOTICE_SECONDS)
        self.callers.stop_accepting()
        gevent.sleep(LAST_IDLE_SECONDS)
        # A request that comes now might not end in time: another daemon takes it at once.
        self.path.closed = True
        self.callers.close_idle_connections()
        quiet = self.callers.wait_idle(max(0.0, deadline - self.clock.now()))
        log_event("stopped", instance=self.settings.instance, quiet=quiet)
        flush_log()
        self.left.set()

    def reload(self) -> None:
        """Reads the settings file again; addresses stay as they are until the next start."""
        self.settings_stamp = _stamp(self.settings_path)
        result = read_settings(self.settings_path)
        if not isinstance(result, Success):
            log_problem("settings-refused", problem=result.failure())
            return
        settings = result.unwrap()
        changed = settings != self.settings
        self.settings = settings
        self.serving.settings = settings
        for store in self.stores:
            store.set_address(settings.store_address.host, settings.store_address.port)
        log_event("settings-reloaded", changed=changed)

    def _store(self) -> PlatformStoreClient:
        address = self.settings.store_address
        store = PlatformStoreClient(address.host, address.port, self.clock)
        self.stores.append(store)
        return store

    def _watch_settings(self) -> None:
        while not self.leaving:
            gevent.sleep(SETTINGS_CHECK_SECONDS)
            if _stamp(self.settings_path) != self.settings_stamp:
                self.reload()

    def _declare_gauges(self) -> None:
        serving = self.serving
        gauge = self.metrics.gauge
        gauge("requests_active", lambda: self.callers.active_requests)
        gauge("requests_waiting", lambda: serving.dispatcher.queued_count)
        gauge("members", lambda: len(serving.position.members))
        gauge("decider", lambda: float(self.decider.election.is_decider))
        gauge("store_reached", lambda: float(serving.directory.store_reachable))
        gauge("servers", lambda: len(serving.directory.entries))
        gauge(
            "connections_opened",
            lambda: sum(pool.opened_connections for pool in serving.pools.values()),
        )
        gauge("configuration_version", lambda: serving.routes.version if serving.routes else 0)


def _stamp(path: str) -> tuple[int, int]:
    """Returns what tells one state of a file from another."""
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
