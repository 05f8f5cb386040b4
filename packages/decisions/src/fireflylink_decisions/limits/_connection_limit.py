"""Bound of the connections to one backend server."""


class ConnectionLimit:
    """Counts the connections to one server against the number that the server accepts.

    A connection that was found dead counts until it is closed: until then the server may still
    hold its end, and opening another would exceed the server's limit.
    """

    __slots__ = ("dead", "limit", "opened")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.opened = 0
        self.dead = 0

    @property
    def may_open(self) -> bool:
        """Whether one more connection stays within the server's limit."""
        return self.opened < self.limit

    @property
    def usable(self) -> int:
        """How many requests can have a connection of their own."""
        return self.limit - self.dead

    def open(self) -> bool:
        """Counts a new connection, or returns False when the limit is reached."""
        if self.opened >= self.limit:
            return False
        self.opened += 1
        return True

    def mark_dead(self) -> None:
        """Notes that an open connection no longer answers."""
        if self.dead < self.opened:
            self.dead += 1

    def close(self, was_dead: bool = False) -> None:
        """Stops counting a connection that was closed at this end."""
        self.opened = max(0, self.opened - 1)
        if was_dead:
            self.dead = max(0, self.dead - 1)
        self.dead = min(self.dead, self.opened)
