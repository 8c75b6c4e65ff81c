"""Start and stop a deployment's processes on loopback.

The launcher is a development tool; no process of the product starts another.
"""

import contextlib
import json
import os
import re
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from dogwooddock.porcelain import apply_tables

from .deployments import Deployment

START_TIMEOUT_S = 60.0
READY_TIMEOUT_S = 30.0
_HTTP = urllib3.PoolManager(retries=False, timeout=10.0)


@dataclass
class NodeProcess:
    """One node process and its addresses."""

    name: str
    zone: str
    pool: str
    process: subprocess.Popen
    log: Path
    router: str = ""
    local: str = ""
    peer: str = ""
    admin: str = ""

    def read_addresses(self) -> bool:
        """Read the addresses from the log; return whether they are there."""
        for line in self.log.read_text().splitlines():
            if "event=node_started" in line:
                for name in ("router", "local", "peer", "admin"):
                    found = re.search(rf"\b{name}=(\S+)", line)
                    assert found is not None
                    setattr(self, name, found.group(1))
                return True
        if self.process.poll() is not None:
            raise RuntimeError(f"{self.name} exited:\n{self.log.read_text()}")
        return False


@dataclass
class TargetHost:
    """One stand-in process that hosts a pool's targets."""

    pool: str
    process: subprocess.Popen
    control: str = ""
    targets: dict[str, str] = field(default_factory=dict)

    def command(self, **document: Any) -> None:
        """Send a control command."""
        _HTTP.request("POST", f"http://{self.control}/control", json=document)

    def executions(self) -> list[dict[str, Any]]:
        """Return what the targets ran."""
        return _HTTP.request("GET", f"http://{self.control}/log").json()


class Fleet:
    """A running deployment.

    Args:
        deployment: Shape to run.
        folder: Folder for logs.
        seed: Seed of the stand-ins.
        node_options: Extra flags of every node.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        seed: int = 1,
        node_options: tuple[str, ...] = (),
        command: tuple[str, ...] = ("dogwooddock",),
    ):
        self.deployment = deployment
        self.folder = folder
        self.seed = seed
        self.node_options = node_options
        self.command = command
        self.nodes: list[NodeProcess] = []
        self.hosts: dict[str, TargetHost] = {}
        self.platform: subprocess.Popen | None = None
        self.platform_url = ""
        folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def tables_folder(self) -> Path:
        """Return the folder with the tables to apply."""
        return self.deployment.folder

    # Start.

    def start(self) -> None:
        """Start everything and wait until all pools are served."""
        self.start_platform()
        apply_tables(self.tables_folder, self.platform_url, "bench")
        for service in self.deployment.services:
            for index in range(service.targets):
                zone = self.deployment.zones[index % len(self.deployment.zones)]
                self.start_node(f"{service.pool}-{index}", zone, service.pool)
        self.await_nodes(self.nodes)
        for service in self.deployment.services:
            nodes = [node for node in self.nodes if node.pool == service.pool]
            self.start_host(service.pool, nodes)
        self.await_ready()

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        command = [sys.executable, "-m", "bench.platform_standin", str(self.seed)]
        self.platform = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self.platform.stdout is not None
        address = json.loads(self.platform.stdout.readline())["address"]
        self.platform_url = f"http://{address}"

    def faults(self, **document: Any) -> None:
        """Change the platform's faults."""
        _HTTP.request("POST", f"{self.platform_url}/faults", json=document)

    def start_node(self, name: str, zone: str, pool: str, *options: str) -> NodeProcess:
        """Start one node process."""
        log = self.folder / f"{name}-{len(self.nodes)}.log"
        command = [sys.executable, "-m", *self.command, "node"]
        command += ["--name", name, "--zone", zone]
        command += ["--platform-url", self.platform_url]
        command += [*self.node_options, *options]
        with log.open("w") as output:
            process = subprocess.Popen(command, stderr=output, stdout=output)
        node = NodeProcess(name, zone, pool, process, log)
        self.nodes.append(node)
        return node

    def await_nodes(self, nodes: list[NodeProcess]) -> None:
        """Wait until nodes have printed their addresses."""
        _await(lambda: all(node.read_addresses() for node in nodes), START_TIMEOUT_S)

    def start_host(self, pool: str, nodes: list[NodeProcess], **extra: Any) -> None:
        """Start the stand-in process for a pool's targets."""
        service = next(s for s in self.deployment.services if s.pool == pool)
        targets = []
        for index, node in enumerate(nodes):
            speed = service.speeds[index % len(service.speeds)]
            targets.append(
                {
                    "name": node.name,
                    "pool": pool,
                    "local": node.local,
                    "slots": service.slots,
                    "speed": speed,
                    **extra,
                }
            )
        paths = {path: vars(item) for path, item in self.deployment.paths.items()}
        document = {"seed": self.seed, "targets": targets, "paths": paths}
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.target_standin"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(json.dumps(document) + "\n")
        process.stdin.flush()
        started = json.loads(process.stdout.readline())
        host = TargetHost(pool, process, started["address"], started["targets"])
        self.hosts[f"{pool}-{len(self.hosts)}" if pool in self.hosts else pool] = host

    def await_ready(self) -> None:
        """Wait until every node serves and sees every other."""
        live = [node for node in self.nodes if node.process.poll() is None]
        wanted = len(live)

        def ready() -> bool:
            for node in live:
                state = self.state(node)
                serving = sum(
                    1
                    for member in state["members"]
                    if member["pool"] and member["state"] == "alive"
                )
                if serving < wanted or not state["gate"]["serving"]:
                    return False
            return True

        _await(ready, READY_TIMEOUT_S)

    # Views and actions.

    def state(self, node: NodeProcess) -> dict[str, Any]:
        """Return a node's state dump."""
        return _HTTP.request("GET", f"http://{node.admin}/state").json()

    def alive(self) -> list[NodeProcess]:
        """Return the nodes whose process runs."""
        return [node for node in self.nodes if node.process.poll() is None]

    def node(self, name: str) -> NodeProcess:
        """Return the live node of that name."""
        return next(node for node in self.alive() if node.name == name)

    def routers(self) -> list[str]:
        """Return the router addresses of live nodes."""
        return [node.router for node in self.alive()]

    def executions(self) -> list[dict[str, Any]]:
        """Return what all targets ran."""
        rows: list[dict[str, Any]] = []
        for host in self.hosts.values():
            if host.process.poll() is None:
                rows.extend(host.executions())
        return rows

    def clear(self) -> None:
        """Forget what the targets ran."""
        for host in self.hosts.values():
            host.command(action="clear")

    # Stop.

    def stop(self) -> None:
        """Kill everything that still runs."""
        processes = [node.process for node in self.nodes]
        processes += [host.process for host in self.hosts.values()]
        if self.platform is not None:
            processes.append(self.platform)
        for process in processes:
            with contextlib.suppress(OSError):
                os.kill(process.pid, signal.SIGCONT)
            process.kill()
        for process in processes:
            process.wait()
            for stream in (process.stdin, process.stdout):
                if stream is not None:
                    with contextlib.suppress(OSError):
                        stream.close()


def _await(ready: Any, timeout_s: float) -> None:
    deadline = time.monotonic() + timeout_s
    while not ready():
        if time.monotonic() > deadline:
            raise RuntimeError("the fleet did not become ready in time")
        time.sleep(0.1)
