"""Randomized fault soak: real nodes as processes, faults from outside.

Run with ``python -m bench.soak --seed N --seconds S``. It starts a store and targets
in this process, each behind a proxy, and nodes as processes of their own. It ends
only processes that it started.
"""

__all__ = ["SoakReport", "main", "run_soak"]

import argparse
import asyncio
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from dogwooddock.http1.client import ClientConnection, ConnectionPool, RequestFailure
from dogwooddock.http1.messages import Response, render_request

from .mesh_standin import TargetMode, TargetStandIn, answer_body
from .proxy import FaultyProxy, ProxyFaults
from .soakfleet import CONFIG_S, DRAIN_S, GRACE_S, Place, SoakFleet
from .soakjudge import Attempt, find_violations

RECOVER_S = 6.0
CLIENTS_PER_NODE = 4
REQUEST_GAP_S = 0.02
DEADLINE_MS = 1500
FAULT_GAP_S = 0.6


@dataclass
class SoakReport:
    """Result of a soak.

    Args:
        seed: Seed of the run.
        outcomes: Answers by status.
        violations: Broken promises, each as a sentence.
        faults: Faults in the order in which they began.
    """

    seed: int
    outcomes: Counter[int]
    violations: list[str]
    faults: list[str]


@dataclass
class _Soak(SoakFleet):
    seconds: float = 10.0
    faults: list[str] = field(default_factory=list)

    # Clients.

    async def _client(self, place: Place, number: int) -> None:
        """Keep sending on one connection until it is gone."""
        rng = Random(self.seed * 1000 + place.index * 10 + number)
        conn: ClientConnection | None = None
        count = 0
        while True:
            await asyncio.sleep(REQUEST_GAP_S * (0.5 + rng.random()))
            if conn is None or not conn.usable:
                try:
                    conn = await ConnectionPool(place.ports["outbound"]).open()
                except OSError:
                    continue
            count += 1
            name = rng.choice(("read", "order", "stock", "moving"))
            request_id = f"{self.seed:x}{place.index}{number}{count:06x}"
            attempt = Attempt(request_id, name, place.index, place.lifetime, self.now())
            self.history.attempts[request_id] = attempt
            await self._send(conn, attempt)

    async def _send(self, conn: ClientConnection, attempt: Attempt) -> None:
        block = (
            f"Host: app.example\r\nDogwooddock-Request-Id: {attempt.request_id}\r\n"
            f"Dogwooddock-Deadline-Ms: {DEADLINE_MS}\r\n"
        ).encode()
        method = b"POST" if attempt.route == "order" else b"GET"
        data = render_request(method, f"/{attempt.route}/1".encode(), block, b"")
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 2.0):
                result = await conn.exchange(data)
        except TimeoutError:
            conn.abort()
            result = RequestFailure(True, False, False, False, "no answer")
        attempt.ended_at = self.now()
        if isinstance(result, Response):
            attempt.status = result.status
            attempt.whole = result.body == answer_body(attempt.request_id)
            attempt.own = result.fields.get(b"dogwooddock-request-id") == (
                attempt.request_id.encode()
            )
            stamp = result.fields.get(b"dogwooddock-server-stamp", b"").decode()
            attempt.target_id = stamp

    # Faults.

    async def _play_faults(self) -> None:
        """Begin faults one after the other; they overlap."""
        kinds: list[Callable[[Place], Awaitable[None]]] = [
            self._kill_node,
            self._stop_node,
            self._pause_node,
            self._reload_node,
            self._cut_store,
            self._slow_store,
            self._lose_store_answers,
            self._refuse_store,
            self._forget_store,
            self._reset_target,
            self._delay_target,
            self._silence_target,
            self._garble_target,
            self._crash_target,
            self._drain_target,
            self._change_config,
        ]
        while True:
            await asyncio.sleep(FAULT_GAP_S * (0.5 + self.rng.random()))
            kind = self.rng.choice(kinds)
            place = self.rng.choice(self.places)
            name = kind.__name__.strip("_")
            self.faults.append(f"{self.now():.2f} {name} node-{place.index}")
            self.spawn(kind(place))

    async def _hold(self, least_s: float = 0.3, most_s: float = 2.0) -> None:
        await asyncio.sleep(self.rng.uniform(least_s, most_s))

    def _signal(self, place: Place, number: int) -> bool:
        if not place.running or place.process is None:
            return False
        place.process.send_signal(number)
        return True

    async def _restart(self, place: Place) -> None:
        assert place.process is not None
        try:
            async with asyncio.timeout(GRACE_S):
                await place.process.wait()
        except TimeoutError:
            self.history.notes.append(f"node-{place.index} outlived its grace")
            place.process.kill()
            await place.process.wait()
        await asyncio.sleep(0.2)
        await self.start_node(place)

    async def _kill_node(self, place: Place) -> None:
        if self._signal(place, signal.SIGKILL):
            self.history.disturbed(place.index, self.now())
            await self._restart(place)

    async def _stop_node(self, place: Place) -> None:
        if self._signal(place, signal.SIGTERM):
            self.history.disturbed(place.index, self.now())
            await self._restart(place)

    async def _pause_node(self, place: Place) -> None:
        if self._signal(place, signal.SIGSTOP):
            self.history.disturbed(place.index, self.now())
            await self._hold()
            self._signal(place, signal.SIGCONT)
            self.history.disturbed(place.index, self.now())

    async def _reload_node(self, place: Place) -> None:
        self._signal(place, signal.SIGHUP)

    async def _with_proxy(self, proxy: FaultyProxy, faults: ProxyFaults) -> None:
        proxy.faults = faults
        await self._hold()
        proxy.faults = ProxyFaults()
        proxy.reset_all()

    async def _cut_store(self, place: Place) -> None:
        self.history.disturbed(place.index, self.now(), store=True)
        faults = ProxyFaults(silent=self.rng.random() < 0.5, refuse=True)
        place.store_proxy.reset_all()
        await self._with_proxy(place.store_proxy, faults)
        self.history.disturbed(place.index, self.now(), store=True)

    async def _store_fault(self, name: str, value: Any) -> None:
        self.history.store_disturbed(self.now())
        setattr(self.store.faults, name, value)
        await self._hold()
        setattr(self.store.faults, name, type(value)())
        self.history.store_disturbed(self.now())

    async def _slow_store(self, place: Place) -> None:
        await self._store_fault("delay_s", 0.3)

    async def _lose_store_answers(self, place: Place) -> None:
        await self._store_fault("lose_answers", True)

    async def _refuse_store(self, place: Place) -> None:
        await self._store_fault("refuse", 503)

    async def _forget_store(self, place: Place) -> None:
        self.store.forget_history()

    async def _reset_target(self, place: Place) -> None:
        place.target_proxy.reset_all()

    async def _delay_target(self, place: Place) -> None:
        await self._with_proxy(place.target_proxy, ProxyFaults(delay_s=0.2))

    async def _silence_target(self, place: Place) -> None:
        one_way = self.rng.random() < 0.5
        faults = ProxyFaults(one_way=one_way, silent=not one_way)
        await self._with_proxy(place.target_proxy, faults)

    async def _garble_target(self, place: Place) -> None:
        kinds = ("cut", "extra", "late", "junk", "foreign", "unframed-reset")
        place.target.mode = TargetMode(work_s=0.02, garble=self.rng.choice(kinds))
        await self._hold()
        place.target.mode = TargetMode(work_s=0.02)

    async def _crash_target(self, place: Place) -> None:
        if place.target.state == "ready":
            await self._replace_target(place, 0.0)

    async def _drain_target(self, place: Place) -> None:
        if place.target.state == "ready":
            place.target.state = "draining"
            await self._replace_target(place, DRAIN_S + 2.0)

    async def _replace_target(self, place: Place, after_s: float) -> None:
        """Stop the target and start another lifetime at its address."""
        await asyncio.sleep(after_s)
        old = place.target
        if old.state == "gone":
            return
        old.state = "gone"
        old.stop()
        self.history.runs.extend(old.runs)
        place.target_proxy.reset_all()
        await self._hold(0.1, 0.8)
        fresh = TargetStandIn(old.pool, old.slots, f"t{place.index}-{self._next()}")
        fresh.mode = TargetMode(work_s=0.02)
        await fresh.start(place.host)
        place.target_proxy.server = fresh.address
        fresh.address = old.address
        fresh.checkin_address = old.checkin_address
        fresh.caller_address = old.caller_address
        self.history.pools[fresh.target_id] = fresh.pool
        place.target = fresh

    def _next(self) -> int:
        return len(self.history.pools)

    async def _change_config(self, place: Place) -> None:
        self.version += self.rng.randint(1, 3)
        await self.store.put("op", "config", self.document())
        pool = "shop" if self.version % 2 else "stock"
        self.history.note_config(self.version, pool, self.now())

    # Run.

    async def run(self) -> SoakReport:
        """Play the faults, let everything recover, and judge."""
        await self.start()
        await asyncio.sleep(2.0)
        for place in self.places:
            for number in range(CLIENTS_PER_NODE):
                self.spawn(self._client(place, number))
        faults = self.spawn(self._play_faults())
        await asyncio.sleep(self.seconds)
        faults.cancel()
        await asyncio.sleep(GRACE_S + RECOVER_S)
        self.history.calm_from = self.now()
        await asyncio.sleep(2.0)
        self.history.ended_at = self.now()
        return await self._finish()

    async def _finish(self) -> SoakReport:
        for task in list(self.tasks):
            task.cancel()
        for place in self.places:
            if place.running and place.process is not None:
                place.process.kill()
                await place.process.wait()
            place.target.stop()
            place.target_proxy.stop()
            place.store_proxy.stop()
            self.history.runs.extend(place.target.runs)
        self.store.stop()
        for log in self.logs:
            log.close()
        outcomes = Counter(item.status for item in self.history.attempts.values())
        violations = find_violations(self.history, DRAIN_S, CONFIG_S)
        return SoakReport(self.seed, outcomes, violations, self.faults)


def run_soak(seed: int, seconds: float, folder: Path) -> SoakReport:
    """Play one seed; logs of the nodes go to the folder."""
    return asyncio.run(_Soak(seed, folder, seconds=seconds).run())


def main() -> int:
    """Play seeds and print what was found; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="seeds to play")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--keep", type=Path, help="folder for the logs of failed seeds")
    options = parser.parse_args()
    broken = 0
    for seed in range(options.seed, options.seed + options.count):
        with tempfile.TemporaryDirectory() as name:
            report = run_soak(seed, options.seconds, Path(name))
            statuses = dict(sorted(report.outcomes.items()))
            print(f"seed={seed} violations={len(report.violations)} {statuses}")
            if not report.violations:
                continue
            broken += 1
            print("\n".join(f"  {line}" for line in report.violations[:10]))
            if options.keep:
                _keep(Path(name), options.keep / f"seed-{seed}", report)
    return 1 if broken else 0


def _keep(source: Path, folder: Path, report: SoakReport) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for log in source.glob("*.log"):
        (folder / log.name).write_bytes(log.read_bytes())
    lines = [*report.violations, "", *report.faults]
    (folder / "report.txt").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    sys.exit(main())
