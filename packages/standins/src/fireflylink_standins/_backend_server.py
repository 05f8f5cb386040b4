"""The stand-in of a backend server, over HTTP."""

from typing import Any

import falcon
import gevent

from fireflylink_caller_frontend import HttpListener
from fireflylink_core import NO_KEY, BaseClock, CallerLimits, KeyRange
from fireflylink_platform import names
from fireflylink_standins._grant_state import GrantState
from fireflylink_standins._store_server import encode
from fireflylink_standins._store_state import StoreState
from fireflylink_store import Commit, Put

HEARTBEAT_SECONDS = 0.87
LAPSE_SECONDS = 3 * HEARTBEAT_SECONDS
MILLISECONDS_PER_SECOND = 1000.0
SLOTS = 4


class BackendServerStandin:
    """One server: it registers itself, takes grants and runs requests.

    ``work_seconds`` is how long a request runs. ``drops_answers`` makes it run requests and close
    the connection without an answer; ``sheds_load`` makes it decline every request.
    """

    __slots__ = (
        "clock",
        "data_centre",
        "draining",
        "drops_answers",
        "heartbeat",
        "keyed",
        "lease_id",
        "listener",
        "running",
        "server_id",
        "service",
        "sheds_load",
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
        store: StoreState,
        clock: BaseClock,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.data_centre = data_centre
        self.keyed = keyed
        self.store = store
        self.clock = clock
        self.state = GrantState(clock)
        self.draining = False
        self.sheds_load = False
        self.drops_answers = False
        self.stopped = False
        self.running = 0
        self.work_seconds = 0.005
        self.lease_id = 0
        self.listener = HttpListener(_application(self), "127.0.0.1", 0, CallerLimits)
        self.heartbeat: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts to serve and registers the server."""
        self.listener.start()
        self.lease_id = self.store.create_lease(LAPSE_SECONDS)
        self.register()
        self.heartbeat = gevent.spawn(self._beat)

    def register(self) -> None:
        """Writes the registration as it is now."""
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.listener.port}",
            "zone": self.data_centre,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.draining else "ready",
            "warmup-left-ms": 0,
            "sequence": 1,
            "born": self.clock.wall_ms(),
        }
        key = f"{names.SERVERS_PREFIX}{self.server_id}"
        self.store.commit(Commit(puts=(Put(key, encode(entry), self.lease_id),)))

    def drain(self) -> None:
        """Announces that the server leaves."""
        self.draining = True
        self.register()

    def stop(self) -> None:
        """Ends without a word, as a crash does."""
        self.stopped = True
        if self.heartbeat is not None:
            self.heartbeat.kill(block=False)
        self.listener.close()

    def _beat(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_SECONDS)
            self.store.renew_lease(self.lease_id)


class _Requests:
    """Runs requests."""

    __slots__ = ("server",)

    def __init__(self, server: BackendServerStandin) -> None:
        self.server = server

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_kwargs: Any) -> None:
        server = self.server
        if server.stopped:
            raise ConnectionResetError
        request_id = req.get_header(names.REQUEST_ID) or ""
        resp.set_header(names.REQUEST_ID, request_id)
        resp.set_header(names.SERVER_LOAD, f"{server.running},0,{SLOTS},100")
        key = int(req.get_header(names.SHARD_KEY) or NO_KEY)
        other = req.get_header(names.TARGET_INSTANCE) not in (None, server.server_id)
        if other or (server.keyed and not server.state.holds_key(key)):
            resp.status = falcon.HTTP_421
            resp.set_header(names.NOT_EXECUTED, "1")
            return
        if server.sheds_load:
            resp.status = falcon.HTTP_503
            resp.set_header(names.NOT_EXECUTED, "1")
            return
        self._run(request_id, key, req, resp)

    def _run(self, request_id: str, key: int, req: falcon.Request, resp: falcon.Response) -> None:
        server = self.server
        server.running += 1
        server.state.executed.append((request_id, key))
        gevent.sleep(server.work_seconds)
        server.running -= 1
        if server.drops_answers:
            raise ConnectionResetError
        resp.set_header(names.SIGNATURE, f"{server.server_id}.{len(server.state.executed)}")
        resp.content_type = "application/octet-stream"
        resp.data = server.server_id.encode() + b" " + req.bounded_stream.read()


class _Grants:
    """Takes grants."""

    __slots__ = ("server",)

    def __init__(self, server: BackendServerStandin) -> None:
        self.server = server

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Takes or renews keys; 409 when a higher fence was seen."""
        if self.server.stopped:
            raise ConnectionResetError
        if req.get_header(names.TARGET_INSTANCE) not in (None, self.server.server_id):
            resp.status = falcon.HTTP_421
            return
        body = req.get_media()
        keys = KeyRange(body["from"], body["to"])
        hold_seconds = body["hold-ms"] / MILLISECONDS_PER_SECOND
        if not self.server.state.grant(keys, body["fence"], hold_seconds):
            resp.status = falcon.HTTP_409


class _Releases:
    """Gives keys up."""

    __slots__ = ("server",)

    def __init__(self, server: BackendServerStandin) -> None:
        self.server = server

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Gives keys up and returns the hand-over token."""
        if req.get_header(names.TARGET_INSTANCE) not in (None, self.server.server_id):
            resp.status = falcon.HTTP_421
            return
        body = req.get_media()
        token = self.server.state.release(KeyRange(body["from"], body["to"]), body["fence"])
        resp.set_header(names.HANDOVER, token)


def _application(server: BackendServerStandin) -> Any:
    application = falcon.App()
    application.add_route(names.GRANT_PATH, _Grants(server))
    application.add_route(names.RELEASE_PATH, _Releases(server))
    application.add_sink(_Requests(server), "/")
    return application
