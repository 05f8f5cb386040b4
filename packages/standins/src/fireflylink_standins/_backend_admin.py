"""Admin endpoint of the backend stand-ins of one process."""

import json
from collections.abc import Sequence
from typing import Any

import falcon

from fireflylink_standins._backend_faults import fault_from_document
from fireflylink_standins._backend_server import BackendStandin
from fireflylink_standins._http_server import StandinServer

JOURNAL_PAGE = 20_000


class BackendAdmin:
    """Faults, journals and counts on a port of its own, which no fault affects.

    Every call takes ``?server=<server_id>``; without it a fault goes to all servers and a journal
    or count covers all of them.
    """

    __slots__ = ("server", "standins")

    def __init__(
        self, standins: Sequence[BackendStandin], host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.standins = {standin.settings.server_id: standin for standin in standins}
        application = falcon.App()
        application.add_route("/admin/faults", BackendFaultsResource(self))
        application.add_route("/admin/journal", JournalResource(self))
        application.add_route("/admin/counts", BackendCountsResource(self))
        self.server = StandinServer(application, host, port)

    @property
    def port(self) -> int:
        """The port that the endpoint listens on."""
        return self.server.port

    def start(self) -> None:
        """Starts to listen."""
        self.server.open()

    def stop(self) -> None:
        """Closes the listener and every connection."""
        self.server.close()

    def selected(self, request: falcon.Request) -> list[BackendStandin]:
        """Returns the servers that a call concerns."""
        server_id = request.get_param("server")
        if server_id is None:
            return list(self.standins.values())
        if server_id not in self.standins:
            raise falcon.HTTPNotFound(title=f"no server {server_id}")
        return [self.standins[server_id]]


class BaseAdminResource:
    """A resource of the admin endpoint."""

    __slots__ = ("admin",)

    def __init__(self, admin: BackendAdmin) -> None:
        self.admin = admin


class BackendFaultsResource(BaseAdminResource):
    """Puts a fault in force."""

    __slots__ = ()

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        try:
            fault = fault_from_document(request.get_media())
        except (KeyError, TypeError) as error:
            raise falcon.HTTPBadRequest(title=f"no such fault: {error}") from error
        for standin in self.admin.selected(request):
            standin.apply(fault)
        response.data = b"{}"


class JournalResource(BaseAdminResource):
    """Returns executed requests, from positions that an earlier reply returned."""

    __slots__ = ()

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        after = json.loads(request.get_param("after", default="{}"))
        reply: dict[str, Any] = {"entries": [], "next": {}, "dropped": 0, "violations": {}}
        for standin in self.admin.selected(request):
            _add_journal(reply, standin, int(after.get(standin.settings.server_id, 0)))
        response.data = json.dumps(reply).encode()


class BackendCountsResource(BaseAdminResource):
    """Returns counts by server."""

    __slots__ = ()

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        counts = {
            standin.settings.server_id: _counts_of(standin)
            for standin in self.admin.selected(request)
        }
        response.data = json.dumps(counts).encode()


def _add_journal(reply: dict[str, Any], standin: BackendStandin, after: int) -> None:
    journal = standin.state.journal
    server_id = standin.settings.server_id
    entries = journal.since(after)[:JOURNAL_PAGE]
    reply["entries"] += [entry.as_document() for entry in entries]
    reply["next"][server_id] = max(after, journal.dropped) + len(entries)
    reply["dropped"] += journal.dropped
    for kind, count in journal.violations.items():
        reply["violations"][kind] = reply["violations"].get(kind, 0) + count


def _counts_of(standin: BackendStandin) -> dict[str, Any]:
    state = standin.state
    return {
        "executed": state.journal.next_position,
        "in_flight": len(state.in_flight),
        "connections": len(standin.server.connections),
        "generation": state.generation,
        "state": state.warmth(),
        "violations": dict(state.journal.violations),
    }
