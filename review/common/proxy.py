"""A loopback proxy that passes bytes on until it is cut, then holds them, as a silent partition.

When the cut heals, the connections of before are reset, and what was held is lost.
"""

import socket
import struct
import threading


class Proxy:
    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.passing = threading.Event()
        self.passing.set()
        self.lock = threading.Lock()
        self.sockets: set[socket.socket] = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        self.passing.clear()

    def heal(self) -> None:
        with self.lock:
            old, self.sockets = self.sockets, set()
        for sock in old:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
            except OSError:
                pass
        self.passing.set()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self._connect, args=(sock,), daemon=True).start()

    def _connect(self, sock: socket.socket) -> None:
        with self.lock:
            self.sockets.add(sock)
        if not self.passing.is_set():
            return  # Held until the cut heals, then reset.
        try:
            other = socket.create_connection(self.target)
        except OSError:
            sock.close()
            return
        for end in (sock, other):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.sockets.add(other)
        threading.Thread(target=self._pass, args=(other, sock), daemon=True).start()
        self._pass(sock, other)

    def _pass(self, source: socket.socket, target: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                if not self.passing.is_set():
                    return  # Lost; the connection stays open and silent until the cut heals.
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, target):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
