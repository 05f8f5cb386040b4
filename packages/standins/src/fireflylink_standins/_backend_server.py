"""Stand-in for a backend server, with the platform's HTTP interface."""

import errno
from typing import Any

import falcon
import gevent

from fireflylink_caller_frontend import HttpListener
from fireflylink_core import NO_KEY, BaseClock, CallerLimits, KeyRange
from fireflylink_platform import names
from fireflylink_standins._base_lease_store import BaseLeaseStore
from fireflylink_standins._grant_state import GrantState
from fireflylink_standins._store_server import encode_json
from fireflylink_store import Commit, Put

HEARTBEAT_SECONDS = 0.87
LEASE_SECONDS = 3 * HEARTBEAT_SECONDS
MILLISECONDS_PER_SECOND = 1000.0
SLOTS = 4
"""Number of requests that the server announces to run at once; it does not enforce it."""

COMMAND_PATHS = (names.GRANT_PATH, names.RELEASE_PATH)
"""Paths of the commands of the decider."""

LATE_HEADER = "Standin-Seconds-Late"
"""Header of a grant or a release that is to be carried out so many seconds after its arrival, and
gets no answer. Proxies of tests add it."""


class BackendServerStandin:
    """A server that registers itself in the store, accepts grants and runs requests.

    ``keyed`` says whether its service is keyed: only the owner of a request's key runs the request.
    A request runs for ``work_seconds``, or for the seconds that it asks for in the parameter
    ``work`` of its query. The server is cold until ``cold_until``, in seconds on the clock; it does
    not enforce the limit for that time. ``state`` has the keys that the server holds and the
    requests that it has executed. ``advertised_port`` is the port of the registration, where a
    proxy may listen; 0 stands for the server's own. If ``drops_answers`` is true, the server runs a
    request and closes the connection without an answer. If ``declines_requests`` is true, it
    declines every request, and asks for a pause of ``pause_seconds`` unless that is 0. If
    ``announces_leaving`` is true, or its registration says that it drains, each answer says that it
    leaves. ``arrived_at`` are the times at which requests for it arrived, whether it ran them or
    not.

    An HTTP handler raises ``_no_answer()`` to close the connection without an answer.
    """

    __slots__ = (
        "advertised_port",
        "announces_leaving",
        "arrived_at",
        "clock",
        "cold_until",
        "data_centre",
        "declines_requests",
        "draining",
        "drops_answers",
        "heartbeat",
        "keyed",
        "lease_id",
        "listener",
        "pause_seconds",
        "running_requests",
        "sequence",
        "server_id",
        "service",
        "started_ms",
        "state",
        "stopped",
        "store",
        "work_seconds",
    )

    def __init__(
        self,
        server_id: str,
        service: str,
        data_centre: str,
        keyed: bool,
        store: BaseLeaseStore,
        clock: BaseClock,
        port: int = 0,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.data_centre = data_centre
        self.keyed = keyed
        self.store = store
        self.clock = clock
        self.state = GrantState(clock)
        self.draining = False
        self.declines_requests = False
        self.announces_leaving = False
        self.pause_seconds = 0.0
        self.arrived_at: list[float] = []
        self.drops_answers = False
        self.stopped = False
        self.running_requests = 0
        self.work_seconds = 0.005
        self.cold_until = 0.0
        self.lease_id = 0
        self.sequence = 0
        self.started_ms = clock.wall_ms()
        self.listener = HttpListener(_application(self), "127.0.0.1", port, CallerLimits)
        self.advertised_port = 0
        self.heartbeat: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts to listen, and registers the server."""
        self.listener.start()
        self.advertised_port = self.advertised_port or self.listener.port
        self.register()
        self.heartbeat = gevent.spawn(self._send_heartbeats)

    def register(self) -> None:
        """Writes the current registration to the store, under a new lease if it has none."""
        if self.store.renew_lease(self.lease_id) is None:
            self.lease_id = self.store.create_lease(LEASE_SECONDS)
        self.sequence += 1
        registration = {
            "service": self.service,
            "address": f"127.0.0.1:{self.advertised_port}",
            "zone": self.data_centre,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.draining else "ready",
            "warmup-left-ms": self._cold_ms_left(),
            "sequence": self.sequence,
            "born": self.started_ms,
        }
        key = f"{names.SERVERS_PREFIX}{self.server_id}"
        self.store.commit(Commit(puts=(Put(key, encode_json(registration), self.lease_id),)))

    def _cold_ms_left(self) -> int:
        return max(0, int((self.cold_until - self.clock.now()) * MILLISECONDS_PER_SECOND))

    def drain(self) -> None:
        """Registers the server as draining."""
        self.draining = True
        self.register()

    def stop(self) -> None:
        """Stops without notice, as in a crash; the registration stays until its lease expires."""
        self.stopped = True
        if self.heartbeat is not None:
            self.heartbeat.kill(block=False)
        self.listener.close()

    def _send_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_SECONDS)
            # A lease also ends while the process gets no processor time.
            if self.store.renew_lease(self.lease_id) is None:
                self.register()


class _RequestSink:
    """Answers the requests that daemons forward.

    A request for another server, or for a key that is not held, gets status 421. Other requests get
    status 503 while the server declines requests, with a pause if it asks for one. A stopped server
    closes the connection.
    """

    __slots__ = ("server",)

    def __init__(self, server: BackendServerStandin) -> None:
        self.server = server

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_kwargs: Any) -> None:
        server = self.server
        if server.stopped:
            raise _no_answer()
        request_id = req.get_header(names.REQUEST_ID) or ""
        resp.set_header(names.REQUEST_ID, request_id)
        # Running and waiting requests, slots, and the slowdown factor in percent (100 is normal).
        resp.set_header(names.SERVER_LOAD, f"{server.running_requests},0,{SLOTS},100")
        if server.announces_leaving or server.draining:
            resp.set_header(names.SERVER_LEAVING, "1")
        key = int(req.get_header(names.SHARD_KEY) or NO_KEY)
        is_for_other_server = req.get_header(names.TARGET_INSTANCE) not in (None, server.server_id)
        if is_for_other_server or (server.keyed and not server.state.holds_key(key)):
            _reject(server, request_id, resp, falcon.HTTP_421)
            return
        server.arrived_at.append(server.clock.now())
        if server.declines_requests:
            _reject(server, request_id, resp, falcon.HTTP_503)
            if server.pause_seconds:
                resp.set_header(names.RETRY_AFTER, f"{server.pause_seconds:g}")
            return
        self._run_request(request_id, key, req, resp)

    def _run_request(
        self, request_id: str, key: int, req: falcon.Request, resp: falcon.Response
    ) -> None:
        server = self.server
        server.running_requests += 1
        run = server.state.begin_run(request_id, key)
        gevent.sleep(req.get_param_as_float("work") or server.work_seconds)
        server.state.end_run(run)
        server.running_requests -= 1
        if server.drops_answers:
            raise _no_answer()
        resp.set_header(names.SIGNATURE, f"{server.server_id}.{len(server.state.executed)}")
        resp.content_type = "application/octet-stream"
        resp.data = f"{server.server_id} {request_id} ".encode() + req.bounded_stream.read()


def _reject(
    server: BackendServerStandin, request_id: str, resp: falcon.Response, status: str
) -> None:
    server.state.record_rejected(request_id)
    resp.status = status
    resp.set_header(names.NOT_EXECUTED, "1")


class _GrantResource:
    """Answers the grants of the decider."""

    __slots__ = ("server",)

    def __init__(self, server: BackendServerStandin) -> None:
        self.server = server

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Accepts or renews a grant of keys; 409 if a higher fence was seen for any of them."""
        if self.server.stopped:
            raise _no_answer()
        resp.set_header(names.REQUEST_ID, req.get_header(names.REQUEST_ID) or "")
        if req.get_header(names.TARGET_INSTANCE) not in (None, self.server.server_id):
            resp.status = falcon.HTTP_421
            return
        body = req.get_media()
        keys = KeyRange(body["from"], body["to"])
        hold_seconds = body["hold-ms"] / MILLISECONDS_PER_SECOND
        arrived_at = self.server.clock.now()
        seconds_late = _wait_if_late(req)
        if not self.server.state.grant(keys, body["fence"], arrived_at, hold_seconds):
            resp.status = falcon.HTTP_409
        if seconds_late or self.server.stopped:
            raise _no_answer()


class _ReleaseResource:
    """Answers the releases of the decider."""

    __slots__ = ("server",)

    def __init__(self, server: BackendServerStandin) -> None:
        self.server = server

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Releases keys; answers when the work on them has ended.

        The answer has the handover token, which the next holder's grant contains. A release whose
        connection has closed meanwhile is carried out all the same.
        """
        resp.set_header(names.REQUEST_ID, req.get_header(names.REQUEST_ID) or "")
        if req.get_header(names.TARGET_INSTANCE) not in (None, self.server.server_id):
            resp.status = falcon.HTTP_421
            return
        if self.server.stopped:
            raise _no_answer()
        body = req.get_media()
        seconds_late = _wait_if_late(req)
        token = self.server.state.release(KeyRange(body["from"], body["to"]), body["fence"])
        if seconds_late or self.server.stopped:
            raise _no_answer()
        resp.set_header(names.HANDOVER, token)


def _wait_if_late(req: falcon.Request) -> float:
    """Waits as long as a proxy has asked for; returns how long."""
    seconds_late = float(req.get_header(LATE_HEADER) or 0.0)
    if seconds_late:
        gevent.sleep(seconds_late)
    return seconds_late


def _no_answer() -> ConnectionResetError:
    """Returns the error on which the listener closes the connection; others are answered 500."""
    return ConnectionResetError(errno.ECONNRESET, "no answer")


def _pass_on_reset(
    _req: falcon.Request, _resp: falcon.Response, error: ConnectionResetError, _params: Any
) -> None:
    raise error


def _application(server: BackendServerStandin) -> Any:
    application = falcon.App()
    # Falcon answers status 500 for errors that it does not know.
    application.add_error_handler(ConnectionResetError, _pass_on_reset)
    application.add_route(names.GRANT_PATH, _GrantResource(server))
    application.add_route(names.RELEASE_PATH, _ReleaseResource(server))
    application.add_sink(_RequestSink(server), "/")
    return application
