"""One server of the keyed service, in a process of its own that can be killed and started again.

Its life knows nothing of an earlier one under the same id. It writes what it does to a log, one
line for each event, with the time of the monotonic clock, and prints "listening" when it is up.
Arguments: id, port (0: any), the log's path.
"""

import email.parser
import json
import os
import socket
import sys
import threading
import time


class Keys:
    """The keys that are held, and the highest fences that were seen."""

    def __init__(self) -> None:
        self.seen: list[tuple[int, int, int]] = []
        self.held: list[tuple[int, int, float]] = []

    def grant(self, first: int, last: int, fence: int, seconds: float) -> bool:
        if any(f > fence and a <= last and b >= first for a, b, f in self.seen):
            return False
        self._see(first, last, fence)
        self._cut(first, last)
        self.held.append((first, last, time.monotonic() + seconds))
        return True

    def release(self, first: int, last: int, fence: int) -> None:
        self._see(first, last, fence)
        self._cut(first, last)

    def holds(self, key: int) -> bool:
        now = time.monotonic()
        return any(a <= key <= b and now < until for a, b, until in self.held)

    def _see(self, first: int, last: int, fence: int) -> None:
        self.seen = [s for s in self.seen if (s[0], s[1]) != (first, last) or s[2] > fence]
        self.seen.append((first, last, fence))

    def _cut(self, first: int, last: int) -> None:
        rest = []
        for a, b, until in self.held:
            if a < first:
                rest.append((a, min(b, first - 1), until))
            if b > last:
                rest.append((max(a, last + 1), b, until))
        self.held = [part for part in rest if part[0] <= part[1]]


class Holder:
    def __init__(self, server_id: str, port: int, log_path: str) -> None:
        self.id = server_id
        self.keys = Keys()
        self.lock = threading.Lock()
        self.log = open(log_path, "a", buffering=1)
        self.tokens = 0
        self.delay_seconds = 0.0
        self.listener = socket.create_server(("127.0.0.1", port), backlog=128)
        self.note("up", 0, 65535, 0, 0.0)

    def note(self, what: str, first: int, last: int, fence: int, seconds: float) -> None:
        self.log.write(
            f"{time.monotonic():.6f} {self.id} {os.getpid()} {what} {first} {last} {fence} "
            f"{seconds}\n"
        )

    def accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        sock.settimeout(10.0)
        stream = sock.makefile("rb")
        try:
            while self.serve_one(sock, stream):
                pass
        except OSError:
            pass
        finally:
            stream.close()
            sock.close()

    def serve_one(self, sock, stream) -> bool:
        line = stream.readline()
        if not line:
            return False
        target = line.decode().split(" ")[1]
        head = b""
        while (line := stream.readline()) not in (b"\r\n", b""):
            head += line
        time.sleep(self.delay_seconds)
        headers = email.parser.BytesParser().parsebytes(head)
        body = stream.read(int(headers.get("Content-Length", 0)))
        request_id = headers.get("Request-Id", "")
        extra = f"Request-Id: {request_id}\r\nServer-Load: 0,0,4,100\r\n"
        if headers.get("Target-Instance", self.id) != self.id:
            self.answer(sock, 421, extra + "Not-Executed: 1\r\n")
        elif target.startswith("/api/"):
            self.command(sock, target, json.loads(body), extra)
        else:
            self.run(sock, request_id, int(headers.get("Shard-Key", -1)), extra)
        return True

    def command(self, sock, target: str, body: dict, extra: str) -> None:
        first, last, fence = body["from"], body["to"], body["fence"]
        with self.lock:
            if target == "/api/release":
                self.keys.release(first, last, fence)
                self.tokens += 1
                self.note("released", first, last, fence, 0.0)
                extra += f"Handover: {os.getpid()}-{self.tokens}\r\n"
                status = 200
            else:
                seconds = body["hold-ms"] / 1000.0
                accepted = self.keys.grant(first, last, fence, seconds)
                what = "granted" if accepted else "refused"
                self.note(what, first, last, fence, seconds)
                status = 200 if accepted else 409
        self.answer(sock, status, extra)

    def run(self, sock, request_id: str, key: int, extra: str) -> None:
        with self.lock:
            held = self.keys.holds(key)
        if not held:
            self.answer(sock, 421, extra + "Not-Executed: 1\r\n")
            return
        self.note("ran", key, key, 0, 0.0)
        time.sleep(0.02)
        signature = f"Server-Signature: {self.id}.{request_id}\r\n"
        self.answer(sock, 200, extra + signature, f"{self.id} {request_id}".encode())

    def answer(self, sock, status: int, extra: str, body: bytes = b"") -> None:
        time.sleep(self.delay_seconds)
        head = f"HTTP/1.1 {status} Status\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)


def main() -> None:
    holder = Holder(sys.argv[1], int(sys.argv[2]), sys.argv[3])
    print(holder.listener.getsockname()[1], flush=True)
    threading.Thread(target=holder.accept, daemon=True).start()
    # Each line is the delay of what arrives and what is sent, in seconds. Ends with the process
    # that started it.
    for line in sys.stdin:
        holder.delay_seconds = float(line)


if __name__ == "__main__":
    main()
