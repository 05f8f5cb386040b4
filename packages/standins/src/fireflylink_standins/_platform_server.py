"""HTTP front of the platform stand-in."""

import base64
import json
from typing import Any

import falcon
import gevent

from fireflylink_core import SystemClock
from fireflylink_platform_client import Snapshot
from fireflylink_standins._http_server import CONNECTION_KEY, StandinServer, dropped_connection
from fireflylink_standins._instance_list import InstanceList
from fireflylink_standins._platform_faults import CallCounts, PlatformFaults, PlatformMode
from fireflylink_standins._platform_store import MAX_VALUE_BYTES, PlatformStore

MILLISECONDS_PER_SECOND = 1000
DEFAULT_WATCH_MS = 1000


class PlatformStandin:
    """Key-value service and instance list on one port.

    Example::

        platform = PlatformStandin()
        platform.start()
        client = KeyValueClient("127.0.0.1", platform.port)
    """

    __slots__ = ("clock", "counts", "faults", "instances", "server", "store")

    def __init__(
        self, host: str = "127.0.0.1", port: int = 0, instance_lag_ms: float = 0.0
    ) -> None:
        self.clock = SystemClock()
        self.store = PlatformStore(self.clock)
        self.instances = InstanceList(self.clock, instance_lag_ms / MILLISECONDS_PER_SECOND)
        self.faults = PlatformFaults()
        self.counts = CallCounts()
        self.server = StandinServer(self._application(), host, port)

    @property
    def port(self) -> int:
        """The port that the stand-in listens on."""
        return self.server.port

    def start(self) -> None:
        """Starts to listen."""
        self.server.open()

    def stop(self) -> None:
        """Closes the listener and every connection."""
        self.server.close()

    def enter(self, kind: str, request: falcon.Request) -> None:
        """Counts a call and applies the mode; raises when the call is not to be answered."""
        self.counts.add(kind)
        if self.faults.mode is PlatformMode.SLOW:
            gevent.sleep(self.faults.delay_ms / MILLISECONDS_PER_SECOND)
        self.refuse_if_down(request)

    def refuse_if_down(self, request: falcon.Request) -> None:
        """Ends a call as the mode prescribes."""
        if self.faults.mode is PlatformMode.DOWN:
            raise falcon.HTTPServiceUnavailable(title="platform is down")
        if self.faults.mode is PlatformMode.SILENT:
            request.env[CONNECTION_KEY].hang()

    def set_mode(self, mode: PlatformMode) -> None:
        """Changes the mode; waiting watches notice at once."""
        self.faults.mode = mode
        self.store.wake_watchers()

    def _application(self) -> Any:
        application = falcon.App()
        application.add_error_handler(ConnectionResetError, _drop)
        application.add_route("/v1/kv", PrefixResource(self))
        application.add_route("/v1/kv/{key:path}", EntryResource(self))
        application.add_route("/v1/watch", WatchResource(self))
        application.add_route("/v1/leases", LeasesResource(self))
        application.add_route("/v1/leases/{lease}", LeaseResource(self))
        application.add_route("/v1/instances", InstancesResource(self))
        application.add_route("/admin/faults", FaultsResource(self))
        application.add_route("/admin/counts", CountsResource(self))
        application.add_route("/admin/instances", AdminInstancesResource(self))
        application.add_route("/admin/instances/{instance_id}", AdminInstanceResource(self))
        return application


class BasePlatformResource:
    """A resource of the platform stand-in."""

    __slots__ = ("platform",)

    def __init__(self, platform: PlatformStandin) -> None:
        self.platform = platform


class PrefixResource(BasePlatformResource):
    """Reads of all entries under a prefix."""

    __slots__ = ()

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        self.platform.enter("prefix", request)
        prefix = request.get_param("prefix", default="")
        response.data = _encode_snapshot(self.platform.store.snapshot(prefix))


