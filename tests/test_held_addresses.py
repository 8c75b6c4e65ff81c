"""Nodes that start while another process holds an address that they listen on."""

import errno
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import time

import pytest
import structlog

from bench.settingsfile import PORTS_PER_NODE, free_ports, write_settings
from dogwooddock import listening

HOST = "127.0.0.1"
ABSENT = (HOST, 9)
LIMIT_S = 15.0
POLL_PERIOD_S = 0.02


class NodeProcess:
    """A node on the platform, whose store and target are away."""

    # Port of each address, counted from the first.
    PORTS = {"caller": 0, "ready": 2, "heartbeat": 3, "peer": 4}

    def __init__(self, folder, base, text=None, **settings):
        path = folder / "settings.json"
        write_settings(path, 0, HOST, base, ABSENT, "shop", ABSENT, **settings)
        if text is not None:
            path.write_text(text)
        variables = {"DOGWOODDOCK_NODE_FILE": str(path)}
        self._start(["dogwooddock.platform"], (HOST, base), variables)

    def _start(self, arguments, caller, variables):
        self._caller = caller
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={**os.environ, **variables},
        )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()

    def read_until(self, text):
        return any(text in line for line in self.process.stdout)

    def serves(self):
        """Report whether a caller gets an answer within the limit."""
        deadline = time.monotonic() + LIMIT_S
        while time.monotonic() < deadline and self.process.poll() is None:
            if _is_answered(self._caller):
                return self.process.poll() is None
            time.sleep(POLL_PERIOD_S)
        return False


class OwnNodeProcess(NodeProcess):
    """A node of the product's own interface, without tables."""

    PORTS = {"router": 0, "local": 1, "peer": 2, "admin": 3}

    def __init__(self, folder, base, **flags):
        listen = {n: f"{HOST}:{base + port}" for n, port in self.PORTS.items()}
        flags = {f"{n}-listen": text for n, text in (listen | flags).items()}
        arguments = [f"--{flag}={text}" for flag, text in flags.items()]
        command = ["dogwooddock", "node", "--name=n", "--zone=z", *arguments]
        self._start(command, (HOST, base), {})


KINDS = [NodeProcess, OwnNodeProcess]


def _is_answered(address):
    try:
        with socket.create_connection(address, timeout=1.0) as sock:
            sock.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
            return sock.recv(64).startswith(b"HTTP/1.1 ")
    except OSError:
        return False


def _hold_as_listener(address):
    return [socket.create_server(address)]


def _hold_as_outgoing_connection(address):
    """Return a connection whose local address is the given one, and its listener."""
    server = socket.create_server((HOST, 0))
    sock = socket.socket()
    sock.bind(address)
    sock.connect(server.getsockname())
    return [sock, server]


def _hold_for_udp(address):
    sock = socket.socket(type=socket.SOCK_DGRAM)
    sock.bind(address)
    return [sock]


def _close(held):
    for sock in held:
        if sock.type == socket.SOCK_STREAM:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        sock.close()


@pytest.mark.parametrize(
    ("kind", "hold", "name"),
    [
        *(
            (kind, hold, name)
            for kind in KINDS
            for hold in (_hold_as_listener, _hold_as_outgoing_connection)
            for name in kind.PORTS
        ),
        (OwnNodeProcess, _hold_for_udp, "peer"),
    ],
)
def test_node_starts_once_an_address_that_another_process_holds_is_free(
    tmp_path, kind, hold, name
):
    base = free_ports(PORTS_PER_NODE)
    held = hold((HOST, base + kind.PORTS[name]))
    with kind(tmp_path, base) as node:
        assert node.read_until("address_unavailable")
        _close(held)
        assert node.serves()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("lead_s", [0.0, 0.5])
def test_node_that_starts_while_its_predecessor_drains_serves_after_it(
    tmp_path, lead_s, kind
):
    base = free_ports(PORTS_PER_NODE)
    with kind(tmp_path, base) as old:
        assert old.serves()
        old.process.send_signal(signal.SIGTERM)
        time.sleep(lead_s)
        with kind(tmp_path, base) as new:
            assert old.process.wait(LIMIT_S) == 0
            assert new.serves()


