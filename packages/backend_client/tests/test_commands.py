"""Commands to a scripted server on real sockets that writes answers once more."""

import gevent
import pytest
from gevent import socket
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from fireflylink_backend_client import ServerCommandClient, StaleFenceError
from fireflylink_core import BackendServer, KeyRange, SystemClock
from fireflylink_platform import PlatformServerCodec

KEYS = KeyRange(0, 9)
ANSWER_DELAY_SECONDS = 0.05
COMMAND_SECONDS = 10.0
"""Time for a command. No test is about its end, and on a busy machine a peer may take a second."""


class RepeatingServer:
    """Answers commands; writes the answer to the one before first, and the own answer later.

    Answers name their commands if ``echoes_ids``. Each release gets a new handover token.
    """

    def __init__(self, echoes_ids: bool) -> None:
        self.echoes_ids = echoes_ids
        self.tokens = 0
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(8)
        self.greenlet = gevent.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            gevent.spawn(self._serve, sock)

    def _serve(self, sock) -> None:
        last = b""
        while data := sock.recv(65536):
            sock.sendall(last)
            gevent.sleep(ANSWER_DELAY_SECONDS)
            last = self._answer(data)
            sock.sendall(last)

    def _answer(self, data: bytes) -> bytes:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
        if self.echoes_ids:
            command_id = data.split(b"Request-Id: ", 1)[1].split(b"\r\n", 1)[0]
            head += b"Request-Id: " + command_id + b"\r\n"
        if b"/api/release" in data.split(b"\r\n", 1)[0]:
            self.tokens += 1
            head += f"Handover: token-{self.tokens}\r\n".encode()
        return head + b"\r\n"


@pytest.fixture(params=[True, False], ids=["with-ids", "without-ids"])
def client(request):
    server = RepeatingServer(request.param)
    port = server.listener.getsockname()[1]
    backend = BackendServer("i-1", "a", "127.0.0.1", port, "kingston", 4)
    command_client = ServerCommandClient(backend, SystemClock(), PlatformServerCodec())
    # The first exchange shows whether the server names commands.
    assert_that(release(command_client), Equals(Success("token-1")))
    yield command_client
    command_client.close()
    server.greenlet.kill()
    server.listener.close()


def release(client):
    return client.release(KEYS, 2, client.connection.clock.now() + COMMAND_SECONDS)


def grant(client):
    return client.grant(KEYS, 2, 3.0, "", client.connection.clock.now() + COMMAND_SECONDS)


def test_an_earlier_answer_to_a_release_does_not_answer_the_next_one(client):
    """Guards against two owners: keys would count as released while requests on them still run
    (report: a second copy of an answer on a connection that is in use again)."""
    started_at = client.connection.clock.now()
    assert_that(release(client), Equals(Success("token-2")))
    elapsed = client.connection.clock.now() - started_at
    assert_that(elapsed >= ANSWER_DELAY_SECONDS, Is(True))


def test_an_earlier_answer_to_a_release_does_not_answer_a_grant(client):
    """Guards against a grant that counts as confirmed although it has not arrived."""
    started_at = client.connection.clock.now()
    assert_that(grant(client), Equals(Success(None)))
    elapsed = client.connection.clock.now() - started_at
    assert_that(elapsed >= ANSWER_DELAY_SECONDS, Is(True))


class ScriptedServer(RepeatingServer):
    """Answers commands with the given handover tokens, without naming them; empty: no token."""

    def __init__(self, answers: list[list[str]]) -> None:
        self.answers = answers
        super().__init__(echoes_ids=False)

    def _serve(self, sock) -> None:
        while sock.recv(65536):
            for token in self.answers.pop(0):
                header = f"Handover: {token}\r\n" if token else ""
                sock.sendall(f"HTTP/1.1 200 OK\r\n{header}Content-Length: 0\r\n\r\n".encode())
                gevent.sleep(ANSWER_DELAY_SECONDS)


@pytest.fixture
def scripted_client():
    """Returns a function that makes a client of a ``ScriptedServer``."""
    opened = []

    def make(answers: list[list[str]]) -> ServerCommandClient:
        server = ScriptedServer(answers)
        port = server.listener.getsockname()[1]
        backend = BackendServer("i-1", "a", "127.0.0.1", port, "kingston", 4)
        opened.append((ServerCommandClient(backend, SystemClock(), PlatformServerCodec()), server))
        return opened[-1][0]

    yield make
    for command_client, server in opened:
        command_client.close()
        server.greenlet.kill()
        server.listener.close()


def test_an_answer_to_an_older_release_does_not_answer_a_later_one(scripted_client):
    """Guards against two owners: a copy of the answer to the release before the last one counts as
    the answer to a release whose requests still run."""
    client = scripted_client([["one"], ["two"], ["one", "three"]])
    assert_that(release(client), Equals(Success("one")))
    assert_that(release(client), Equals(Success("two")))
    assert_that(release(client), Equals(Success("three")))


def test_an_answer_to_a_grant_does_not_answer_a_release(scripted_client):
    """Guards against two owners: a second copy of the answer to a grant, which has no handover
    token, counts as the answer to a release whose requests still run."""
    client = scripted_client([[""], ["", "one"]])
    assert_that(grant(client), Equals(Success(None)))
    assert_that(release(client), Equals(Success("one")))


class RefusingServer(ScriptedServer):
    """Answers each command with the given statuses, and names no command."""

    def _serve(self, sock) -> None:
        while sock.recv(65536):
            for status in self.answers.pop(0):
                sock.sendall(f"HTTP/1.1 {status} Any\r\nContent-Length: 0\r\n\r\n".encode())
                gevent.sleep(ANSWER_DELAY_SECONDS)


@pytest.fixture
def refused_client():
    """Returns the client of a server that refuses a grant, and writes that answer once more."""
    server = RefusingServer([["409", "409"], []])
    port = server.listener.getsockname()[1]
    backend = BackendServer("i-1", "a", "127.0.0.1", port, "kingston", 4)
    client = ServerCommandClient(backend, SystemClock(), PlatformServerCodec())
    yield client
    client.close()
    server.greenlet.kill()
    server.listener.close()


def test_a_refusal_that_names_no_command_does_not_say_that_a_later_grant_has_not_run(
    refused_client,
):
    """Guards against two owners: the refusal of an earlier grant is written once more, and the hold
    of a later one that the server accepts is not counted."""
    assert_that(isinstance(grant(refused_client).failure(), StaleFenceError), Is(True))
    later = grant(refused_client).failure()
    assert_that(later.may_have_run, Is(True))


def test_an_answer_to_a_grant_does_not_answer_a_later_grant(scripted_client):
    """Guards against a grant that counts as confirmed before it has arrived: its hold would be
    counted from too early a time, and a release would not wait for it."""
    client = scripted_client([["", ""], []])
    assert_that(grant(client), Equals(Success(None)))
    deadline = client.connection.clock.now() + 4 * ANSWER_DELAY_SECONDS
    later = client.grant(KEYS, 3, 3.0, "", deadline)
    assert_that(isinstance(later, Success), Is(False))
