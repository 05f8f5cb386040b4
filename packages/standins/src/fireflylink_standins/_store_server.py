"""Stand-in for the platform's store, with the platform's HTTP interface."""

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
RESTORE_OUTAGE_SECONDS = 0.3
"""How long the store is away while it is restored from a copy."""

WRITE_AGAIN_SECONDS = 0.3
"""How long after that operators and servers have written their values again."""

MAX_ITEMS_PER_PAGE = 500
DAEMON_READ_ONLY_PREFIXES = ("op/", "servers/")
MILLISECONDS_PER_SECOND = 1000.0


class StoreFaults:
    """The faults that the stand-in of the store simulates.

    While ``down`` is true, every call is refused with status 503. While ``drops_replies`` is true,
    a commit is processed and the connection is then closed without a reply.
    """

    __slots__ = ("down", "drops_replies")

    def __init__(self) -> None:
        self.down = False
        self.drops_replies = False


class _EraHeader:
    """States the era of the store in every answer, also in that of a refused call."""

    __slots__ = ("state",)

    def __init__(self, state: StoreState) -> None:
        self.state = state

    def process_response(
        self, _req: falcon.Request, resp: falcon.Response, _resource: object, _succeeded: bool
    ) -> None:
        """Adds the header to a response."""
        resp.set_header(names.STORE_ERA, str(self.state.era))


class _Resource:
    """Base of the HTTP resources, which share one state and one set of faults."""

    __slots__ = ("faults", "state")

    def __init__(self, state: StoreState, faults: StoreFaults) -> None:
        self.state = state
        self.faults = faults


class _ItemResource(_Resource):
    __slots__ = ()

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the item of a key."""
        _raise_if_down(self.faults)
        item = self.state.read(req.get_param("key", required=True))
        if item is None:
            resp.status = falcon.HTTP_404
            return
        resp.media = {**_encode_change(item), "current-rev": self.state.revision}


class _RangeResource(_Resource):
    __slots__ = ()

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns one page of the items of a prefix."""
        _raise_if_down(self.faults)
        prefix = req.get_param("prefix", default="")
        items = self.state.range(prefix, req.get_param("after", default=""))
        resp.media = {
            "items": [_encode_change(item) for item in items[:MAX_ITEMS_PER_PAGE]],
            "has-more": len(items) > MAX_ITEMS_PER_PAGE,
            "current-rev": self.state.revision,
        }


class _WatchResource(_Resource):
    __slots__ = ()

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns changes after a revision as soon as there are any, none after ``wait-ms``.

        The status is 410 if some of these changes have been compacted, or the store has not reached
        the revision: it was restored from a copy.
        """
        prefix = req.get_param("prefix", default="")
        after = req.get_param_as_int("after", required=True)
        wait_seconds = req.get_param_as_int("wait-ms", required=True) / MILLISECONDS_PER_SECOND
        wait_ends_at = time.monotonic() + wait_seconds
        while True:
            _raise_if_down(self.faults)
            changes = self.state.changes(prefix, after)
            if changes is None:
                resp.status = falcon.HTTP_410
                return
            if changes or time.monotonic() >= wait_ends_at:
                break
            gevent.sleep(POLL_SECONDS)
        events = [_encode_change(change) for change in changes]
        resp.media = {"events": events, "current-rev": self.state.revision}


class _CommitResource(_Resource):
    __slots__ = ()

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Applies a commit.

        The status is 403 for keys that the daemons may only read, 404 for a lease that does not
        exist, and 412 if a key does not have the expected revision.
        """
        _raise_if_down(self.faults)
        commit = _decode_commit(req.get_media())
        written = (*(put.key for put in commit.puts), *commit.deletions)
        if any(key.startswith(DAEMON_READ_ONLY_PREFIXES) for key in written):
            resp.status = falcon.HTTP_403
            return
        try:
            resp.media = {"revision": self.state.commit(commit)}
        except ConditionFailedError as error:
            resp.status = falcon.HTTP_412
            resp.media = {"items": [_encode_change(item) for item in error.items]}
        except NoSuchLeaseError:
            resp.status = falcon.HTTP_404
        if self.faults.drops_replies:
            raise ConnectionResetError


class _LeaseResource(_Resource):
    __slots__ = ()

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Creates a lease."""
        _raise_if_down(self.faults)
        ttl_ms = req.get_media()["ttl-ms"]
        lease_id = self.state.create_lease(ttl_ms / MILLISECONDS_PER_SECOND)
        resp.media = {"lease": lease_id, "ttl-ms": ttl_ms}


class _LeaseRenewalResource(_Resource):
    __slots__ = ()

    def on_post(self, _req: falcon.Request, resp: falcon.Response, lease: str) -> None:
        """Renews a lease; 404 if it does not exist."""
        _raise_if_down(self.faults)
        seconds = self.state.renew_lease(int(lease))
        if seconds is None:
            resp.status = falcon.HTTP_404
            return
        resp.media = {"ttl-ms": int(seconds * MILLISECONDS_PER_SECOND)}


class _LeaseRevocationResource(_Resource):
    __slots__ = ()

    def on_delete(self, _req: falcon.Request, _resp: falcon.Response, lease: str) -> None:
        """Revokes a lease, which deletes its keys."""
        _raise_if_down(self.faults)
        self.state.revoke_lease(int(lease))


def make_store_application(state: StoreState, faults: StoreFaults) -> Any:
    """Returns the WSGI application of the stand-in of the store."""
    application = falcon.App(middleware=[_EraHeader(state)])
    application.add_route(names.STORE_ITEM_PATH, _ItemResource(state, faults))
    application.add_route(names.STORE_RANGE_PATH, _RangeResource(state, faults))
    application.add_route(names.STORE_WATCH_PATH, _WatchResource(state, faults))
    application.add_route(names.STORE_COMMIT_PATH, _CommitResource(state, faults))
    application.add_route(names.STORE_LEASE_PATH, _LeaseResource(state, faults))
    application.add_route(
        f"{names.STORE_RENEW_PATH}{{lease}}", _LeaseRenewalResource(state, faults)
    )
    revocation_path = f"{names.STORE_LEASE_END_PATH}{{lease}}"
    application.add_route(revocation_path, _LeaseRevocationResource(state, faults))
    return application


def restore_store(state: StoreState, faults: StoreFaults, seconds_old: float) -> None:
    """Takes the store away, restores it from a copy, and has what is lost written again.

    Returns when operators and servers have written their values again.
    """
    faults.down = True
    gevent.sleep(RESTORE_OUTAGE_SECONDS)
    state.restore(seconds_old)
    faults.down = False
    gevent.sleep(WRITE_AGAIN_SECONDS)
    state.write_again()


def _raise_if_down(faults: StoreFaults) -> None:
    if faults.down:
        raise falcon.HTTPServiceUnavailable


def _encode_change(change: Change) -> dict[str, object]:
    if not isinstance(change, Item):
        return {"key": change.key, "revision": change.revision, "removed": True}
    return {
        "key": change.key,
        "value": base64.b64encode(change.value).decode(),
        "revision": change.revision,
        "created": change.revision,
        "lease": change.lease_id,
    }


def _decode_commit(body: Any) -> Commit:
    return Commit(
        expected_revisions=tuple((row["key"], row["revision"]) for row in body["expected"]),
        puts=tuple(
            Put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in body["puts"]
        ),
        deletions=tuple(body["delete"]),
    )


def encode_json(value: object) -> bytes:
    """Returns a value as JSON, the format in which the operators and the servers write items."""
    return json.dumps(value).encode()
