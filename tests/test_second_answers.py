"""Targets that write an answer twice, on connections of the own interface.

Guards against the second copy being taken for the answer to the next request.
"""

import socket
import threading
import time

import pytest

from dogwooddock.targets.client import Canceller, HttpTarget

MAX_BYTES = 1 << 20
TIMEOUT_S = 2.0
# More than a reader's buffer holds, so that the copy stays in the kernel.
LARGE_BYTES = 100_000


class _RepeatingServer:
    """Answers each request with its path, the first one twice.

    Args:
        size: Size of an answer's body, in bytes.
        delay_s: Time from the first answer to its copy, in seconds.
    """

    def __init__(self, size, delay_s):
        self._size, self._delay_s = size, delay_s
        self.copied = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = self._listener.getsockname()
        threading.Thread(target=self._listen, daemon=True).start()

    def _listen(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            self._answer_all(conn)
        except OSError:
            pass  # The client has closed a connection with a copy on it.

    def _answer_all(self, conn):
        while data := conn.recv(65536):
            path = data.split(b" ")[1]
            answer = self._answer(path)
            if self.copied.is_set():
                conn.sendall(answer)
            elif self._delay_s:
                conn.sendall(answer)
                time.sleep(self._delay_s)
                conn.sendall(answer)
            else:
                conn.sendall(answer + answer)
            self.copied.set()

    def _answer(self, path):
        body = path.ljust(self._size, b".")
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def close(self):
        self._listener.close()


@pytest.mark.parametrize("size", [10, LARGE_BYTES])
@pytest.mark.parametrize("delay_s", [0.0, 0.005])
def test_second_copy_of_an_answer_is_not_the_answer_to_the_next_request(size, delay_s):
    server = _RepeatingServer(size, delay_s)
    target = HttpTarget(server.address, MAX_BYTES)
    try:
        for path in ("/first", "/second", "/third"):
            answer = target.send("GET", path, [], b"", TIMEOUT_S, Canceller())
            assert answer.body.rstrip(b".") == path.encode()
            server.copied.wait(TIMEOUT_S)
            time.sleep(0.005)
    finally:
        target.close()
        server.close()
