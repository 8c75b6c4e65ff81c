"""Callers of the own interface that send no more, or have gone, during a request.

Guards against requests that are cut off though their caller still reads, and against
work that goes on for nobody.
"""

import socket
import struct
import threading
import time

import pytest

from dogwooddock.callers.disconnects import DisconnectWatcher
from dogwooddock.errors import TargetError
from dogwooddock.policy.endofinput import EndOfInput
from dogwooddock.targets.client import TargetAnswer

from .helpers import WAIT_S, MiniFleet, RecordingTarget

CANCEL_LIMIT_S = 0.5
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
LARGE_BYTES = 3_000_000
RESET = struct.pack("ii", 1, 0)


class CancellableTarget(RecordingTarget):
    """Target that holds requests back until ``unblocked``, or until cancelled."""

    def __init__(self):
        super().__init__()
        self.unblocked.clear()
        self.cancelled = threading.Event()
        self.answer = b"done"

    def send(self, method, path, headers, body, timeout_s, canceller):
        self.ran.append((method, path, body))
        canceller.bind(self._cancel)
        self.unblocked.wait(timeout_s)
        if self.cancelled.is_set():
            raise TargetError("cancelled")
        return TargetAnswer(200, [], self.answer, 0.0)

    def _cancel(self):
        self.cancelled.set()
        self.unblocked.set()


@pytest.fixture
def node():
    fleet = MiniFleet(1)
    fleet.targets.append(CancellableTarget())
    fleet.serve(0, fleet.targets[-1])
    yield fleet
    fleet.close()


def request(method, version="1.1", path=None):
    path = path or {"GET": "/browse", "POST": "/confirm"}[method]
    lines = [f"{method} {path} HTTP/{version}", "Host: x", "Dogwooddock-Caller: shops"]
    if method == "POST":
        lines += ["Idempotency-Key: k-1", "Content-Length: 2"]
    return "\r\n".join([*lines, "", "hi" if method == "POST" else ""]).encode()


def call(fleet, *requests):
    """Send requests, of which the first reaches the target."""
    address = fleet.nodes[0].router_server.address
    sock = socket.create_connection(address, timeout=WAIT_S)
    sock.sendall(b"".join(requests))
    fleet.wait(lambda: fleet.targets[-1].ran)
    return sock


def read_to_end(sock):
    received = b""
    while data := sock.recv(64 * 1024):
        received += data
    return received


def without_interim(received):
    while received.startswith(INTERIM):
        received = received.removeprefix(INTERIM)
    return received


@pytest.mark.parametrize(
    ("method", "version"), [("GET", "1.1"), ("POST", "1.1"), ("POST", "1.0")]
)
def test_caller_that_sends_no_more_gets_its_answer(node, method, version):
    with call(node, request(method, version)) as sock:
        sock.shutdown(socket.SHUT_WR)
        time.sleep(0.8)
        node.targets[-1].unblocked.set()
        received = read_to_end(sock)
    head, _, body = without_interim(received).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), received
    assert body == b"done"
    assert received.startswith(INTERIM) == (version == "1.1")


@pytest.mark.parametrize("size", [4, LARGE_BYTES])
def test_interim_response_is_in_no_other_response(node, size):
    node.targets[-1].answer = b"x" * size
    with call(node, request("GET"), request("GET")) as sock:
        sock.shutdown(socket.SHUT_WR)
        time.sleep(0.4)
        node.targets[-1].unblocked.set()
        time.sleep(0.8)
        rest = read_to_end(sock)
    for _ in range(2):
        head, _, rest = without_interim(rest).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert rest[:size] == b"x" * size
        rest = rest[size:]
    assert rest == b""


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize(
    "goes", ["closes", "resets", "shuts down", "sends no more and closes later"]
)
def test_request_of_a_caller_that_has_gone_is_cancelled(node, goes, version):
    with call(node, request("GET", version)) as sock:
        if goes == "resets":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        if goes == "shuts down":
            sock.shutdown(socket.SHUT_RDWR)
        if goes == "sends no more and closes later":
            sock.shutdown(socket.SHUT_WR)
            time.sleep(0.5)
            assert node.targets[-1].cancelled.is_set() == (version == "1.0")
            sock.recv(1024 if version == "1.1" else 0)
        if goes != "shuts down":
            sock.close()
        assert node.targets[-1].cancelled.wait(CANCEL_LIMIT_S)


def test_cancellation_that_waits_for_a_peer_delays_no_other():
    watcher, waiting, cancelled = DisconnectWatcher(), threading.Event(), [0.0] * 5
    pairs = [socket.socketpair() for _ in cancelled]
    watcher.start()
    for index, (sock, _) in enumerate(pairs):

        def cancel(index=index):
            cancelled[index] = time.monotonic()
            waiting.wait(WAIT_S)

        watcher.watch(index, sock, cancel, EndOfInput.ASK)
    closed_at = time.monotonic()
    for _, peer in pairs:
        peer.close()
    time.sleep(CANCEL_LIMIT_S)
    waiting.set()
    watcher.stop()
    for sock, _ in pairs:
        sock.close()
    assert all(closed_at < at < closed_at + CANCEL_LIMIT_S for at in cancelled)
