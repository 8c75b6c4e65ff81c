"""Control at size: membership, configuration and store budget, by measured slopes."""

import gc
import json
import resource
import time
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

import urllib3
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from dogwooddock.discovery.contacts import ROWS_PER_ZONE
from dogwooddock.peers.codec import to_wire_member
from dogwooddock.peers.wire.ttypes import ConfigLog, Reply
from dogwooddock.policy.configlog import POLLERS_PER_ZONE, ConfigReplica, zone_rank
from dogwooddock.policy.members import Member
from dogwooddock.policy.membership import Membership
from dogwooddock.policy.selection import Selector
from dogwooddock.tables import Edit, Pool, Route, RowChange, Tables
from dogwooddock.targets.attempts import AttemptRegistry

from .deployments import KALEMTAS
from .fleet import Fleet
from .judge import print_table
from .results import save
from .virtual import ZONES, VirtualFleet

SIZES = (10, 100, 1000, 3000, 6100)
TARGET_SIZE = 6100
STEADY_S = {10: 120, 100: 60, 1000: 20, 3000: 10, 6100: 8}
CHANGES_PER_DAY = 10_000
REPLACEMENTS_PER_DAY = 370 + 16
SECONDS_PER_DAY = 86_400
POLL_PERIOD_S = 1.0
CONTACT_PERIOD_S = 5.0
FALLBACK_READS_PER_S = 1 / 600
CPU_BUDGET_PERCENT = 2.0
BYTES_BUDGET_PER_S = 4096
CONFIG_BUDGET_S = 4.0
TCP_PULL_OVERHEAD_BYTES = 520


def measure_size(size: int) -> dict[str, Any]:
    """Measure steady state, a failure and a configuration change at one size."""
    gc.collect()
    fleet = VirtualFleet(size, seed=size)
    fleet.run(3.0)
    steady = _steady(fleet, STEADY_S[size])
    change = _config_change(fleet)
    failure = _failure(fleet)
    return {"nodes": size, **steady, **change, **failure}


def _steady(fleet: VirtualFleet, duration_s: float) -> dict[str, Any]:
    fleet.counters = type(fleet.counters)()
    started = time.process_time()
    fleet.run(duration_s)
    spent = time.process_time() - started
    units = fleet.size * duration_s
    return {
        "msgs_per_s": round(fleet.counters.messages / units, 2),
        "bytes_per_s": round(fleet.counters.bytes / units, 1),
        "cpu_us_per_s": round(spent / units * 1e6, 1),
    }


def _config_change(fleet: VirtualFleet) -> dict[str, Any]:
    reached: dict[int, float] = {}
    fleet.counters = type(fleet.counters)()
    began = fleet.now
    fleet.on_version = lambda node_id, _: reached.setdefault(node_id, fleet.now)
    starters = fleet.rng.sample(fleet.live(), min(fleet.size, 2 * ZONES))
    for index, node_id in enumerate(starters):
        delay = POLL_PERIOD_S * (index + 0.5) / len(starters)
        fleet.at(began + delay, partial(fleet.set_version, node_id, 1))
    while len(reached) < len(fleet.live()) and fleet.now < began + 30:
        fleet.run(0.1)
    fleet.on_version = None
    times = sorted(when - began for when in reached.values())
    return {
        "config_p99_s": round(times[int(len(times) * 0.99)], 2),
        "config_all_s": round(times[-1], 2),
        "pulls_per_node": round(fleet.counters.pulls / fleet.size, 2),
    }


def _failure(fleet: VirtualFleet) -> dict[str, Any]:
    victim = fleet.rng.choice(fleet.live())
    fleet.stopped.add(victim)
    began = fleet.now
    first = None
    while fleet.now < began + 60:
        fleet.run(0.25)
        gone = fleet.believe_gone(victim)
        if gone and first is None:
            first = fleet.now - began
        if gone == len(fleet.live()):
            break
    return {
        "death_first_s": round(first or -1, 2),
        "death_all_s": round(fleet.now - began, 2),
    }


