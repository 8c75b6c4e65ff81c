"""The planned stop of a node of the own interface, whose process ends behind it.

Guards against requests that are taken and cut, and against answers cut off in the
middle.
"""

import http.client
import json
import socket
import subprocess
import sys
import threading
import time

import pytest

from .stopping_node import BODY_BYTES

CALLER = {"Dogwooddock-Caller": "shops"}
# The process must have ended within the drain timeout of its settings.
DRAIN_TIMEOUT_S = 5.0
CLIENT_TIMEOUT_S = 20.0
PERIOD_S = 0.1


class StoppingNode:
    """A process that stops its first node."""

    def __init__(self, work_s):
        command = [sys.executable, "-m", "tests.stopping_node", str(work_s)]
        self.process = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )

    def __enter__(self):
        self.first, self.second = json.loads(self.process.stdout.readline())
        return self

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()

    def stop(self):
        self.process.stdin.write("stop\n")
        self.process.stdin.flush()

    def wait(self):
        """Return the paths of the requests that ran, once the process has ended."""
        ran = json.loads(self.process.stdout.readline())
        self.process.wait()
        return ran


def _ask(address, path, results):
    """Record status and outcome of a request; status 0 if it got no whole answer."""
    conn = http.client.HTTPConnection(*address, timeout=CLIENT_TIMEOUT_S)
    try:
        conn.connect()
    except OSError:
        return  # The node does not listen any more.
    try:
        conn.request("GET", path, headers=CALLER)
        response = conn.getresponse()
        response.read()
        results[path] = (response.status, response.headers["Dogwooddock-Outcome"])
    except (OSError, http.client.HTTPException):
        results[path] = (0, "")
    finally:
        conn.close()


def _start(address, path, results):
    thread = threading.Thread(target=_ask, args=(address, path, results))
    thread.start()
    return thread


@pytest.mark.parametrize("work_s", [0.1, 0.9])
def test_requests_to_a_stopping_node_beside_a_busy_target_are_answered(work_s):
    with StoppingNode(work_s) as node:
        results = {}
        long = _start(node.second, "/long", {})
        time.sleep(0.5)
        node.stop()
        threads = []
        while node.process.poll() is None:
            threads.append(_start(node.first, f"/short?{len(threads)}", results))
            time.sleep(PERIOD_S)
        ran = set(node.wait())
        for thread in [*threads, long]:
            thread.join()
        lost = [path for path, answer in results.items() if answer[0] == 0]
        assert [path for path in lost if path in ran] == []
        refused = {path for path, answer in results.items() if answer[1] == "not-run"}
        assert refused & ran == set()
        assert {answer[1] for answer in results.values()} >= {"answered"}


def _body(received):
    return received.partition(b"\r\n\r\n")[2]


@pytest.mark.parametrize("stops", [False, True])
def test_slow_reader_gets_its_whole_answer(stops):
    """The client takes about 1 MB a second, over a small receive buffer."""
    with StoppingNode(0.0) as node, socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        sock.settimeout(CLIENT_TIMEOUT_S)
        sock.connect(tuple(node.first))
        sock.sendall(
            b"GET /big HTTP/1.1\r\nHost: x\r\nDogwooddock-Caller: shops\r\n\r\n"
        )
        received = sock.recv(1024)
        if stops:
            node.stop()
        while len(_body(received)) < BODY_BYTES and (data := sock.recv(32 * 1024)):
            received += data
            time.sleep(0.03)
        assert len(_body(received)) == BODY_BYTES


def test_request_that_outlasts_the_drain_timeout_gets_an_answer():
    with StoppingNode(0.0) as node:
        results = {}
        thread = _start(node.first, "/long", results)
        time.sleep(0.5)
        node.stop()
        node.wait()
        thread.join()
        assert results["/long"][1] == "unknown"
