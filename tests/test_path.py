"""The whole path over real sockets."""

import socket
import threading
import time

import pytest

from dogwooddock.errors import IncompleteAnswer, TargetError, TargetUnreachable


def test_answer_is_whole_and_own(remote_fleet):
    told = remote_fleet.send("GET", "/browse?page=2", headers={"X-Custom": "1"})
    assert (told.status, told.outcome, told.body) == (200, "answered", b"ran ")
    assert remote_fleet.targets[1].ran == [("GET", "/browse?page=2", b"")]


@pytest.mark.parametrize(
    ("method", "path", "key", "status", "outcome", "reason"),
    [
        ("GET", "/nowhere", "", 404, "not-run", "no-route"),
        ("POST", "/confirm", "", 400, "not-run", "key-required"),
        ("POST", "/confirm", "k" * 201, 400, "not-run", "key-invalid"),
        ("POST", "/confirm", "dwt1.broken", 400, "not-run", "key-invalid"),
    ],
)
def test_refusals(fleet, method, path, key, status, outcome, reason):
    told = fleet.send(method, path, key=key)
    assert (told.status, told.outcome, told.reason) == (status, outcome, reason)
    assert fleet.ran == []


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", b"400"),
        (b"GET /browse HTTP/9.9\r\n\r\n", b"505"),
        (
            b"POST /confirm HTTP/1.1\r\nHost: x\r\nDogwooddock-Caller: shops\r\n"
            b"Idempotency-Key: big\r\nContent-Length: 99999999\r\n\r\n",
            b"413",
        ),
        (
            b"POST /confirm HTTP/1.1\r\nHost: x\r\nDogwooddock-Caller: shops\r\n"
            b"Idempotency-Key: slow\r\nContent-Length: 100\r\n\r\nonly a part",
            b"40",
        ),
    ],
)
def test_bad_input_gets_a_clear_answer(fleet, data, status):
    sock = socket.create_connection(fleet.nodes[0].router_server.address)
    sock.settimeout(10)
    sock.sendall(data)
    answer = b""
    while chunk := sock.recv(4096):
        answer += chunk
    assert answer.split(b" ", 2)[1].startswith(status)
    assert b"Dogwooddock-Outcome: not-run" in answer
    assert fleet.ran == []


def test_chunked_request_body(fleet):
    def chunks():
        yield b"one "
        yield b"two"

    told = fleet.send("POST", "/confirm", body=chunks(), key="chunked")
    assert (told.status, told.body) == (200, b"ran one two")


@pytest.mark.parametrize(
    ("failure", "outcome", "runs"),
    [
        (IncompleteAnswer("short"), "unknown", 1),
        (TargetError("reset"), "unknown", 1),
        (TargetUnreachable("refused"), "not-run", 1),
    ],
)
def test_target_failure_on_a_keyed_request(remote_fleet, failure, outcome, runs):
    remote_fleet.targets[1].failure = failure
    told = remote_fleet.send("POST", "/confirm", b"x", key="f")
    assert told.outcome == outcome
    assert len(remote_fleet.ran) == runs


def test_idempotent_request_is_retried_elsewhere(fleet):
    for target in fleet.targets:
        target.failure = TargetError("reset")
    told = fleet.send("GET", "/browse")
    assert told.outcome == "unknown"
    assert len(fleet.ran) == 2


@pytest.mark.parametrize(("method", "key"), [("GET", ""), ("POST", "late")])
def test_late_target_gives_unknown(remote_fleet, method, key):
    remote_fleet.targets[1].unblocked.clear()
    started = time.monotonic()
    told = remote_fleet.send(method, "/quick", key=key)
    assert told.outcome == "unknown"
    assert time.monotonic() - started < 10
    assert len(remote_fleet.ran) == 1


def test_router_cannot_set_internal_headers(fleet):
    told = fleet.send(
        "GET",
        "/browse",
        headers={"Dogwooddock-Importance": "9", "Traceparent": "00-" + "a" * 32},
    )
    assert told.outcome == "answered"
    assert len(fleet.nodes[0].ledger) == 0


def test_garbage_on_the_peer_port(fleet):
    address = fleet.nodes[0].peer_address
    for data in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\x00\x00\x00\x08garbage!"):
        with socket.create_connection(address) as sock:
            sock.sendall(data)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(b"not gossip", address)
    assert fleet.send("GET", "/browse", index=1).outcome == "answered"
    assert fleet.send("GET", "/browse", index=0).outcome == "answered"


def test_draining_node_cuts_off_nothing(fleet):
    told = []
    for target in fleet.targets:
        target.unblocked.clear()
    sender = threading.Thread(
        target=lambda: told.append(
            fleet.send("POST", "/confirm", b"x", key="drain", index=0)
        )
    )
    sender.start()
    fleet.wait(lambda: len(fleet.ran) == 1)
    running = next(t for t in fleet.targets if t.ran)
    node = fleet.nodes[fleet.targets.index(running)]
    node.gate.drain()
    again = fleet.send("GET", "/quick", index=0)
    assert all(entry[1] != "/quick" for entry in running.ran)
    assert again.outcome in ("unknown", "not-run")
    for each in fleet.targets:
        each.unblocked.set()
    sender.join(10)
    assert told[0].outcome == "answered"


def test_state_and_metrics(fleet):
    fleet.send("GET", "/browse")
    address = fleet.nodes[0].admin.address
    state = fleet.send("GET", "/state", port=address)
    metrics = fleet.send("GET", "/metrics", port=address)
    assert b'"version": 1' in state.body
    assert b'dogwooddock_requests_total{kind="browse"' in metrics.body
    assert fleet.send("GET", "/health", port=address).status == 200
