"""The stand-in of the store as a process of its own, and a client of what only it offers.

The platform's interface does not let a system write the items of operators and servers. The
stand-ins do so over one more resource, ``CONTROL_PATH``.
"""

import json
from typing import Any

import falcon
import gevent

from fireflylink_core import BaseClock
from fireflylink_http_client import ExchangeError, HttpConnection, encode_request
from fireflylink_standins import BaseLeaseStore, StoreFaults, StoreState, restore_store
from fireflylink_store import Commit, Put

CONTROL_PATH = "/standin/control"
CALL_TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.2


class ControlResource:
    """Writes items for operators and servers, and switches faults of the store on and off."""

    __slots__ = ("faults", "state")

    def __init__(self, state: StoreState, faults: StoreFaults) -> None:
        self.state = state
        self.faults = faults

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Carries out one action; the body names it and its arguments."""
        body = req.get_media()
        resp.media = {"result": self._carry_out(body["action"], body)}

    def _carry_out(self, action: str, body: dict[str, Any]) -> object:
        if action == "faults":
            self.faults.down = body["down"]
            self.faults.drops_replies = body["drops_replies"]
            return None
        if action == "compact":
            self.state.compact()
            return None
        if action == "restore":
            restore_store(self.state, self.faults, body["seconds"])
            return None
        if action == "revoke-daemon-leases":
            return self._revoke_leases_of_daemons()
        if self.faults.down:
            raise falcon.HTTPServiceUnavailable
        if action == "create-lease":
            return self.state.create_lease(body["seconds"])
        if action == "renew-lease":
            return self.state.renew_lease(body["lease"])
        puts = tuple(Put(key, value.encode(), body["lease"]) for key, value in body["puts"].items())
        return self.state.commit(Commit(puts=puts, deletions=tuple(body["deletions"])))

    def _revoke_leases_of_daemons(self) -> int:
        leases = {item.lease_id for item in self.state.range("fireflylink/") if item.lease_id}
        for lease_id in leases:
            self.state.revoke_lease(lease_id)
        return len(leases)


class RemoteStore(BaseLeaseStore):
    """What ``BackendServerStandin`` needs of the store, over HTTP to another process.

    A server that does not reach the store serves on: writes are repeated until they succeed, and a
    renewal that fails counts as done, so that the lease runs out if the store stays away. The puts
    of a commit share one lease.
    """

    __slots__ = ("clock", "port")

    def __init__(self, port: int, clock: BaseClock) -> None:
        self.port = port
        self.clock = clock

    def create_lease(self, ttl_seconds: float) -> int:
        return int(self._repeat({"action": "create-lease", "seconds": ttl_seconds}))

    def renew_lease(self, lease_id: int) -> float | None:
        try:
            result = self.call({"action": "renew-lease", "lease": lease_id})
        except ExchangeError:
            return CALL_TIMEOUT_SECONDS
        return None if result is None else float(result)

    def commit(self, commit: Commit) -> int:
        lease_id = commit.puts[0].lease_id if commit.puts else 0
        puts = {put.key: put.value.decode() for put in commit.puts}
        deletions = list(commit.deletions)
        body = {"action": "commit", "lease": lease_id, "puts": puts, "deletions": deletions}
        return int(self._repeat(body))

    def call(self, body: dict[str, Any]) -> Any:
        """Returns the result of one action; raises ``ExchangeError`` if there is none."""
        connection = HttpConnection(self.clock)
        deadline = self.clock.now() + CALL_TIMEOUT_SECONDS
        headers = (("Host", "store"), ("Content-Type", "application/json"))
        request = encode_request("POST", CONTROL_PATH, headers, json.dumps(body).encode())
        try:
            connection.connect("127.0.0.1", self.port, deadline)
            response, _ = connection.exchange(request, "POST", deadline)
        finally:
            connection.close()
        if response.status != 200:
            raise ExchangeError(f"status {response.status}")
        return json.loads(response.body)["result"]

    def _repeat(self, body: dict[str, Any]) -> Any:
        while True:
            try:
                return self.call(body)
            except ExchangeError:
                gevent.sleep(RETRY_SECONDS)
