"""HTTP server of the stand-ins: pywsgi with access to its connections."""

import errno
import socket as standard_socket
import struct
from collections.abc import Callable, Iterable
from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from fireflylink_standins._request_headers import RequestHeaders

CONNECTION_KEY = "fireflylink.connection"
LISTEN_BACKLOG = 512
RECEIVE_BYTES = 65536

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class StandinHandler(WSGIHandler):  # type: ignore[misc]
    """One connection of a stand-in server."""

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        super().__init__(sock, address, server)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.silent = False
        self.was_reset = False

    def MessageClass(self, stream: Any, _seekable: int) -> RequestHeaders:  # noqa: N802
        """Reads the headers of a request; the name is pywsgi's."""
        return RequestHeaders(stream)

    def handle(self) -> None:
        self.server.connections.add(self)
        try:
            if not self.server.admit(len(self.server.connections)):
                self.reset()
            super().handle()
        finally:
            self.server.connections.discard(self)

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[CONNECTION_KEY] = self
        return environ

    def log_request(self) -> None:
        """Writes nothing: a line for each request would slow down load tests."""

    def _write_with_headers(self, data: bytes) -> None:
        """Sends head and body with one call, so that a small answer is one segment."""
        self.headers_sent = True
        self.finalize_headers()
        head = [b"HTTP/1.1 ", self.status, b"\r\n"]
        for name, value in self.response_headers:
            head += (name, b": ", value, b"\r\n")
        head.append(b"\r\n")
        if not self.response_use_chunked:
            head.append(data)
            self._sendall(b"".join(head))
            return
        self._sendall(b"".join(head))
        self._write(data)

    def wait_for_close(self, timeout: float | None) -> bool:
        """Waits until the peer closes the connection; False when ``timeout`` seconds pass first.

        Raises ``ConnectionResetError`` when the stand-in closes the connection itself.
        """
        if timeout is not None and timeout <= 0:
            return False
        sock = self.socket
        sock.settimeout(timeout)
        try:
            return not sock.recv(1, standard_socket.MSG_PEEK)
        except TimeoutError:
            return False
        except OSError as error:
            raise dropped_connection() from error
        finally:
            if not sock.closed:
                sock.settimeout(None)

    def hang(self) -> None:
        """Reads and never answers, until the connection is closed."""
        try:
            while self.socket.recv(RECEIVE_BYTES):
                pass
        except OSError:
            pass
        raise dropped_connection()

    def reset(self) -> None:
        """Makes the connection end with a TCP reset, as the end of the process would.

        The shutdown sends nothing; it wakes the greenlet of the connection, which closes it.
        """
        self.was_reset = True
        sock = self.__dict__.get("socket")
        if sock is None or sock.closed:
            return
        linger = struct.pack("ii", 1, 0)
        try:
            sock.setsockopt(standard_socket.SOL_SOCKET, standard_socket.SO_LINGER, linger)
            sock.shutdown(standard_socket.SHUT_RD)
        except OSError:
            return


class StandinServer:
    """A listener on a fixed port that can be closed and opened again.

    ``admit`` is called with the number of open connections, the new one included; when it returns
    False the new connection is reset.

    A second socket, which never listens, stays bound to the port: connections are refused while the
    listener is closed, and no other process can take the port.
    """

    __slots__ = (
        "admit",
        "application",
        "closed",
        "connections",
        "host",
        "placeholder",
        "port",
        "wsgi",
    )

    def __init__(
        self,
        application: WsgiApplication,
        host: str,
        port: int,
        admit: Callable[[int], bool] = lambda count: True,
    ) -> None:
        self.application = application
        self.host = host
        self.closed = False
        self.admit = admit
        self.connections: set[StandinHandler] = set()
        self.placeholder = _bound_socket(host, port)
        self.port: int = self.placeholder.getsockname()[1]
        self.wsgi: WSGIServer | None = None

    def open(self) -> None:
        """Starts to listen, unless the server was closed for good."""
        if self.wsgi is not None or self.closed:
            return
        listener = _bound_socket(self.host, self.port)
        listener.listen(LISTEN_BACKLOG)
        self.wsgi = WSGIServer(listener, self.application, handler_class=StandinHandler, log=None)
        self.wsgi.connections = self.connections
        self.wsgi.admit = self.admit
        self.wsgi.start()

    def stop_listening(self) -> None:
        """Closes the listener; new connections are refused."""
        if self.wsgi is not None:
            self.wsgi.close()
            self.wsgi = None

    def reset_connections(self) -> None:
        """Closes every connection with a TCP reset."""
        for connection in tuple(self.connections):
            connection.reset()

    def close(self) -> None:
        """Closes the listener, its connections and the port."""
        self.closed = True
        self.stop_listening()
        self.reset_connections()
        self.placeholder.close()


def dropped_connection() -> ConnectionResetError:
    """Returns the error that makes pywsgi close a connection without an answer."""
    return ConnectionResetError(errno.ECONNRESET, "dropped by the stand-in")


def _bound_socket(host: str, port: int) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(standard_socket.SOL_SOCKET, standard_socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    return bound
