"""Faults that a soak test injects at nodes, targets and the store."""

__all__ = ["SoakFaults"]

import asyncio
import os
import signal
from asyncio.subprocess import Process
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from .mesh_standin import TargetMode, TargetStandIn
from .processstate import cpu_time_s
from .proxy import FaultyProxy, ProxyFaults
from .soakaccounts import REVOKE_BOUND_S
from .soakfleet import DRAIN_BOUND_S, GRACE_PERIOD_S, SimulatedVM, SoakFleet

FAULT_INTERVAL_S = 0.6
STORE_RETURN_INTERVAL_S = 5.0
# Processor time after which the interpreter has run the first lines of a process.
FIRST_LINES_S = 0.1
# Beyond the bound after which no node may use a withdrawn key.
OUTAGE_S = REVOKE_BOUND_S + 1.5


@dataclass
class SoakFaults(SoakFleet):
    """A fleet at which faults are injected.

    Args:
        faults: Injected faults in order of their start, with time and node.
    """

    faults: list[str] = field(default_factory=list)

    async def inject_faults(self) -> None:
        """Start a random fault at a random node at random intervals; faults overlap."""
        faults: list[Callable[[SimulatedVM], Awaitable[None]]] = [
            self._kill_node,
            self._stop_node,
            self._pause_node,
            self._reload_node,
            self._cut_store,
            self._slow_store,
            self._lose_store_answers,
            self._refuse_store,
            self._forget_store,
            self._silence_store,
            self._reset_target,
            self._delay_target,
            self._silence_target,
            self._garble_target,
            self._crash_target,
            self._drain_target,
            self._change_config,
            self._withdraw_key,
        ]
        while True:
            await asyncio.sleep(FAULT_INTERVAL_S * (0.5 + self.rng.random()))
            fault = self.rng.choice(faults)
            vm = self.rng.choice(self.vms)
            name = fault.__name__.strip("_")
            self.faults.append(f"{self.now():.2f} {name} node-{vm.index}")
            self.spawn(fault(vm))

    async def _random_pause(self, min_s: float = 0.3, max_s: float = 2.0) -> None:
        await asyncio.sleep(self.rng.uniform(min_s, max_s))

    def _send_signal(self, vm: SimulatedVM, signal_number: int) -> bool:
        if not vm.running or vm.process is None:
            return False
        if signal_number in (signal.SIGTERM, signal.SIGKILL):
            vm.expect_exit(signal_number)
        return _signal_process(vm.process, signal_number)

    async def _await_exit_and_restart(self, vm: SimulatedVM) -> None:
        """Wait for the end of the node's process; start the next if nobody has."""
        process = vm.process
        assert process is not None
        await self.await_exit(vm, process)
        await asyncio.sleep(0.2)
        if vm.process is process:
            await self.start_node(vm)

    async def await_exit(self, vm: SimulatedVM, process: Process) -> None:
        """Wait for the end of a process that was stopped, at most for its grace."""
        try:
            async with asyncio.timeout(GRACE_PERIOD_S):
                await process.wait()
        except TimeoutError:
            self.history.notes.append(
                f"node-{vm.index} did not exit within its grace period"
            )
            vm.exit_codes[process.pid].add(-signal.SIGKILL)
            process.kill()
            await process.wait()

    async def _kill_node(self, vm: SimulatedVM) -> None:
        if self._send_signal(vm, signal.SIGKILL):
            self.history.record_node_fault(vm.index, self.now())
            await self._await_exit_and_restart(vm)

    async def _stop_node(self, vm: SimulatedVM) -> None:
        if self._send_signal(vm, signal.SIGTERM):
            self.history.record_node_fault(vm.index, self.now())
            await self._await_exit_and_restart(vm)

    async def _pause_node(self, vm: SimulatedVM) -> None:
        process = vm.process
        if process is not None and self._send_signal(vm, signal.SIGSTOP):
            self.history.record_node_fault(vm.index, self.now())
            await self._random_pause()
            _signal_process(process, signal.SIGCONT)
            self.history.record_node_fault(vm.index, self.now())

    async def _reload_node(self, vm: SimulatedVM) -> None:
        if vm.process is not None and cpu_time_s(vm.process.pid) > FIRST_LINES_S:
            self._send_signal(vm, signal.SIGHUP)

    async def _apply_proxy_faults(
        self, proxy: FaultyProxy, faults: ProxyFaults
    ) -> None:
        proxy.faults = faults
        await self._random_pause()
        proxy.faults = ProxyFaults()
        proxy.reset_all()

    async def _cut_store(self, vm: SimulatedVM) -> None:
        self.history.record_node_fault(vm.index, self.now(), store=True)
        faults = ProxyFaults(silent=self.rng.random() < 0.5, refuse=True)
        vm.store_proxy.reset_all()
        await self._apply_proxy_faults(vm.store_proxy, faults)
        self.history.record_node_fault(vm.index, self.now(), store=True)

    async def _apply_store_fault(self, name: str, value: Any) -> None:
        self.history.record_store_fault(self.now())
        setattr(self.store.faults, name, value)
        await self._random_pause()
        setattr(self.store.faults, name, type(value)())
        self.history.record_store_fault(self.now())

    async def _slow_store(self, vm: SimulatedVM) -> None:
        await self._apply_store_fault("delay_s", 0.3)

    async def _lose_store_answers(self, vm: SimulatedVM) -> None:
        await self._apply_store_fault("lose_answers", True)

    async def _refuse_store(self, vm: SimulatedVM) -> None:
        await self._apply_store_fault("refuse", 503)

    async def _forget_store(self, vm: SimulatedVM) -> None:
        self.store.compact_history()

    async def _silence_store(self, vm: SimulatedVM) -> None:
        """Silence the store, at times beyond the bound, while a key is withdrawn."""
        self.history.record_store_fault(self.now())
        duration_s = self.rng.choice((1.0, OUTAGE_S, OUTAGE_S))
        self.store.forget_waiting_calls()
        self.store.faults.silent = True
        await self._withdraw_key(vm)
        await asyncio.sleep(duration_s)
        self.store.faults.silent = False
        self.history.record_store_fault(self.now())

    async def return_store(self) -> None:
        """Bring the store back from copies some seconds old, until cancelled."""
        rng = Random(f"store returns {self.seed}")
        while True:
            await asyncio.sleep(STORE_RETURN_INTERVAL_S * rng.uniform(0.2, 1.0))
            self.store.take_copy()
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            self.faults.append(f"{self.now():.2f} return_store")
            self.history.record_store_fault(self.now())
            self.store.faults.refuse = 503
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            self.store.return_from_copy()
            self.store.faults.refuse = 0
            await self.store.put("op", "config", self.current_config())
            self.history.record_store_fault(self.now())

    async def _reset_target(self, vm: SimulatedVM) -> None:
        vm.target_proxy.reset_all()

    async def _delay_target(self, vm: SimulatedVM) -> None:
        await self._apply_proxy_faults(vm.target_proxy, ProxyFaults(delay_s=0.2))

    async def _silence_target(self, vm: SimulatedVM) -> None:
        one_way = self.rng.random() < 0.5
        faults = ProxyFaults(one_way=one_way, silent=not one_way)
        await self._apply_proxy_faults(vm.target_proxy, faults)

    async def _garble_target(self, vm: SimulatedVM) -> None:
        kinds = ("cut", "extra", "late", "junk", "foreign", "unframed-reset")
        for kind in self.rng.sample(kinds, len(kinds)):
            vm.target.mode = TargetMode(work_s=0.02, garble=kind)
            await self._random_pause(0.1, 0.4)
        vm.target.mode = TargetMode(work_s=0.02)

    async def _crash_target(self, vm: SimulatedVM) -> None:
        if vm.target.state == "ready":
            await self._replace_target(vm, 0.0)

    async def _drain_target(self, vm: SimulatedVM) -> None:
        if vm.target.state == "ready":
            vm.target.state = "draining"
            await self._replace_target(vm, DRAIN_BOUND_S + 2.0)

    async def _replace_target(self, vm: SimulatedVM, delay_s: float) -> None:
        """Stop the target and start a new one at the address that its node uses."""
        await asyncio.sleep(delay_s)
        old = vm.target
        if old.state == "gone":
            return
        old.state = "gone"
        old.stop()
        self.history.membership_changes.append(self.now())
        self.history.runs.extend(old.runs)
        vm.target_proxy.reset_all()
        await self._random_pause(0.1, 0.8)
        replacement = TargetStandIn(
            old.pool, old.slots, f"t{vm.index}-{self._next_target_number()}"
        )
        replacement.mode = TargetMode(work_s=0.02)
        await replacement.start(vm.host)
        vm.target_proxy.server = replacement.address
        replacement.address = old.address
        replacement.heartbeat_address = old.heartbeat_address
        replacement.caller_address = old.caller_address
        self.history.pools[replacement.target_id] = replacement.pool
        vm.target = replacement

    def _next_target_number(self) -> int:
        return len(self.history.pools)

    async def _change_config(self, vm: SimulatedVM) -> None:
        await self.store_version(self.rng.randint(1, 3))

    async def store_version(self, step: int) -> None:
        """Store a configuration whose version is higher by a step."""
        self.version += step
        await self.store.put("op", "config", self.current_config())
        pool = "shop" if self.version % 2 else "stock"
        self.history.record_config(self.version, pool, self.now())

    async def _withdraw_key(self, vm: SimulatedVM) -> None:
        self.accounts.replace_key(self.now())
        await self._change_config(vm)


def _signal_process(process: Process, signum: int) -> bool:
    """Send a process a signal; report whether it had not ended.

    ``Process.send_signal`` would take the exit code of a process that just ended.
    """
    if process.returncode is not None:
        return False
    try:
        os.kill(process.pid, signum)
    except ProcessLookupError:
        return False
    return True
