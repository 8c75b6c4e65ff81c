"""Restarts that a soak test draws: overlapping, beside held addresses, with routes."""

__all__ = ["SoakRestarts"]

import asyncio
import signal
import socket
from dataclasses import dataclass, field
from random import Random

from .processstate import handles_signal
from .proxy import LINGER_RESET
from .soakfleet import Address, SimulatedVM
from .soakplanned import SoakPlannedWork

INTERVAL_S = 4.0
MAX_LEAD_S = 1.0
SIGNALS_IN_SERIES = 6
MAX_SERIES_GAP_S = 0.5
MIN_HELD_S = 1.0
MAX_HELD_S = 3.0
MAX_STARTUP_S = 5.0
POLL_PERIOD_S = 0.05
MANY_ROUTES = 300


@dataclass
class SoakRestarts(SoakPlannedWork):
    """A fleet whose nodes start while their addresses are held, also by themselves."""

    restart_rng: Random = field(init=False)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.restart_rng = Random(f"restarts {self.seed}")

    async def restart_nodes(self) -> None:
        """Start a random kind of restart at random intervals, until cancelled."""
        rng = self.restart_rng
        kinds = [
            self._replace_node,
            self._signal_in_series,
            self._hold_address,
            self._change_routes,
        ]
        while True:
            await asyncio.sleep(INTERVAL_S * rng.uniform(0.2, 1.0))
            kind, vm = rng.choice(kinds), rng.choice(self.vms)
            name = kind.__name__.strip("_")
            self.faults.append(f"{self.now():.2f} {name} node-{vm.index}")
            self.spawn(kind(vm))

    async def _replace_node(self, vm: SimulatedVM) -> None:
        """Start a node's next process while the one before still drains."""
        process = vm.process
        if process is None or not self._send_signal(vm, signal.SIGTERM):
            return
        self.history.record_node_fault(vm.index, self.now())
        self.spawn(self.await_exit(vm, process))
        await asyncio.sleep(self.restart_rng.uniform(0.0, MAX_LEAD_S))
        if vm.process is process:
            await self.start_node(vm)

    async def _signal_in_series(self, vm: SimulatedVM) -> None:
        """Replace, stop and reload nodes in series; the stops overlap."""
        rng = self.restart_rng
        kinds = [self._replace_node, self._stop_node, self._reload_node]
        for _ in range(SIGNALS_IN_SERIES):
            kind, other = rng.choice(kinds), rng.choice(self.vms)
            self.spawn(kind(other))
            await asyncio.sleep(rng.uniform(0.0, MAX_SERIES_GAP_S))

    async def _change_routes(self, vm: SimulatedVM) -> None:
        """Store a version with many routes, or without them, while nodes restart."""
        self.extra_routes = MANY_ROUTES - self.extra_routes
        await self.store_version(self.restart_rng.randint(1, 3))
        for other in self.restart_rng.sample(self.vms, 2):
            self.spawn(self._replace_node(other))

    async def _hold_address(self, vm: SimulatedVM) -> None:
        """Hold one of a node's addresses for a while when its next process starts."""
        process = vm.process
        if process is None or not self._send_signal(vm, signal.SIGTERM):
            return
        self.history.record_node_fault(vm.index, self.now())
        await self.await_exit(vm, process)
        if vm.process is not process:
            return
        address = self.restart_rng.choice(vm.listen_addresses)
        held = _hold(address, self.restart_rng.choice((True, False)))
        await self.start_node(vm)
        await self._await_handlers(vm)
        await asyncio.sleep(self.restart_rng.uniform(MIN_HELD_S, MAX_HELD_S))
        for sock in held:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()
        self.history.record_node_fault(vm.index, self.now())

    async def _await_handlers(self, vm: SimulatedVM) -> None:
        """Wait until a node handles stop signals, just before it needs its addresses.

        Return earlier if it ends, or has not come so far after some seconds.
        """
        give_up_at = self.now() + MAX_STARTUP_S
        while vm.process is not None and self.now() < give_up_at and vm.running:
            if handles_signal(vm.process.pid, signal.SIGTERM):
                return
            await asyncio.sleep(POLL_PERIOD_S)


def _hold(address: Address, listening: bool) -> list[socket.socket]:
    """Return a listener at an address, or a connection from there with its peer.

    Return nothing if a process holds the address already.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        return []
    if listening:
        sock.listen()
        return [sock]
    # Otherwise a listener could share the address with the connection.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
    peer = socket.create_server((address[0], 0))
    sock.connect(peer.getsockname())
    return [sock, peer]
