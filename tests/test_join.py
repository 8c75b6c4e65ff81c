"""Tests of how nodes join the fleet, of the peer port and of settings errors."""

import itertools
import socket

import pytest

from dogwooddock.discovery import joining
from dogwooddock.errors import InvalidSettings
from dogwooddock.listening import reserve
from dogwooddock.node import Node
from dogwooddock.settings import listen_addresses, validate_settings
from dogwooddock.store.memory import MemoryObjectStore

from .helpers import FaultyTables, MiniFleet


def open_peer_sockets(host="127.0.0.1", port=0):
    """Return the TCP and the UDP socket of a peer port."""
    values = {"name": "n", "zone": "z", "peer_listen": f"{host}:{port}"}
    sockets = reserve(listen_addresses(validate_settings(values))[:2])
    return sockets.take("peer"), sockets.take("gossip")


def start(tables, name, contacts=""):
    values = {"name": name, "zone": "zone-a", "threads": 8, "contacts": contacts}
    node = Node(validate_settings(values), tables, MemoryObjectStore())
    node.start()
    return node


@pytest.mark.parametrize("store_down", [False, True])
def test_node_joins_with_and_without_the_store(store_down, monkeypatch):
    tables = FaultyTables()
    tables.down = store_down
    first = start(tables, "first")
    contacts = first.peer_host_port if store_down else ""
    second = start(tables, "second", contacts)
    try:
        MiniFleet.wait(lambda: len(second.members.all()) == 2)
        MiniFleet.wait(lambda: len(first.members.all()) == 2)
    finally:
        first.stop()
        second.stop()


def test_groups_formed_without_the_store_merge_when_it_returns(monkeypatch):
    monkeypatch.setattr(joining, "CONTACT_PERIOD_S", 0.3)
    tables = FaultyTables()
    tables.down = True
    nodes = [start(tables, "a")]
    nodes.append(start(tables, "b", nodes[0].peer_host_port))
    nodes.append(start(tables, "c"))
    nodes.append(start(tables, "d", nodes[2].peer_host_port))
    try:
        MiniFleet.wait(lambda: all(len(n.members.all()) == 2 for n in nodes))
        tables.down = False
        MiniFleet.wait(lambda: all(len(n.members.all()) == 4 for n in nodes))
    finally:
        for node in nodes:
            node.stop()


def test_stopped_node_leaves_its_peer_port():
    """Threads that blocked on the sockets kept both of them open."""
    node = start(FaultyTables(), "only")
    host, _, port = node.peer_host_port.partition(":")
    node.stop()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((host, int(port)), 5.0)
    for sock in open_peer_sockets(host, port):
        sock.close()


def test_peer_sockets_share_one_port_for_tcp_and_udp():
    opened = [open_peer_sockets() for _ in range(20)]
    for tcp, udp in opened:
        assert tcp.getsockname() == udp.getsockname()
    with pytest.raises(InvalidSettings, match="choose another"):
        open_peer_sockets(*opened[0][0].getsockname())
    for sock in itertools.chain(*opened):
        sock.close()


@pytest.mark.parametrize(
    ("name", "value", "expected"),
    [
        ("threads", "many", "--threads (or DOGWOODDOCK_THREADS) is 'many'"),
        ("router_listen", "somewhere", "--router-listen"),
        ("peer_listen", "10.0.0.1:99999", "--peer-listen"),
        ("platform_url", "ftp://x", "start the URL with http"),
        ("limit_mode", "magic", "--limit-mode"),
    ],
)
def test_invalid_setting_is_reported_in_one_line(name, value, expected):
    with pytest.raises(InvalidSettings) as caught:
        validate_settings({"name": "n", "zone": "z", name: value})
    assert expected in str(caught.value)
    assert "\n" not in str(caught.value)
