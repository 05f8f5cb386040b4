"""A server for ``turns``, whose answers come after 20 ms or have no end. Prints its port.

Ends with the process that started it.
"""

import socket
import sys
import threading
import time

from absl import flags

ENDLESS = flags.DEFINE_bool("endless", False, "Whether answers have no end.")

ANSWER_SECONDS = 0.02
READ_BYTES = 65536
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + b"x" * 200
ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_BLOCK = b"2\r\n.\n\r\n" * 9000


def _accept(listener: socket.socket) -> None:
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=_serve, args=(sock,), daemon=True).start()


def _serve(sock: socket.socket) -> None:
    try:
        while sock.recv(READ_BYTES):
            if ENDLESS.value:
                sock.sendall(ENDLESS_HEAD)
                while True:
                    sock.sendall(ENDLESS_BLOCK)
            time.sleep(ANSWER_SECONDS)
            sock.sendall(ANSWER)
    except OSError:
        sock.close()


def main() -> None:
    """Serves until standard input ends."""
    flags.FLAGS(sys.argv)
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    threading.Thread(target=_accept, args=(listener,), daemon=True).start()
    print(listener.getsockname()[1], flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main()
