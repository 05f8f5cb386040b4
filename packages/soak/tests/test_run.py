"""A short run of the soak, and its proxies on real sockets."""

import signal
import subprocess
import sys

import gevent
import pytest
from gevent import socket
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from fireflylink_core import SystemClock
from fireflylink_soak import (
    CalmPeriod,
    DatagramFault,
    DatagramProxy,
    EdgeFault,
    Proxy,
    SoakRun,
    SoakSystem,
    check_all,
)
from fireflylink_soak._callers import Callers
from fireflylink_standins import COMMAND_PATHS, LATE_HEADER

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
RECEIVE_SECONDS = 2.0


def test_a_short_run_breaks_no_promise(tmp_path):
    """Guards against promises that are broken when faults of processes and networks overlap."""
    result = SoakRun(tmp_path, SystemClock(), seed=2).play(seconds=5.0, daemons=3)
    shown = [str(violation) for violation in result.violations]
    assert_that(shown, Equals([]), "\n".join([*result.trace, *shown]))
    assert_that(result.faults, GreaterThan(1))
    assert_that(result.runs, GreaterThan(100))


def test_a_planned_stop_drops_no_request_that_was_sent_ahead(tmp_path):
    """Guards against requests that a daemon has read behind others and drops at its stop (review/4;
    the listed failure of seed 2): with 1 in 20 draws sent ahead, a stop rarely meets them."""
    run = SoakRun(tmp_path, SystemClock(), seed=2, sent_ahead_fraction=0.5)
    result = run.play(seconds=1.0, daemons=3)
    shown = [str(violation) for violation in result.violations]
    assert_that(shown, Equals([]), "\n".join([*result.trace, *shown]))