def measure_disturbances(size: int) -> list[dict[str, Any]]:
    """Measure false deaths under loss and pauses, a zone's loss, a cut and a rack."""
    rows = []
    for name, prepare in (
        ("5% loss, 60 s", _lossy),
        ("5% paused 4 s, 60 s", _pauses),
        ("one zone lost", _zone_lost),
        ("region cut 60 s, healed", _cut),
        ("rack of 40 replaced", _rack),
    ):
        fleet = VirtualFleet(size, seed=5)
        fleet.run(3.0)
        fleet.counters = type(fleet.counters)()
        began = fleet.now
        prepare(fleet)
        elapsed = fleet.now - began
        units = len(fleet.live()) * elapsed
        rows.append(
            {
                "case": name,
                "nodes": size,
                "false_dead_pairs": fleet.false_deaths(),
                "unseen_pairs": _unseen(fleet),
                "bytes_per_s": round(fleet.counters.bytes / units, 1),
                "virtual_s": round(elapsed, 1),
            }
        )
    return rows


def _lossy(fleet: VirtualFleet) -> None:
    fleet.loss = 0.05
    fleet.run(60)


def _pauses(fleet: VirtualFleet) -> None:
    for _ in range(10):
        chosen = fleet.rng.sample(fleet.live(), max(1, fleet.size // 20))
        fleet.paused.update(chosen)
        fleet.run(4)
        fleet.paused.difference_update(chosen)
        fleet.run(2)


def _zone_lost(fleet: VirtualFleet) -> None:
    zone = "zone-05"
    for node_id in fleet.live():
        if fleet.nodes[node_id].local.zone == zone:
            fleet.stopped.add(node_id)
    fleet.run(90)


def _cut(fleet: VirtualFleet) -> None:
    for node_id in fleet.live():
        if int(fleet.nodes[node_id].local.zone[-2:]) < 2:
            fleet.cut.add(node_id)
    fleet.run(60)
    fleet.cut.clear()
    fleet.run(60)


def _rack(fleet: VirtualFleet) -> None:
    for node_id in fleet.rng.sample(fleet.live(), 40):
        old = fleet.nodes[node_id].local
        fleet.stopped.add(node_id)
        contact = fleet.nodes[fleet.rng.choice(fleet.live())]
        fresh = fleet.replacement(old)
        joined = fleet.add(fresh, [fresh])
        joined.merge(fleet.now, list(contact.members.values()))
        fleet.deliver(fresh.node_id, joined.join([contact.local.address]))
    fleet.run(30)


def _unseen(fleet: VirtualFleet) -> int:
    """Return the pairs (live node, live node that it does not know as serving)."""
    live = set(fleet.live())
    missing = 0
    for node_id in live:
        members = fleet.nodes[node_id].members
        for other in live:
            member = members.get(other)
            if member is None or member.state > 1:
                missing += 1
    return missing


def measure_state(size: int = TARGET_SIZE) -> list[dict[str, Any]]:
    """Measure the resident memory of what one node holds at full size."""
    members = _members(size)
    local = Member(1, "node", "10.0.0.1", 7400, "zone-00", "pool")
    kept: list[Any] = []

    def hold_members() -> int:
        membership = Membership(local, Random(1))
        membership.merge(0.0, _members(size))
        kept.append(membership)
        return size

    def hold_candidates() -> int:
        selector = Selector("zone-00")
        for pool in range(size // 13 + 1):
            chosen = members[pool * 13 : pool * 13 + 13]
            selector.sync(f"pool-{pool}", [(m.node_id, m.zone) for m in chosen])
        kept.append(selector)
        return size

    def hold_tables() -> int:
        replica = ConfigReplica()
        replica.adopt(Tables.loads(_tables(2000).dumps()))
        kept.append(replica)
        return 2000

    def hold_attempts() -> int:
        registry = AttemptRegistry()
        for index in range(20_000):
            record, _ = registry.begin(0.0, f"{index:024x}")
            reply = Reply(outcome="not-run", body=b"")
            registry.finish(0.0, record, reply, keep=True)
        kept.append(registry)
        return 20_000

    rows = []
    for name, hold in (
        ("members", hold_members),
        ("candidates", hold_candidates),
        ("routes", hold_tables),
        ("attempts (bound)", hold_attempts),
    ):
        gc.collect()
        before = _rss_kb()
        items = hold()
        grown = _rss_kb() - before
        rows.append(
            {
                "state": name,
                "items": items,
                "kb": grown,
                "bytes_per_item": grown * 1024 // items,
            }
        )
    wire = sum(len(_wire_member(member)) for member in members)
    rows.append(
        {
            "state": "member list on the wire",
            "items": size,
            "kb": wire // 1024,
            "bytes_per_item": wire // size,
        }
    )
    return rows


def _members(size: int) -> list[Member]:
    rng = Random(1)
    return [
        Member(
            rng.getrandbits(63),
            f"node-{index:05d}",
            f"10.1.{index >> 8}.{index & 255}",
            7400,
            f"zone-{index % ZONES:02d}",
            f"pool-{index // 13:03d}",
        )
        for index in range(size)
    ]


def _wire_member(member: Member) -> bytes:
    factory = TBinaryProtocolAcceleratedFactory()
    return serialize(to_wire_member(member), protocol_factory=factory)


def _rss_kb() -> int:
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() // 1024


def measure_config_bytes() -> list[dict[str, Any]]:
    """Compare the change log with full tables, in bytes and time to apply."""
    rows = []
    for routes in (50, 500, 2000):
        tables = _tables(routes)
        replica = ConfigReplica()
        replica.adopt(tables)
        changed = replace(tables.routes[3], timeout_ms=1234)
        edit = Edit(
            tables.version + 1,
            "0123456789abcdef0123456789abcdef",
            "operator",
            (RowChange("routes", changed.name, vars_of(changed)),),
        )
        started = time.perf_counter()
        after = tables.apply(Edit.loads(edit.dumps()))
        log_ms = (time.perf_counter() - started) * 1000
        started = time.perf_counter()
        Tables.loads(after.dumps())
        full_ms = (time.perf_counter() - started) * 1000
        log_bytes = _wire_size(ConfigLog(tables.version, [edit.dumps()], "", 2))
        full_bytes = _wire_size(ConfigLog(0, [], after.dumps(), 2))
        rows.append(
            {
                "routes": routes,
                "log_bytes": log_bytes,
                "full_bytes": full_bytes,
                "log_bytes_per_s": _per_second(log_bytes),
                "full_bytes_per_s": _per_second(full_bytes),
                "log_apply_ms": round(log_ms, 2),
                "full_apply_ms": round(full_ms, 2),
            }
        )
    return rows


def vars_of(route: Route) -> dict[str, Any]:
    """Return a route as a mapping."""
    return {name: getattr(route, name) for name in Route.__slots__}


def _wire_size(log: ConfigLog) -> int:
    factory = TBinaryProtocolAcceleratedFactory()
    return len(serialize(log, protocol_factory=factory)) + TCP_PULL_OVERHEAD_BYTES


def _per_second(size: int) -> float:
    return round(size * CHANGES_PER_DAY / SECONDS_PER_DAY, 1)


def _tables(count: int) -> Tables:
    pools = tuple(Pool(f"pool-{i:03d}", f"svc-{i}", 35, 300) for i in range(count // 4))
    routes = tuple(
        Route(
            f"route-{i:05d}",
            f"caller-{i % 40}",
            "GET",
            f"/service-{i}/operation",
            f"pool-{i % len(pools):03d}",
            "lookup",
            i % 10,
            True,
            2000,
        )
        for i in range(count)
    )
    return Tables(1, routes, pools)


def store_budget() -> list[dict[str, Any]]:
    """Work out the fleet's reads and writes per second, by cause."""
    rows = []
    rng = Random(3)
    for size in (11, 100, 1000, 6100):
        zones: dict[int, list[int]] = {}
        for index in range(size):
            zones.setdefault(index % ZONES, []).append(rng.getrandbits(63))
        pollers = contacts = 0
        for ids in zones.values():
            ranks = [zone_rank(node_id, ids) for node_id in ids]
            pollers += sum(1 for rank in ranks if rank < POLLERS_PER_ZONE)
            contacts += sum(1 for rank in ranks if rank < ROWS_PER_ZONE)
        rows.append(
            {
                "nodes": size,
                "poll_reads_per_s": round(pollers / POLL_PERIOD_S, 2),
                "fallback_reads_per_s": round(size * FALLBACK_READS_PER_S, 2),
                "contact_reads_per_s": round(contacts / CONTACT_PERIOD_S, 2),
                "edit_reads_per_s": round(
                    pollers * CHANGES_PER_DAY / SECONDS_PER_DAY, 2
                ),
                "edit_writes_per_s": round(CHANGES_PER_DAY / SECONDS_PER_DAY, 2),
            }
        )
    return rows


def check_on_the_wire() -> dict[str, Any]:
    """Compare real nodes' gossip with the in-process figures at the same size."""
    with (
        TemporaryDirectory(prefix="dogwooddock-control-") as folder,
        Fleet(KALEMTAS, Path(folder)) as fleet,
    ):
        time.sleep(8)
        before = [fleet.state(node)["gossip"] for node in fleet.nodes]
        cpu = [fleet.state(node)["process"]["cpu_s"] for node in fleet.nodes]
        counts = _counts(fleet)
        time.sleep(15)
        after = [fleet.state(node)["gossip"] for node in fleet.nodes]
        cpu_after = [fleet.state(node)["process"]["cpu_s"] for node in fleet.nodes]
        counts_after = _counts(fleet)
        size = len(fleet.nodes)
    messages = sum(
        b["messages"] - a["messages"] for a, b in zip(before, after, strict=True)
    )
    sent = sum(b["bytes"] - a["bytes"] for a, b in zip(before, after, strict=True))
    units = size * 15
    virtual = VirtualFleet(size, seed=1)
    virtual.run(8)
    virtual.counters = type(virtual.counters)()
    virtual.run(15)
    reads = {
        name: round((counts_after.get(name, 0) - counts.get(name, 0)) / 15, 2)
        for name in counts_after
    }
    return {
        "nodes": size,
        "wire_msgs_per_s": round(messages / units, 2),
        "virtual_msgs_per_s": round(virtual.counters.messages / units, 2),
        "wire_bytes_per_s": round((sent + 28 * messages) / units, 1),
        "virtual_bytes_per_s": round(virtual.counters.bytes / units, 1),
        "idle_cpu_percent": round(
            sum(b - a for a, b in zip(cpu, cpu_after, strict=True)) / units * 100, 2
        ),
        "store_requests_per_s": reads,
    }


def _counts(fleet: Fleet) -> dict[str, int]:
    answer = urllib3.PoolManager().request("GET", f"{fleet.platform_url}/counts")
    return json.loads(answer.data)


def verdicts(slopes: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Compare the largest size with the budgets."""
    last = slopes[-1]
    per_change = last["pulls_per_node"] * 1000
    churn = REPLACEMENTS_PER_DAY * 2 / SECONDS_PER_DAY
    churn_bytes = churn * 60 * 16
    config_bytes = per_change * CHANGES_PER_DAY / SECONDS_PER_DAY
    total = last["bytes_per_s"] + churn_bytes + config_bytes
    rows = [
        ("gossip CPU, % of a core", last["cpu_us_per_s"] / 1e4, CPU_BUDGET_PERCENT),
        ("control bytes/s per node", round(total), BYTES_BUDGET_PER_S),
        ("config in force everywhere, s", last["config_all_s"], CONFIG_BUDGET_S),
    ]
    return [
        {
            "budget": name,
            "nodes": last["nodes"],
            "figure": round(figure, 3),
            "limit": limit,
            "verdict": "within" if figure <= limit else "OVER",
        }
        for name, figure, limit in rows
    ]


def main() -> dict[str, Any]:
    """Run the section."""
    memory = measure_state()
    slopes = []
    for size in SIZES:
        slopes.append(measure_size(size))
        print_table(slopes[-1:])
    document: dict[str, Any] = {
        "memory": memory,
        "slopes": slopes,
        "disturbances": measure_disturbances(300),
        "config_bytes": measure_config_bytes(),
        "store": store_budget(),
        "wire": check_on_the_wire(),
        "verdicts": verdicts(slopes),
    }
    for name in (
        "memory",
        "slopes",
        "disturbances",
        "config_bytes",
        "store",
        "verdicts",
    ):
        print(f"-- {name}")
        print_table(document[name])
    print(json.dumps(document["wire"]))
    save("control", document)
    return document
