"""Settings files and configurations in the platform's format, for loopback nodes."""

__all__ = [
    "PORTS_PER_NODE",
    "account_entry",
    "config_document",
    "free_ports",
    "limit_ports",
    "route_entry",
    "write_settings",
]

import json
import random
import socket
from pathlib import Path
from typing import Any

Address = tuple[str, int]

LISTENER_NAMES = ("outbound", "inbound", "ready", "control")
PORTS_PER_NODE = 8

# Below the range from which Linux takes the local ports of outgoing connections.
LISTEN_PORTS = range(10_000, 32_000)
_RNG = random.SystemRandom()


def limit_ports(part: int, parts: int) -> None:
    """Take ports from one of several equal parts, so that no other process takes them.

    A port is free between its choice and its use, and while its node restarts.

    Args:
        part: Index of the part, from 0.
        parts: Number of processes that take ports at the same time.
    """
    global LISTEN_PORTS
    size = len(LISTEN_PORTS) // parts
    LISTEN_PORTS = LISTEN_PORTS[part * size : (part + 1) * size]


def free_ports(count: int) -> int:
    """Return the first port of ``count`` consecutive free ports.

    None of them can become the local port of an outgoing connection before it is used.
    """
    while True:
        base = _RNG.randrange(LISTEN_PORTS.start, LISTEN_PORTS.stop - count)
        if all(_is_free(base + offset) for offset in range(count)):
            return base


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("0.0.0.0", port))
        except (OSError, OverflowError):
            return False
    return True


def route_entry(
    name: str, pool: str, prefix: str, kind: str, priority: int, **spec: Any
) -> dict[str, Any]:
    """Return the entry of a route in the platform's configuration format."""
    spec = {
        "host": "app.example",
        "prefix": prefix,
        "kind": kind,
        "timeout": "1200ms",
        "slo": "600ms",
        "priority": priority,
        "attempts": 2,
        "service": pool,
        **spec,
    }
    return {"type": "routes", "metadata": {"name": name}, "spec": spec}


def account_entry(name: str, key: str, **spec: Any) -> dict[str, Any]:
    """Return the entry of a client account in the platform's configuration format."""
    spec = {"api_keys": [key], **spec}
    return {"type": "tenants", "metadata": {"name": name}, "spec": spec}


def config_document(version: int, routes: list[dict[str, Any]]) -> bytes:
    """Return a configuration in the platform's format, as JSON."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1 << 20,
        "header_timeout": "3s",
        "idle_timeout": "15s",
    }
    resources = [*routes, {"type": "limits", "metadata": {}, "spec": limits}]
    return json.dumps({"version": f"r{version}", "resources": resources}).encode()


def write_settings(
    path: Path,
    index: int,
    host: str,
    base: int,
    target: Address,
    pool: str,
    store: Address,
    **more: Any,
) -> dict[str, Address]:
    """Write a node's settings file and return the addresses that it listens on.

    Args:
        path: File to write.
        index: Index of the node; it selects name and zone.
        host: IP address of its VM.
        base: First of its ``PORTS_PER_NODE`` ports, the same on every VM.
        target: Address of its target.
        pool: Pool of its target.
        store: Address of the store.
        more: Settings that replace the defaults.
    """
    ports = {name: (host, base + offset) for offset, name in enumerate(LISTENER_NAMES)}
    settings = {
        "node": f"node-{index}",
        "ip": host,
        "zone": f"zone-{'abc'[index % 3]}",
        "listen": {name: f"{ip}:{port}" for name, (ip, port) in ports.items()},
        "port_range": [base + len(LISTENER_NAMES), base + PORTS_PER_NODE - 1],
        "seeds": [],
        "limits": {"memory_mb": 300},
        "heartbeat": "1500ms",
        "bounds": ["drain=2s", "config=2s", "grace=6s"],
        "app_addr": f"{target[0]}:{target[1]}",
        "service": pool,
        "provider": {"address": f"{store[0]}:{store[1]}"},
        **more,
    }
    path.write_text(json.dumps(settings))
    return ports
