"""Targets that stop in the middle of the head of an answer and close.

Guards against a success with an empty or short body that is framed as whole.
"""

import socket
import threading

import pytest

from dogwooddock.errors import TargetError
from dogwooddock.http1.messages import HttpError
from dogwooddock.http1.responseparser import ResponseParser
from dogwooddock.targets.client import Canceller, HttpTarget

MAX_BYTES = 1 << 20
TIMEOUT_S = 2.0

HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Stamp: t-1\r\n\r\n",
    "length last": b"HTTP/1.1 200 OK\r\nX-Stamp: t-1\r\nContent-Length: 10\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: 1\r\n\r\n",
    "empty body": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Stamp: t-1\r\n\r\n",
    "no body": b"HTTP/1.1 204 No Content\r\nX-Stamp: t-1\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Stamp: t-1\r\n\r\n",
    "interim": b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
    b"Content-Length: 0\r\n\r\n",
}


class _BreakingServer:
    """Answers each connection with some bytes and closes it."""

    def __init__(self):
        self.answer = b""
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            conn.recv(65536)
            conn.sendall(self.answer)
            conn.close()

    def close(self):
        self._listener.close()


@pytest.fixture
def server():
    breaking = _BreakingServer()
    yield breaking
    breaking.close()


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("head", HEADS.values(), ids=list(HEADS))
def test_answer_that_ends_in_its_head_is_no_answer_of_the_target(server, head, method):
    whole = []
    for cut in range(len(head)):
        server.answer = head[:cut]
        target = HttpTarget(server.address, MAX_BYTES)
        try:
            target.send(method, "/", [], b"", TIMEOUT_S, Canceller())
            whole.append(head[:cut])
        except TargetError:
            continue
        finally:
            target.close()
    assert whole == []


@pytest.mark.parametrize("piece_bytes", [1, 7, 1000])
@pytest.mark.parametrize("head", HEADS.values(), ids=list(HEADS))
def test_parser_takes_no_head_that_ends_early_for_an_answer(head, piece_bytes):
    for cut in range(len(head)):
        parser = ResponseParser(MAX_BYTES, MAX_BYTES)
        responses = []
        try:
            for start in range(0, cut, piece_bytes):
                responses += parser.feed(head[start : min(cut, start + piece_bytes)])
        except HttpError:
            continue
        assert (responses, parser.feed_eof()) == ([], None)


@pytest.mark.parametrize("interim", [0, 1, 3])
def test_interim_responses_are_passed_over(server, interim):
    early = b"HTTP/1.1 103 Early Hints\r\n\r\n" * interim
    server.answer = early + b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
    target = HttpTarget(server.address, MAX_BYTES)
    answer = target.send("GET", "/", [], b"", TIMEOUT_S, Canceller())
    target.close()
    assert (answer.status, answer.body) == (200, b"body")
