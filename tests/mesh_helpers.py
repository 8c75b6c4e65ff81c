"""Helpers to run a few nodes in one process, with stand-ins for store and targets."""

import asyncio
import json
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

from bench.mesh_standin import StoreStandIn, TargetStandIn
from bench.settingsfile import free_ports
from dogwooddock.http1.client import ConnectionPool, RequestFailure
from dogwooddock.http1.messages import Response, render_request
from dogwooddock.listening import RETRY_PERIOD_S, AddressReservation
from dogwooddock.mesh.environment import Bounds, NodeEnvironment
from dogwooddock.mesh.node import MeshNode
from dogwooddock.platform.adapter import platform_adapter
from dogwooddock.platform.settings import listen_addresses

WAIT_S = 5.0


def route_entry(name, pool, prefix, **spec):
    spec = {
        "host": "app.example",
        "prefix": prefix,
        "kind": "idempotent",
        "timeout": "8000ms",
        "slo": "1000ms",
        "priority": 1,
        "attempts": 2,
        **({"service": pool} if isinstance(pool, str) else {"split": pool}),
        **spec,
    }
    return {"type": "routes", "metadata": {"name": name}, "spec": spec}


def config_document(version, routes, **limits):
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1 << 20,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
        **limits,
    }
    body = {
        "version": f"r{version}",
        "resources": [
            *routes,
            {"type": "limits", "metadata": {}, "spec": limits},
        ],
    }
    return json.dumps(body).encode()


def account_entry(name, *api_keys, **spec):
    spec = {"api_keys": list(api_keys), **spec}
    return {"type": "tenants", "metadata": {"name": name}, "spec": spec}


DEFAULT_ROUTES = [
    route_entry("read", "shop", "/read/"),
    route_entry("order", "shop", "/order/", kind="non_idempotent", priority=0),
    route_entry("stock", "stock", "/stock/"),
]


@dataclass
class SimulatedVM:
    """A node and its target, as on one VM."""

    env: NodeEnvironment
    node: MeshNode
    target: TargetStandIn

    async def send_request(self, path="/read/1", request_id="req-1", **options):
        return await send_request(self.env.caller_listen, path, request_id, **options)


@dataclass
class Fleet:
    store: StoreStandIn
    vms: list[SimulatedVM] = field(default_factory=list)

    @property
    def runs(self):
        return [run for vm in self.vms for run in vm.target.runs]


async def send_request(
    address, path, request_id, method="GET", body=b"", wait_ms=1500, headers=b""
):
    block = (
        f"Host: app.example\r\nDogwooddock-Request-Id: {request_id}\r\n"
        f"Dogwooddock-Deadline-Ms: {wait_ms}\r\n"
    ).encode() + headers
    conn = await ConnectionPool(address).open()
    result = await conn.exchange(
        render_request(method.encode(), path.encode(), block, body)
    )
    conn.close()
    return result


async def wait_until(condition, wait_s=WAIT_S):
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    while not condition():
        if loop.time() > deadline:
            raise AssertionError(f"condition not met: {condition}")
        await asyncio.sleep(0.01)


def environment(index, pool, target_address, store_address, **bounds):
    host = f"127.0.0.{index + 1}"
    ports = free_ports(4)
    return NodeEnvironment(
        name=f"node-{index}",
        ip=host,
        zone=f"zone-{'ab'[index % 2]}",
        pool=pool,
        target=target_address,
        caller_listen=(host, ports),
        ready_listen=(host, ports + 1),
        heartbeat_listen=(host, ports + 2),
        peer_listen=(host, ports + 3),
        contacts=(),
        store=store_address,
        bounds=Bounds(**bounds),
    )


class FakeSettings:
    """Settings source that a test can change or make fail."""

    def __init__(self, env):
        self.env = env
        self.error = None
        self.is_changed = False

    def read(self):
        self.is_changed = False
        if self.error is not None:
            raise self.error
        return self.env

    def changed(self):
        return self.is_changed


async def start_node(env):
    node = MeshNode(env, platform_adapter(env, FakeSettings(env)), Random(7))
    reservation = AddressReservation(listen_addresses(env))
    while (sockets := reservation.attempt(0.0)) is None:
        await asyncio.sleep(RETRY_PERIOD_S)
    await node.start(sockets)
    return node


async def start_vm(fleet, index, pool, contacts=(), bounds=None):
    target = TargetStandIn(pool, target_id=f"t-{index}")
    await target.start(f"127.0.0.{index + 1}", free_ports(1))
    store_address = fleet.store.address
    env = environment(index, pool, target.address, store_address, **(bounds or {}))
    env = NodeEnvironment(**{**_fields(env), "contacts": contacts})
    node = await start_node(env)
    target.heartbeat_address = env.heartbeat_listen
    target.caller_address = env.caller_listen
    vm = SimulatedVM(env, node, target)
    fleet.vms.append(vm)
    return vm


def _fields(env):
    return {name: getattr(env, name) for name in env.__dataclass_fields__}


def pass_retry_window(node, nodes):
    """Give a node its extra retries at once, as if it had run for a window."""
    node.retries._has_share_at = float("-inf")
    node.retries.resize(nodes, 0.0)


async def restart_node(vm):
    """Abort a node without drain and start a new one at the same addresses."""
    await kill_node(vm.node)
    vm.node = await start_node(vm.env)


async def kill_node(node):
    for server in node.listeners.servers:
        server.stop()
        for conn in list(server.connections):
            conn.abort()
    for task in node._tasks:
        task.cancel()
    node.links.stop()
    node.fleet.close()
    node.gate.connections.close()
    await asyncio.sleep(0.05)


def cut_links(vm, other):
    """Partition two VMs until ``heal_links``."""
    for node, peer in ((vm, other), (other, vm)):
        link = node.node.fleet._link(peer.env.peer_listen)
        link._redial_at = float("inf")
        if link._link is not None:
            link._link.close()


def heal_links(vm, other):
    for node, peer in ((vm, other), (other, vm)):
        node.node.fleet._link(peer.env.peer_listen)._redial_at = 0.0


@asynccontextmanager
async def running_fleet(*pools, routes=None, send_heartbeats=True, bounds=None):
    """Start a store, and a node with its target for each given pool."""
    fleet = Fleet(StoreStandIn())
    await fleet.store.start()
    document = config_document(1, routes or DEFAULT_ROUTES)
    await fleet.store.put("op", "config", document)
    try:
        for index, pool in enumerate(pools):
            vm = await start_vm(fleet, index, pool, bounds=bounds)
            pass_retry_window(vm.node, len(pools))
        await wait_until(lambda: all(vm.node.ready for vm in fleet.vms))
        if send_heartbeats:
            for vm in fleet.vms:
                await send_first_heartbeat(vm)
            expected = len(pools)
            await wait_until(
                lambda: all(len(vm.node.fleet.members) == expected for vm in fleet.vms)
            )
            await wait_until(lambda: all(_all_links_up(vm) for vm in fleet.vms))
        yield fleet
    finally:
        for vm in fleet.vms:
            vm.target.stop()
            await kill_node(vm.node)
        fleet.store.stop()


def _all_links_up(vm):
    links = vm.node.fleet._links.values()
    return all(link.is_up for link in links)


async def send_first_heartbeat(vm):
    await wait_until(lambda: vm.node.target_monitor._recovered)
    assert await vm.target.send_heartbeat() == 200
    await wait_until(lambda: vm.node.gate.accepting)


def is_lost(result):
    return isinstance(result, RequestFailure)


def status_of(result):
    return result.status if isinstance(result, Response) else 0
