"""Connections of a simulated gateway to one server."""

from fireflylink_experiments.requests._fake_server import FakeServer


class FakeConnection:
    """A connection to a process of a server; a silent one delivers nothing in either direction."""

    __slots__ = ("generation", "idle_since", "process", "silent")

    def __init__(self, process: int) -> None:
        self.process = process
        self.generation = ""
        self.idle_since = 0.0
        self.silent = False


class FakePool:
    """Keeps idle connections, the last used first, and bounds the open ones."""

    __slots__ = ("idle", "limit", "open_connections", "server")

    def __init__(self, server: FakeServer, limit: int) -> None:
        self.server = server
        self.limit = limit
        self.idle: list[FakeConnection] = []
        self.open_connections: set[FakeConnection] = set()

    def take(self) -> FakeConnection | None:
        """Returns an idle connection, or None when one has to be opened."""
        while self.idle:
            connection = self.idle.pop()
            if connection.silent or connection.process == self.server.process:
                return connection
            self.open_connections.discard(connection)
        return None

    def open(self) -> FakeConnection | None:
        """Opens a connection, or returns None at the limit or when the server refuses it."""
        if len(self.open_connections) >= self.limit or self.server.down:
            return None
        connection = FakeConnection(self.server.process)
        self.open_connections.add(connection)
        return connection

    def give_back(self, connection: FakeConnection, now: float) -> None:
        """Keeps a connection for the next request."""
        connection.idle_since = now
        self.idle.append(connection)

    def close(self, connection: FakeConnection) -> None:
        """Closes a connection."""
        self.open_connections.discard(connection)

    def silence(self, share: float) -> None:
        """Makes a share of the open connections silent for good."""
        chosen = sorted(self.open_connections, key=lambda c: (c.idle_since, c.process))
        for connection in chosen[: int(len(chosen) * share + 0.5)]:
            connection.silent = True
