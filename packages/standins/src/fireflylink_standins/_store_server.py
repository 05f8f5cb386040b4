"""The stand-in of the platform's store, over HTTP."""

import base64
import json
import time
from typing import Any

import falcon
import gevent

from fireflylink_platform import names
from fireflylink_standins._store_state import (
    ConditionFailedError,
    NoSuchLeaseError,
    StoreState,
)
from fireflylink_store import Change, Commit, Item, Put

POLL_SECONDS = 0.005
PAGE_ITEMS = 500
READ_ONLY_PREFIXES = ("op/", "servers/")
MILLISECONDS_PER_SECOND = 1000.0


class StoreFaults:
    """What is wrong with the stand-in at this moment."""

    __slots__ = ("down", "drops_replies")

    def __init__(self) -> None:
        self.down = False
        self.drops_replies = False


class _Resource:
    """Calls of the store on one state."""

    __slots__ = ("faults", "state")

    def __init__(self, state: StoreState, faults: StoreFaults) -> None:
        self.state = state
        self.faults = faults


class _ItemResource(_Resource):
    __slots__ = ()

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the item of a key."""
        _check_up(self.faults)
        item = self.state.read(req.get_param("key", required=True))
        if item is None:
            resp.status = falcon.HTTP_404
            return
        resp.media = {**_fields(item), "current-rev": self.state.revision}


class _RangeResource(_Resource):
    __slots__ = ()

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns a page of the items of a prefix."""
        _check_up(self.faults)
        prefix = req.get_param("prefix", default="")
        items = self.state.range(prefix, req.get_param("after", default=""))
        resp.media = {
            "items": [_fields(item) for item in items[:PAGE_ITEMS]],
            "has-more": len(items) > PAGE_ITEMS,
            "current-rev": self.state.revision,
        }


class _WatchResource(_Resource):
    __slots__ = ()

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns changes as soon as there are any."""
        prefix = req.get_param("prefix", default="")
        after = req.get_param_as_int("after", required=True)
        wait = req.get_param_as_int("wait-ms", required=True) / MILLISECONDS_PER_SECOND
        until = time.monotonic() + wait
        while True:
            _check_up(self.faults)
            changes = self.state.changes(prefix, after)
            if changes is None:
                resp.status = falcon.HTTP_410
                return
            if changes or time.monotonic() >= until:
                break
            gevent.sleep(POLL_SECONDS)
        events = [_fields(change) for change in changes]
        resp.media = {"events": events, "current-rev": self.state.revision}


class _CommitResource(_Resource):
    __slots__ = ()

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Applies a commit."""
        _check_up(self.faults)
        commit = _commit(req.get_media())
        written = (*(put.key for put in commit.puts), *commit.deletions)
        if any(key.startswith(READ_ONLY_PREFIXES) for key in written):
            resp.status = falcon.HTTP_403
            return
        try:
            resp.media = {"revision": self.state.commit(commit)}
        except ConditionFailedError as error:
            resp.status = falcon.HTTP_412
            resp.media = {"items": [_fields(item) for item in error.items]}
        except NoSuchLeaseError:
            resp.status = falcon.HTTP_404
        if self.faults.drops_replies:
            raise ConnectionResetError


class _LeaseResource(_Resource):
    __slots__ = ()

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Opens a lease."""
        _check_up(self.faults)
        ttl = req.get_media()["ttl-ms"]
        lease_id = self.state.create_lease(ttl / MILLISECONDS_PER_SECOND)
        resp.media = {"lease": lease_id, "ttl-ms": ttl}


class _RenewalResource(_Resource):
    __slots__ = ()

    def on_post(self, _req: falcon.Request, resp: falcon.Response, lease: str) -> None:
        """Renews a lease."""
        _check_up(self.faults)
        seconds = self.state.renew_lease(int(lease))
        if seconds is None:
            resp.status = falcon.HTTP_404
            return
        resp.media = {"ttl-ms": int(seconds * MILLISECONDS_PER_SECOND)}


class _LeaseEndResource(_Resource):
    __slots__ = ()

    def on_delete(self, _req: falcon.Request, _resp: falcon.Response, lease: str) -> None:
        """Ends a lease."""
        _check_up(self.faults)
        self.state.revoke_lease(int(lease))


def make_store_application(state: StoreState, faults: StoreFaults) -> Any:
    """Returns the WSGI application of the store's stand-in."""
    application = falcon.App()
    application.add_route(names.STORE_ITEM_PATH, _ItemResource(state, faults))
    application.add_route(names.STORE_RANGE_PATH, _RangeResource(state, faults))
    application.add_route(names.STORE_WATCH_PATH, _WatchResource(state, faults))
    application.add_route(names.STORE_COMMIT_PATH, _CommitResource(state, faults))
    application.add_route(names.STORE_LEASE_PATH, _LeaseResource(state, faults))
    application.add_route(f"{names.STORE_RENEW_PATH}{{lease}}", _RenewalResource(state, faults))
    end_path = f"{names.STORE_LEASE_END_PATH}{{lease}}"
    application.add_route(end_path, _LeaseEndResource(state, faults))
    return application


def _check_up(faults: StoreFaults) -> None:
    if faults.down:
        raise falcon.HTTPServiceUnavailable


def _fields(change: Change) -> dict[str, object]:
    if not isinstance(change, Item):
        return {"key": change.key, "revision": change.revision, "removed": True}
    return {
        "key": change.key,
        "value": base64.b64encode(change.value).decode(),
        "revision": change.revision,
        "created": change.revision,
        "lease": change.lease_id,
    }


def _commit(body: Any) -> Commit:
    return Commit(
        expected_revisions=tuple((row["key"], row["revision"]) for row in body["expected"]),
        puts=tuple(
            Put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in body["puts"]
        ),
        deletions=tuple(body["delete"]),
    )


def encode(value: object) -> bytes:
    """Returns a value as the operator and the servers write it."""
    return json.dumps(value).encode()
