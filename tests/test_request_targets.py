"""Request targets in absolute form, which HTTP/1.1 asks servers to take."""

import socket

import pytest

from .helpers import WAIT_S, MiniFleet


@pytest.fixture(scope="module")
def node():
    fleet = MiniFleet(1)
    yield fleet
    fleet.close()


def status_of(fleet, line):
    address = fleet.nodes[0].router_server.address
    with socket.create_connection(address, timeout=WAIT_S) as sock:
        head = f"{line} HTTP/1.1\r\nHost: other\r\nDogwooddock-Caller: shops\r\n"
        sock.sendall(f"{head}Connection: close\r\n\r\n".encode())
        with sock.makefile("rb") as response:
            return int(response.read().split()[1])


@pytest.mark.parametrize(
    ("target", "path", "host"),
    [
        ("http://app.example/browse", "/browse", "app.example"),
        ("http://app.example:80/browse?a=b/c", "/browse?a=b/c", "app.example:80"),
        ("HTTP://app.example/browse?a=http://x/", "/browse?a=http://x/", "app.example"),
        ("http://[::1]:8/browse", "/browse", "[::1]:8"),
        ("/browse?a=http://x/", "/browse?a=http://x/", "other"),
    ],
)
def test_request_target_in_absolute_form_is_served(
    node, monkeypatch, target, path, host
):
    seen, send = [], node.targets[0].send

    def record(method, path, headers, *rest):
        hosts = [value for name, value in headers if name.lower() == "host"]
        seen.append((path, hosts))
        return send(method, path, headers, *rest)

    monkeypatch.setattr(node.targets[0], "send", record)
    assert status_of(node, f"GET {target}") == 200
    assert seen == [(path, [host])]


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET http://app.example", 404),
        ("GET http://app.example?a=/browse", 404),
        ("POST http://app.example/_dogwooddock/tickets", 503),
        ("GET http:///browse", 400),
        ("GET http://me@app.example/browse", 400),
        ("GET ftp://app.example/browse", 400),
        ("GET http://[::1/browse", 400),
        ("GET browse", 400),
        ("CONNECT app.example:80", 405),
    ],
)
def test_request_target_without_a_route_or_host_is_refused(node, line, status):
    assert status_of(node, line) == status
