"""A loopback proxy for TCP that harms the connections through it."""

from typing import Any

import gevent
from gevent import socket

from fireflylink_http_client import ResponseReader
from fireflylink_standins import COMMAND_PATHS, LATE_HEADER

READ_SIZE_BYTES = 65536


class EdgeFault:
    """What a proxy does to the bytes that pass it; the default passes them on unchanged.

    ``delay_seconds`` applies to each read. ``drops_to_target`` and ``drops_to_caller`` swallow what
    flows in that direction. ``truncates_answers`` passes on half of a read from the target and then
    resets the connection. ``repeats_answers`` writes each answer a second time, ``repeat_after``
    seconds later; ``repeats_before_next`` writes it when the next answer on the connection begins.
    ``refuses`` resets new connections, and ``connects_after`` holds them up for so many seconds.
    With ``late_seconds``, every second command of the decider gets no answer and is carried out so
    much later.
    """

    __slots__ = (
        "connects_after",
        "delay_seconds",
        "drops_to_caller",
        "drops_to_target",
        "late_seconds",
        "refuses",
        "repeat_after",
        "repeats_answers",
        "repeats_before_next",
        "truncates_answers",
    )

    def __init__(
        self,
        delay_seconds: float = 0.0,
        drops_to_target: bool = False,
        drops_to_caller: bool = False,
        truncates_answers: bool = False,
        repeats_answers: bool = False,
        repeat_after: float = 0.0,
        repeats_before_next: bool = False,
        refuses: bool = False,
        connects_after: float = 0.0,
        late_seconds: float = 0.0,
    ) -> None:
        self.connects_after = connects_after
        self.late_seconds = late_seconds
        self.repeats_before_next = repeats_before_next
        self.delay_seconds = delay_seconds
        self.drops_to_target = drops_to_target
        self.drops_to_caller = drops_to_caller
        self.truncates_answers = truncates_answers
        self.repeats_answers = repeats_answers
        self.repeat_after = repeat_after
        self.refuses = refuses


class _AnswerCollector:
    """Puts the bytes of whole answers together; ``last`` is the last one that is complete."""

    __slots__ = ("last", "pending", "reader")

    def __init__(self) -> None:
        self.last = b""
        self.pending = b""
        self.reader = ResponseReader("GET")

    def add(self, data: bytes) -> bool:
        """Adds bytes; returns whether an answer is complete with them."""
        self.pending += data
        self.reader.feed(data)
        if self.reader.next_response() is None:
            return False
        self.last, self.pending = self.pending, b""
        return True


class Proxy:
    """Listens on one port and passes connections on to another one, subject to ``fault``.

    Example::

        proxy = Proxy(listen_port, target_port)
        proxy.fault = EdgeFault(delay_seconds=0.3)
    """

    __slots__ = ("commands", "connections", "fault", "greenlet", "listener", "target_port")

    def __init__(self, listen_port: int, target_port: int) -> None:
        self.target_port = target_port
        self.fault = EdgeFault()
        self.commands = 0
        self.connections: set[Any] = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", listen_port))
        self.listener.listen(256)
        self.greenlet = gevent.spawn(self._accept)

    def reset_connections(self) -> None:
        """Resets every open connection."""
        for sock in list(self.connections):
            _reset(sock)

    def close(self) -> None:
        """Stops the proxy and resets its connections."""
        self.greenlet.kill(block=False)
        self.listener.close()
        self.reset_connections()

    def _accept(self) -> None:
        while True:
            caller, _ = self.listener.accept()
            if self.fault.refuses:
                _reset(caller)
                continue
            gevent.spawn(self._connect, caller)

    def _connect(self, caller: Any) -> None:
        if self.fault.connects_after:
            gevent.sleep(self.fault.connects_after)
        target = socket.socket()
        try:
            target.connect(("127.0.0.1", self.target_port))
        except OSError:
            # The target is not running: the caller sees what it would see without the proxy.
            _reset(caller)
            return
        for sock in (caller, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(sock)
        directions = [
            gevent.spawn(self._pass_on, caller, target, False),
            gevent.spawn(self._pass_on, target, caller, True),
        ]
        gevent.joinall(directions)
        for sock in (caller, target):
            self.connections.discard(sock)
            sock.close()

    def _pass_on(self, source: Any, sink: Any, to_caller: bool) -> None:
        answers = _AnswerCollector()
        try:
            while data := source.recv(READ_SIZE_BYTES):
                if to_caller:
                    self._pass_answer(data, sink, answers)
                else:
                    self._pass_data(self._delay_command(data), sink, self.fault.drops_to_target)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One side has reset the connection, or this proxy has: the other side is told.
            _reset(source)
            _reset(sink)

    def _delay_command(self, data: bytes) -> bytes:
        """Returns what a caller has sent, marked if it is a command to be carried out late."""
        head, end_of_line, rest = data.partition(b"\r\n")
        is_command = any(path.encode() in head for path in COMMAND_PATHS)
        self.commands += is_command
        if not self.fault.late_seconds or not is_command or self.commands % 2 == 0:
            return data
        mark = f"{LATE_HEADER}: {self.fault.late_seconds:.3f}".encode()
        return head + end_of_line + mark + end_of_line + rest

    def _pass_answer(self, data: bytes, sink: Any, answers: _AnswerCollector) -> None:
        fault = self.fault
        if fault.truncates_answers:
            sink.sendall(data[: len(data) // 2])
            raise OSError("truncated on purpose")
        if fault.repeats_before_next and not answers.pending and answers.last:
            sink.sendall(answers.last)
        is_complete = answers.add(data)
        self._pass_data(data, sink, fault.drops_to_caller)
        if is_complete and fault.repeats_answers:
            gevent.sleep(fault.repeat_after)
            sink.sendall(answers.last)

    def _pass_data(self, data: bytes, sink: Any, is_dropped: bool) -> None:
        if self.fault.delay_seconds:
            gevent.sleep(self.fault.delay_seconds)
        if not is_dropped:
            sink.sendall(data)


def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    except OSError:
        # The socket is closed already.
        return
    finally:
        sock.close()