class DroppingSystem:
    """Stands in for the system: its only daemon answers the first of the requests on a connection
    and drops the others."""

    def __init__(self) -> None:
        self.daemons = [self]
        self.pid = 77
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(4)
        self.greenlet = gevent.spawn(self._serve)

    def _serve(self) -> None:
        accepted, _ = self.listener.accept()
        accepted.recv(65536)
        gevent.sleep(0.3)
        accepted.sendall(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        accepted.close()


@pytest.fixture
def dropping_system():
    system = DroppingSystem()
    yield system
    system.greenlet.kill()
    system.listener.close()


def test_requests_that_are_dropped_behind_others_are_reported(dropping_system):
    """Guards against callers that send ahead and do not see a planted drop."""
    clock = SystemClock()
    callers = Callers(dropping_system, clock, 1)
    starts_at = clock.now()
    replies = callers.send_ahead(dropping_system.listener.getsockname()[1], 0)
    calm = CalmPeriod(starts_at, clock.now(), starts_at, frozenset())
    promises = [violation.promise for violation in check_all(replies, [], calm)]
    assert_that(promises, Equals(["planned stop"] * 2))


def test_a_short_run_that_moves_keys_breaks_no_promise(tmp_path):
    """Guards against two owners when keys move beside slow work and commands that are lost, late or
    answered twice, and while servers restart under their ids."""
    result = SoakRun(tmp_path, SystemClock(), seed=3, moves=True).play(
        seconds=12.0, daemons=2, keyed=5, pooled=1
    )
    shown = [str(violation) for violation in result.violations]
    assert_that(shown, Equals([]), "\n".join([*result.trace, *shown]))
    assert_that(result.moves, GreaterThan(5))
    assert_that(result.events["released"], GreaterThan(5))


@pytest.fixture
def answering_target():
    """Answers each request with ``ANSWER`` and the request, the head and the body apart."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(4)

    def serve() -> None:
        while True:
            accepted, _ = listener.accept()
            while data := accepted.recv(4):
                accepted.sendall(ANSWER)
                gevent.sleep(0.02)
                accepted.sendall(data)

    greenlet = gevent.spawn(serve)
    yield listener.getsockname()[1]
    greenlet.kill()
    listener.close()


@pytest.fixture
def connect(answering_target):
    opened = []

    def open_connection(fault: EdgeFault):
        proxy = Proxy(0, answering_target)
        proxy.fault = fault
        sock = socket.create_connection(proxy.listener.getsockname())
        sock.settimeout(RECEIVE_SECONDS)
        opened.append((proxy, sock))
        return sock

    yield open_connection
    for proxy, sock in opened:
        sock.close()
        proxy.close()


def receive(sock, count):
    received = b""
    while len(received) < count:
        data = sock.recv(count - len(received))
        if not data:
            return received
        received += data
    return received


def test_a_proxy_repeats_whole_answers(connect):
    """Guards against faults that no server shows, such as an answer with another one inside."""
    sock = connect(EdgeFault(repeats_answers=True))
    sock.sendall(b"aaaa")
    assert_that(receive(sock, 2 * len(ANSWER) + 8), Equals((ANSWER + b"aaaa") * 2))


def test_a_proxy_repeats_an_answer_where_the_next_one_is_expected(connect):
    """Guards against a soak that does not show an earlier answer taken for the next one."""
    sock = connect(EdgeFault(repeats_before_next=True))
    sock.sendall(b"aaaa")
    assert_that(receive(sock, len(ANSWER) + 4), Equals(ANSWER + b"aaaa"))
    sock.sendall(b"bbbb")
    expected = ANSWER + b"aaaa" + ANSWER + b"bbbb"
    assert_that(receive(sock, len(expected)), Equals(expected))


def test_a_proxy_truncates_answers_and_resets_the_connection(connect):
    """Guards against a soak in which no answer breaks off."""
    sock = connect(EdgeFault(truncates_answers=True))
    sock.sendall(b"aaaa")
    with pytest.raises(ConnectionResetError):
        receive(sock, len(ANSWER) + 4)


def test_a_proxy_marks_every_second_command_as_late():
    """Guards against a soak in which no grant is carried out after newer ones."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    proxy = Proxy(0, listener.getsockname()[1])
    proxy.fault = EdgeFault(late_seconds=2.5)
    sender = socket.create_connection(proxy.listener.getsockname())
    accepted, _ = listener.accept()
    accepted.settimeout(RECEIVE_SECONDS)
    command = f"POST {COMMAND_PATHS[0]} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
    late = command.replace(b"Host", f"{LATE_HEADER}: 2.500\r\nHost".encode())
    request = b"GET / HTTP/1.1\r\n\r\n"
    try:
        for sent, expected in ((command, late), (command, command), (request, request)):
            sender.sendall(sent)
            assert_that(receive(accepted, len(expected)), Equals(expected))
    finally:
        proxy.close()
        for sock in (sender, accepted, listener):
            sock.close()


def test_a_process_without_a_handler_gets_no_notice(tmp_path):
    """Guards against runs in which a notice ends a program that has just started."""
    program = (
        "import signal, time; time.sleep(0.5); signal.signal(1, print); print(); time.sleep(9)"
    )
    process = subprocess.Popen([sys.executable, "-uc", program], stdout=subprocess.PIPE)
    system = SoakSystem(tmp_path, SystemClock())
    try:
        system.notify(process.pid, signal.SIGHUP)
        assert_that(process.stdout.readline(), Equals(b"\n"))
        system.notify(process.pid, signal.SIGHUP)
        assert_that(process.stdout.readline()[:2], Equals(b"1 "))
    finally:
        system.ports.close()
        process.kill()
        process.wait()


def test_a_datagram_proxy_loses_and_repeats():
    """Guards against a soak in which all datagrams between daemons arrive."""
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(("127.0.0.1", 0))
    receiver.settimeout(0.2)
    proxy = DatagramProxy(0, receiver.getsockname()[1], seed=1)
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    address = proxy.sock.getsockname()
    try:
        proxy.fault = DatagramFault(repeated_fraction=1.0)
        sender.sendto(b"twice", address)
        assert_that([receiver.recv(9), receiver.recv(9)], Equals([b"twice", b"twice"]))
        proxy.fault = DatagramFault(lost_fraction=1.0)
        sender.sendto(b"lost", address)
        with pytest.raises(TimeoutError):
            receiver.recv(9)
    finally:
        proxy.close()
        receiver.close()
        sender.close()
