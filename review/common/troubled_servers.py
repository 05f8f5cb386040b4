"""Servers of one service in a process of their own, some of whose answers have no end.

While trouble is on, a share of the answers is a head and then bytes without end, until the caller
closes. All else is as a sound server does it. Prints the ports, then obeys lines on standard input:
``trouble on``, ``trouble off``, ``ran`` (prints what was run), ``quit``.
"""

import email.parser
import json
import random
import socket
import sys
import threading
import time

from fireflylink_core import KeyRange, SystemClock
from fireflylink_standins import GrantState

SEND_BYTES = 65536


class TroubledServer:
    """One server; ``piece`` is what its endless answers repeat, ``rate`` bytes a second of it."""

    def __init__(self, options: dict, server_id: str) -> None:
        self.options = options
        self.id = server_id
        self.trouble = False
        self.state = GrantState(SystemClock())
        self.lock = threading.Lock()
        self.running = 0
        self.ran: list[str] = []
        self.endless: list[str] = []
        self.random = random.Random(server_id)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.settimeout(10.0)
        stream = sock.makefile("rb")
        try:
            while self._serve_one(sock, stream):
                pass
        except OSError:
            pass
        finally:
            stream.close()
            sock.close()

    def _serve_one(self, sock: socket.socket, stream) -> bool:
        line = stream.readline()
        if not line:
            return False
        method, target, _ = line.decode().split(" ", 2)
        head = b""
        while (line := stream.readline()) not in (b"\r\n", b""):
            head += line
        headers = email.parser.BytesParser().parsebytes(head)
        body = stream.read(int(headers.get("Content-Length", 0)))
        request_id = headers.get("Request-Id", "")
        extra = f"Request-Id: {request_id}\r\nServer-Load: {self.running},0,4,100\r\n"
        if headers.get("Target-Instance", self.id) != self.id:
            self._answer(sock, 421, extra + "Not-Executed: 1\r\n")
        elif target.startswith("/api/"):
            self._command(sock, target, json.loads(body), extra)
        else:
            return self._run(sock, request_id, headers, extra)
        return True

    def _command(self, sock, target: str, body: dict, extra: str) -> None:
        keys = KeyRange(body["from"], body["to"])
        with self.lock:
            if target == "/api/grant":
                held = self.state.grant(keys, body["fence"], body["hold-ms"] / 1000.0)
                status = 200 if held else 409
            else:
                token = self.state.release(keys, body["fence"])
                extra += f"Handover: {token}\r\n"
                status = 200
        self._answer(sock, status, extra)

    def _run(self, sock, request_id: str, headers, extra: str) -> bool:
        with self.lock:
            held = self.state.holds_key(int(headers.get("Shard-Key", -1)))
        if self.options["keyed"] and not held:
            self._answer(sock, 421, extra + "Not-Executed: 1\r\n")
            return True
        self.ran.append(request_id)
        self.running += 1
        time.sleep(self.random.uniform(0.5, 1.5) * self.options["mean_seconds"])
        self.running -= 1
        if self.trouble and self.random.random() < self.options["share"]:
            self.endless.append(request_id)
            self._answer_without_end(sock, extra)
            return False
        body = b"%b %b" % (self.id.encode(), request_id.encode())
        self._answer(sock, 200, extra + f"Server-Signature: {self.id}.{request_id}\r\n", body)
        return True

    def _answer(self, sock, status: int, extra: str, body: bytes = b"") -> None:
        head = f"HTTP/1.1 {status} Status\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)

    def _answer_without_end(self, sock, extra: str) -> None:
        # No signature, no end: bytes that are no answer.
        chunked = self.options["chunked"]
        framing = "Transfer-Encoding: chunked\r\n" if chunked else ""
        sock.sendall(f"HTTP/1.1 200 Status\r\n{extra}{framing}\r\n".encode())
        piece = self.options["piece"].encode()
        if chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        block = piece * max(1, SEND_BYTES // len(piece))
        started = time.monotonic()
        count = 0
        # The caller closes; the loop ends by itself after 20 s whatever it does.
        while time.monotonic() < started + 20.0:
            sock.sendall(block)
            count += len(block)
            ahead = count / self.options["bytes_per_second"] - (time.monotonic() - started)
            if ahead > 0:
                time.sleep(ahead)


def main() -> None:
    options = json.loads(sys.argv[1])
    servers = [TroubledServer(options, server_id) for server_id in options["ids"]]
    print(json.dumps({server.id: server.port for server in servers}), flush=True)
    for line in sys.stdin:
        command = line.strip()
        if command == "quit":
            return
        if command == "ran":
            ran = {s.id: {"ran": s.ran, "endless": s.endless} for s in servers}
            print(json.dumps(ran), flush=True)
        else:
            for server in servers:
                server.trouble = command == "trouble on"


if __name__ == "__main__":
    main()