class EntryResource(BasePlatformResource):
    """Reads, writes and deletions of one entry."""

    __slots__ = ()

    def on_get(self, request: falcon.Request, response: falcon.Response, key: str) -> None:
        self.platform.enter("read", request)
        entry = self.platform.store.read(key)
        response.set_header("Revision", str(entry.revision if entry else 0))
        response.content_type = "application/octet-stream"
        if entry is None:
            response.status = falcon.HTTP_404
        else:
            response.data = entry.value

    def on_put(self, request: falcon.Request, response: falcon.Response, key: str) -> None:
        value = request.bounded_stream.read()
        self.platform.enter("write", request)
        if len(value) > MAX_VALUE_BYTES:
            raise falcon.HTTPPayloadTooLarge(title="value exceeds 1 MB")
        self._lose_request()
        expected = request.get_param_as_int("expected_revision", required=True)
        lease = request.get_param("lease")
        try:
            outcome = self.platform.store.write(key, value, expected, lease)
        except KeyError as error:
            raise falcon.HTTPBadRequest(title="unknown lease") from error
        self._reply(response, outcome)

    def on_delete(self, request: falcon.Request, response: falcon.Response, key: str) -> None:
        self.platform.enter("delete", request)
        self._lose_request()
        expected = request.get_param_as_int("expected_revision", required=True)
        self._reply(response, self.platform.store.delete(key, expected))

    def _lose_request(self) -> None:
        if self.platform.faults.take_lost_request():
            raise dropped_connection()

    def _reply(self, response: falcon.Response, outcome: tuple[bool, int]) -> None:
        if self.platform.faults.take_lost_reply():
            raise dropped_connection()
        done, revision = outcome
        response.status = falcon.HTTP_200 if done else falcon.HTTP_409
        response.data = json.dumps({"revision": revision}).encode()


class WatchResource(BasePlatformResource):
    """Waits for changes under a prefix."""

    __slots__ = ()

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        self.platform.enter("watch", request)
        prefix = request.get_param("prefix", default="")
        after = request.get_param_as_int("after", default=0)
        timeout_ms = request.get_param_as_int("timeout_ms", default=DEFAULT_WATCH_MS)
        timeout = timeout_ms / MILLISECONDS_PER_SECOND
        self.platform.counts.pending_watches += 1
        try:
            snapshot = self.platform.store.watch(prefix, after, timeout)
        finally:
            self.platform.counts.pending_watches -= 1
        self.platform.refuse_if_down(request)
        response.data = _encode_snapshot(snapshot)


class LeasesResource(BasePlatformResource):
    """Opens leases."""

    __slots__ = ()

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        self.platform.enter("lease", request)
        ttl_ms = request.get_param_as_int("ttl_ms", required=True, min_value=1)
        response.data = json.dumps({"lease": self.platform.store.open_lease(ttl_ms)}).encode()


class LeaseResource(BasePlatformResource):
    """Renews a lease."""

    __slots__ = ()

    def on_put(self, request: falcon.Request, response: falcon.Response, lease: str) -> None:
        self.platform.enter("lease", request)
        if not self.platform.store.renew_lease(lease):
            response.status = falcon.HTTP_404
        response.data = b"{}"


class InstancesResource(BasePlatformResource):
    """The lagging list of instances."""

    __slots__ = ()

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        self.platform.enter("instances", request)
        response.data = json.dumps(self.platform.instances.read()).encode()


class FaultsResource(BasePlatformResource):
    """Sets faults; fields that are not given keep their value."""

    __slots__ = ()

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        document = request.get_media()
        faults = self.platform.faults
        for name in ("delay_ms", "lose_replies", "lose_requests"):
            setattr(faults, name, int(document.get(name, getattr(faults, name))))
        self.platform.set_mode(PlatformMode(document.get("mode", faults.mode.value)))
        response.data = b"{}"


class CountsResource(BasePlatformResource):
    """Numbers of calls by kind."""

    __slots__ = ()

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.data = json.dumps(self.platform.counts.as_document()).encode()


class AdminInstancesResource(BasePlatformResource):
    """Replaces the list of instances."""

    __slots__ = ()

    def on_put(self, request: falcon.Request, response: falcon.Response) -> None:
        self.platform.instances.replace_all(request.get_media(), _lag(request))
        response.data = b"{}"


class AdminInstanceResource(BasePlatformResource):
    """Adds, changes or removes one instance."""

    __slots__ = ()

    def on_put(self, request: falcon.Request, response: falcon.Response, instance_id: str) -> None:
        document = {**request.get_media(), "instance_id": instance_id}
        self.platform.instances.put(document, _lag(request))
        response.data = b"{}"

    def on_delete(
        self, request: falcon.Request, response: falcon.Response, instance_id: str
    ) -> None:
        self.platform.instances.remove(instance_id, _lag(request))
        response.data = b"{}"


def _lag(request: falcon.Request) -> float | None:
    lag_ms = request.get_param_as_int("lag_ms")
    return None if lag_ms is None else lag_ms / MILLISECONDS_PER_SECOND


def _encode_snapshot(snapshot: Snapshot) -> bytes:
    entries = [
        {
            "key": entry.key,
            "revision": entry.revision,
            "value": base64.b64encode(entry.value).decode(),
        }
        for entry in snapshot.entries
    ]
    return json.dumps({"revision": snapshot.revision, "entries": entries}).encode()


def _drop(request: Any, response: Any, error: ConnectionResetError, params: Any) -> None:
    raise error