@pytest.mark.parametrize("lead_s", [0.0, 0.3, 1.0])
def test_node_that_starts_while_its_predecessor_reads_a_request_serves_after_it(
    tmp_path, lead_s
):
    base = free_ports(PORTS_PER_NODE)
    with OwnNodeProcess(tmp_path, base) as old:
        assert old.serves()
        caller = socket.create_connection((HOST, base), timeout=LIMIT_S)
        caller.sendall(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx")
        time.sleep(0.2)
        old.process.send_signal(signal.SIGTERM)
        time.sleep(lead_s)
        with OwnNodeProcess(tmp_path, base) as new:
            time.sleep(2.0)
            caller.sendall(b"x")
            assert caller.recv(64).startswith(b"HTTP/1.1 404 ")
            caller.close()
            assert old.process.wait(LIMIT_S) == 0
            assert new.serves()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_ends_a_node_that_waits_for_an_address(tmp_path, signum, kind):
    base = free_ports(PORTS_PER_NODE)
    held = _hold_as_listener((HOST, base))
    with kind(tmp_path, base) as node:
        assert node.read_until("address_unavailable")
        node.process.send_signal(signal.SIGHUP)
        node.process.send_signal(signum)
        assert node.process.wait(LIMIT_S) == 0
    _close(held)


@pytest.mark.parametrize(
    ("setting", "value"),
    [
        ("listen", {"outbound": "no-address:1"}),
        ("ip", "no-address"),
        ("ip", "localhost"),
        ("ip", "::1"),
        ("ip", ""),
        ("port_range", [65536, 65540]),
        ("port_range", [-1, 4]),
    ],
)
def test_address_that_is_none_is_refused_by_the_name_of_its_setting(
    tmp_path, setting, value
):
    base = free_ports(PORTS_PER_NODE)
    listen = {n: f"{HOST}:{base + p}" for p, n in enumerate(("outbound", "inbound"))}
    listen |= {"ready": f"{HOST}:{base + 2}", "control": f"{HOST}:{base + 3}"}
    settings = {setting: {**listen, **value} if setting == "listen" else value}
    with NodeProcess(tmp_path, base, **settings) as node:
        assert node.process.wait(LIMIT_S) == 2
        text = node.process.stdout.read()
    assert f"{setting}" in text, json.dumps(text)
    assert "Traceback" not in text


@pytest.mark.parametrize("port", ["65536", "-1"])
def test_operator_port_that_is_none_is_refused_by_its_name(tmp_path, monkeypatch, port):
    monkeypatch.setenv("DOGWOODDOCK_OPERATOR_PORT", port)
    with NodeProcess(tmp_path, free_ports(PORTS_PER_NODE)) as node:
        assert node.process.wait(LIMIT_S) == 2
        text = node.process.stdout.read()
    assert "--operator-port" in text
    assert "Traceback" not in text


@pytest.mark.parametrize(
    ("code", "remedy"),
    [
        (errno.EADDRINUSE, "process"),
        (errno.EADDRNOTAVAIL, "give the VM"),
        (errno.EMFILE, "limit"),
    ],
)
def test_wait_for_an_address_names_the_remedy_of_its_cause(monkeypatch, code, remedy):
    def fail(*_):
        raise OSError(code, "cannot bind")

    monkeypatch.setattr(listening, "bind_socket", fail)
    wanted = listening.ListenAddress("caller", "listen.outbound", (HOST, 1))
    with structlog.testing.capture_logs() as lines:
        assert listening.AddressReservation([wanted]).attempt(0.0) is None
    assert remedy in lines[0]["remedy"]


@pytest.mark.parametrize("written", ["", '{"node": "node-0", "lis'])
def test_node_starts_once_its_settings_file_is_written_to_the_end(tmp_path, written):
    base = free_ports(PORTS_PER_NODE)
    with NodeProcess(tmp_path, base, text=written) as node:
        assert node.read_until("settings_unreadable")
        path = tmp_path / "settings.json"
        write_settings(path, 0, HOST, base, ABSENT, "shop", ABSENT)
        assert node.serves()


def test_stop_signal_ends_a_node_that_waits_for_its_settings_file(tmp_path):
    with NodeProcess(tmp_path, free_ports(PORTS_PER_NODE), text="") as node:
        assert node.read_until("settings_unreadable")
        node.process.send_signal(signal.SIGTERM)
        assert node.process.wait(LIMIT_S) == 0


@pytest.mark.parametrize("text", ["", "[" * 100_000, '{"node": "\ud800'])
def test_settings_file_that_stays_unreadable_is_refused_by_its_path(tmp_path, text):
    text = text.encode(errors="surrogatepass").decode("latin-1")
    with NodeProcess(tmp_path, free_ports(PORTS_PER_NODE), text=text) as node:
        assert node.process.wait(LIMIT_S) == 2
        log = node.process.stdout.read()
    assert "settings_refused" in log and "Traceback" not in log


@pytest.mark.parametrize(
    ("name", "text", "refused"),
    [
        ("peer", "192.0.2.256:1", "--peer-listen"),
        ("admin", "fe80::1:1", "--admin-listen"),
        ("local", "127.0.0.1:router", "--router-listen"),
        ("admin", "127.0.0.1:peer", "--admin-listen"),
        ("admin", "0.0.0.0:peer", "--admin-listen"),
        ("local", "0.0.0.0:router", "--local-listen"),
    ],
)
def test_flag_that_can_never_be_listened_on_is_refused_by_its_name(
    tmp_path, name, text, refused
):
    base = free_ports(PORTS_PER_NODE)
    host, _, port = text.rpartition(":")
    if port in OwnNodeProcess.PORTS:
        text = f"{host}:{base + OwnNodeProcess.PORTS[port]}"
    with OwnNodeProcess(tmp_path, base, **{name: text}) as node:
        assert node.process.wait(LIMIT_S) == 2
        text = node.process.stdout.read()
    assert refused in text
    assert "Traceback" not in text
