"""Start and stop the processes of a benchmark deployment on loopback.

This is a development tool; no process of the product starts another one.
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
_HTTP_POOL = urllib3.PoolManager(retries=False, timeout=10.0)


@dataclass
class NodeProcess:
    """One node process and its listening addresses, each as "IP:PORT".

    Args:
        name: Name of the node.
        zone: Availability zone.
        pool: Pool of the target next to it.
        process: Process of the node.
        log: File with the output of the process.
        router: Address for requests from routers; empty until read from the log, as
            are the other addresses.
        local: Address for the local target.
        peer: Address for other nodes.
        admin: Address for operators.
    """

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
        """Read the addresses from the log; return whether they were logged.

        Raises:
            RuntimeError: If the process exited before it logged them.
        """
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
    """One process that hosts the stand-in targets of a pool.

    Args:
        pool: Name of the pool.
        process: The process.
        control: Address of its control port, as "IP:PORT".
        targets: Addresses of the targets by name.
    """

    pool: str
    process: subprocess.Popen
    control: str = ""
    targets: dict[str, str] = field(default_factory=dict)

    def command(self, **document: Any) -> None:
        """Send a command to the control port."""
        _HTTP_POOL.request("POST", f"http://{self.control}/control", json=document)

    def executions(self) -> list[dict[str, Any]]:
        """Return the requests that the targets received."""
        return _HTTP_POOL.request("GET", f"http://{self.control}/log").json()


class Fleet:
    """A running deployment.

    Args:
        deployment: Deployment to run.
        folder: Folder for logs.
        seed: Seed of the stand-ins.
        node_options: Extra flags of every node.
        command: Module that runs a node, and its arguments before ``node``.
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
        """Folder with the tables to apply."""
        return self.deployment.tables_folder

    # Start.

    def start(self) -> None:
        """Start all processes and wait until every pool has its targets."""
        self.start_platform()
        apply_tables(self.tables_folder, self.platform_url, "bench")
        for service in self.deployment.services:
            for index in range(service.targets):
                zone = self.deployment.zones[index % len(self.deployment.zones)]
                self.start_node(f"{service.pool}-{index}", zone, service.pool)
        self.wait_for_addresses(self.nodes)
        for service in self.deployment.services:
            nodes = [node for node in self.nodes if node.pool == service.pool]
            self.start_host(service.pool, nodes)
        self.wait_until_ready()

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        command = [sys.executable, "-m", "bench.platform_standin", str(self.seed)]
        self.platform = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self.platform.stdout is not None
        address = json.loads(self.platform.stdout.readline())["address"]
        self.platform_url = f"http://{address}"

    def set_faults(self, **document: Any) -> None:
        """Change faults of the platform stand-in; faults not given stay."""
        _HTTP_POOL.request("POST", f"{self.platform_url}/faults", json=document)

    def start_node(self, name: str, zone: str, pool: str, *options: str) -> NodeProcess:
        """Start one node process; its addresses are not known yet."""
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

    def wait_for_addresses(self, nodes: list[NodeProcess]) -> None:
        """Wait until the nodes have logged their addresses."""
        _wait_until(
            lambda: all(node.read_addresses() for node in nodes), START_TIMEOUT_S
        )

    def start_host(self, pool: str, nodes: list[NodeProcess], **extra: Any) -> None:
        """Start a process with one stand-in target for each of the nodes.

        Args:
            pool: Pool of the targets.
            nodes: Nodes to which the targets announce themselves.
            extra: Further fields of each target's specification.
        """
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

    def wait_until_ready(self) -> None:
        """Wait until every node serves and sees all others as serving."""
        live = [node for node in self.nodes if node.process.poll() is None]
        expected = len(live)

        def ready() -> bool:
            for node in live:
                state = self.state(node)
                serving = sum(
                    1
                    for member in state["members"]
                    if member["pool"] and member["state"] == "alive"
                )
                if serving < expected or not state["gate"]["serving"]:
                    return False
            return True

        _wait_until(ready, READY_TIMEOUT_S)

    # State and actions.

    def state(self, node: NodeProcess) -> dict[str, Any]:
        """Return a node's state dump."""
        return _HTTP_POOL.request("GET", f"http://{node.admin}/state").json()

    def live_nodes(self) -> list[NodeProcess]:
        """Return the nodes whose process is running."""
        return [node for node in self.nodes if node.process.poll() is None]

    def node(self, name: str) -> NodeProcess:
        """Return the live node with a name."""
        return next(node for node in self.live_nodes() if node.name == name)

    def routers(self) -> list[str]:
        """Return the router addresses of live nodes."""
        return [node.router for node in self.live_nodes()]

    def executions(self) -> list[dict[str, Any]]:
        """Return the requests that all targets received."""
        rows: list[dict[str, Any]] = []
        for host in self.hosts.values():
            if host.process.poll() is None:
                rows.extend(host.executions())
        return rows

    def clear_logs(self) -> None:
        """Clear the request logs of all targets."""
        for host in self.hosts.values():
            host.command(action="clear")

    # Stop.

    def stop(self) -> None:
        """Kill all processes that are still running, paused ones too."""
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


def _wait_until(ready: Any, timeout_s: float) -> None:
    deadline = time.monotonic() + timeout_s
    while not ready():
        if time.monotonic() > deadline:
            raise RuntimeError("the deployment did not become ready in time")
        time.sleep(0.1)
