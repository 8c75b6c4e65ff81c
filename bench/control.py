"""Cost of membership, configuration and store traffic by number of nodes."""

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

from .checks import print_table
from .deployments import KALEMTAS
from .fleet import Fleet
from .membershipsim import ZONE_COUNT, MembershipSimulation
from .results import save_results

SIZES = (10, 100, 1000, 3000, 6100)
FULL_SIZE = 6100
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
    """Simulate a steady state, a configuration change and a failure at one size."""
    gc.collect()
    fleet = MembershipSimulation(size, seed=size)
    fleet.run(3.0)
    steady = _measure_steady_state(fleet, STEADY_S[size])
    change = _measure_config_change(fleet)
    failure = _measure_failure(fleet)
    return {"nodes": size, **steady, **change, **failure}


def _measure_steady_state(
    fleet: MembershipSimulation, duration_s: float
) -> dict[str, Any]:
    fleet.counters = type(fleet.counters)()
    started = time.process_time()
    fleet.run(duration_s)
    cpu_s = time.process_time() - started
    node_seconds = fleet.size * duration_s
    return {
        "msgs_per_s": round(fleet.counters.messages / node_seconds, 2),
        "bytes_per_s": round(fleet.counters.bytes / node_seconds, 1),
        "cpu_us_per_s": round(cpu_s / node_seconds * 1e6, 1),
    }


def _measure_config_change(fleet: MembershipSimulation) -> dict[str, Any]:
    reached: dict[int, float] = {}
    fleet.counters = type(fleet.counters)()
    started_at = fleet.now
    fleet.on_version = lambda node_id, _: reached.setdefault(node_id, fleet.now)
    pollers = fleet.rng.sample(fleet.live_nodes(), min(fleet.size, 2 * ZONE_COUNT))
    for index, node_id in enumerate(pollers):
        delay = POLL_PERIOD_S * (index + 0.5) / len(pollers)
        fleet.schedule_at(started_at + delay, partial(fleet.set_version, node_id, 1))
    while len(reached) < len(fleet.live_nodes()) and fleet.now < started_at + 30:
        fleet.run(0.1)
    fleet.on_version = None
    times = sorted(reached_at - started_at for reached_at in reached.values())
    return {
        "config_p99_s": round(times[int(len(times) * 0.99)], 2),
        "config_all_s": round(times[-1], 2),
        "pulls_per_node": round(fleet.counters.pulls / fleet.size, 2),
    }


def _measure_failure(fleet: MembershipSimulation) -> dict[str, Any]:
    stopped_node = fleet.rng.choice(fleet.live_nodes())
    fleet.stopped.add(stopped_node)
    started_at = fleet.now
    first_s = None
    while fleet.now < started_at + 60:
        fleet.run(0.25)
        declared_dead = fleet.count_declaring_dead(stopped_node)
        if declared_dead and first_s is None:
            first_s = fleet.now - started_at
        if declared_dead == len(fleet.live_nodes()):
            break
    return {
        "death_first_s": round(first_s or -1, 2),
        "death_all_s": round(fleet.now - started_at, 2),
    }


def measure_disturbances(size: int) -> list[dict[str, Any]]:
    """Count live nodes wrongly declared dead, or not seen, after each disturbance.

    The disturbances are packet loss, paused nodes, the loss of a zone, a network
    partition and the replacement of a rack.
    """
    rows = []
    for name, disturb in (
        ("5% loss, 60 s", _run_with_packet_loss),
        ("5% paused 4 s, 60 s", _run_with_pauses),
        ("one zone lost", _lose_zone),
        ("region cut 60 s, healed", _partition_zones),
        ("rack of 40 replaced", _replace_rack),
    ):
        fleet = MembershipSimulation(size, seed=5)
        fleet.run(3.0)
        fleet.counters = type(fleet.counters)()
        started_at = fleet.now
        disturb(fleet)
        elapsed = fleet.now - started_at
        node_seconds = len(fleet.live_nodes()) * elapsed
        rows.append(
            {
                "case": name,
                "nodes": size,
                "false_dead_pairs": fleet.count_false_deaths(),
                "unseen_pairs": _count_unseen_pairs(fleet),
                "bytes_per_s": round(fleet.counters.bytes / node_seconds, 1),
                "virtual_s": round(elapsed, 1),
            }
        )
    return rows


def _run_with_packet_loss(fleet: MembershipSimulation) -> None:
    fleet.loss = 0.05
    fleet.run(60)


def _run_with_pauses(fleet: MembershipSimulation) -> None:
    for _ in range(10):
        chosen = fleet.rng.sample(fleet.live_nodes(), max(1, fleet.size // 20))
        fleet.paused.update(chosen)
        fleet.run(4)
        fleet.paused.difference_update(chosen)
        fleet.run(2)


def _lose_zone(fleet: MembershipSimulation) -> None:
    zone = "zone-05"
    for node_id in fleet.live_nodes():
        if fleet.nodes[node_id].local.zone == zone:
            fleet.stopped.add(node_id)
    fleet.run(90)


def _partition_zones(fleet: MembershipSimulation) -> None:
    for node_id in fleet.live_nodes():
        if int(fleet.nodes[node_id].local.zone[-2:]) < 2:
            fleet.partitioned.add(node_id)
    fleet.run(60)
    fleet.partitioned.clear()
    fleet.run(60)


def _replace_rack(fleet: MembershipSimulation) -> None:
    for node_id in fleet.rng.sample(fleet.live_nodes(), 40):
        old = fleet.nodes[node_id].local
        fleet.stopped.add(node_id)
        contact = fleet.nodes[fleet.rng.choice(fleet.live_nodes())]
        replacement = fleet.replacement_member(old)
        membership = fleet.add(replacement, [replacement])
        membership.merge(fleet.now, list(contact.members.values()))
        fleet.deliver(replacement.node_id, membership.join([contact.local.address]))
    fleet.run(30)


def _count_unseen_pairs(fleet: MembershipSimulation) -> int:
    """Count pairs of live nodes of which the first does not see the second serving."""
    live = set(fleet.live_nodes())
    unseen = 0
    for node_id in live:
        members = fleet.nodes[node_id].members
        for other in live:
            member = members.get(other)
            if member is None or member.state > 1:
                unseen += 1
    return unseen


def measure_state(size: int = FULL_SIZE) -> list[dict[str, Any]]:
    """Measure the resident memory of each part of a node's state at full size."""
    members = _members(size)
    local = Member(1, "node", "10.0.0.1", 7400, "zone-00", "pool")
    retained: list[Any] = []

    def create_members() -> int:
        membership = Membership(local, Random(1))
        membership.merge(0.0, _members(size))
        retained.append(membership)
        return size

    def create_candidates() -> int:
        selector = Selector("zone-00")
        for pool in range(size // 13 + 1):
            chosen = members[pool * 13 : pool * 13 + 13]
            selector.sync(f"pool-{pool}", [(m.node_id, m.zone) for m in chosen])
        retained.append(selector)
        return size

    def create_tables() -> int:
        replica = ConfigReplica()
        replica.adopt(Tables.loads(_tables(2000).dumps()))
        retained.append(replica)
        return 2000

    def create_attempts() -> int:
        registry = AttemptRegistry()
        for index in range(20_000):
            record, _ = registry.begin(0.0, f"{index:024x}")
            reply = Reply(outcome="not-run", body=b"")
            registry.finish(0.0, record, reply, keep=True)
        retained.append(registry)
        return 20_000

    rows = []
    for name, create in (
        ("members", create_members),
        ("candidates", create_candidates),
        ("routes", create_tables),
        ("attempts (bound)", create_attempts),
    ):
        gc.collect()
        before_kb = _rss_kb()
        items = create()
        grown_kb = _rss_kb() - before_kb
        rows.append(
            {
                "state": name,
                "items": items,
                "kb": grown_kb,
                "bytes_per_item": grown_kb * 1024 // items,
            }
        )
    wire_bytes = sum(len(_encode_member(member)) for member in members)
    rows.append(
        {
            "state": "member list on the wire",
            "items": size,
            "kb": wire_bytes // 1024,
            "bytes_per_item": wire_bytes // size,
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
            f"zone-{index % ZONE_COUNT:02d}",
            f"pool-{index // 13:03d}",
        )
        for index in range(size)
    ]


def _encode_member(member: Member) -> bytes:
    factory = TBinaryProtocolAcceleratedFactory()
    return serialize(to_wire_member(member), protocol_factory=factory)


def _rss_kb() -> int:
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() // 1024


def measure_config_bytes() -> list[dict[str, Any]]:
    """Compare sending one edit with sending full tables, in bytes and time to apply."""
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
            (RowChange("routes", changed.name, route_fields(changed)),),
        )
        started = time.perf_counter()
        after = tables.apply(Edit.loads(edit.dumps()))
        log_apply_ms = (time.perf_counter() - started) * 1000
        started = time.perf_counter()
        Tables.loads(after.dumps())
        full_apply_ms = (time.perf_counter() - started) * 1000
        log_bytes = _wire_size(ConfigLog(tables.version, [edit.dumps()], "", 2))
        full_bytes = _wire_size(ConfigLog(0, [], after.dumps(), 2))
        rows.append(
            {
                "routes": routes,
                "log_bytes": log_bytes,
                "full_bytes": full_bytes,
                "log_bytes_per_s": _bytes_per_second(log_bytes),
                "full_bytes_per_s": _bytes_per_second(full_bytes),
                "log_apply_ms": round(log_apply_ms, 2),
                "full_apply_ms": round(full_apply_ms, 2),
            }
        )
    return rows


def route_fields(route: Route) -> dict[str, Any]:
    """Return the fields of a route by name."""
    return {name: getattr(route, name) for name in Route.__slots__}


def _wire_size(log: ConfigLog) -> int:
    factory = TBinaryProtocolAcceleratedFactory()
    return len(serialize(log, protocol_factory=factory)) + TCP_PULL_OVERHEAD_BYTES


def _bytes_per_second(size: int) -> float:
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
    """Compute the store reads and writes per second of all nodes, by cause."""
    rows = []
    rng = Random(3)
    for size in (11, 100, 1000, 6100):
        zones: dict[int, list[int]] = {}
        for index in range(size):
            zones.setdefault(index % ZONE_COUNT, []).append(rng.getrandbits(63))
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


def measure_real_gossip() -> dict[str, Any]:
    """Compare the gossip of real nodes with a simulation of as many nodes."""
    with (
        TemporaryDirectory(prefix="dogwooddock-control-") as folder,
        Fleet(KALEMTAS, Path(folder)) as fleet,
    ):
        time.sleep(8)
        before = [fleet.state(node)["gossip"] for node in fleet.nodes]
        cpu = [fleet.state(node)["process"]["cpu_s"] for node in fleet.nodes]
        counts = _platform_request_counts(fleet)
        time.sleep(15)
        after = [fleet.state(node)["gossip"] for node in fleet.nodes]
        cpu_after = [fleet.state(node)["process"]["cpu_s"] for node in fleet.nodes]
        counts_after = _platform_request_counts(fleet)
        size = len(fleet.nodes)
    messages = sum(
        b["messages"] - a["messages"] for a, b in zip(before, after, strict=True)
    )
    sent_bytes = sum(
        b["bytes"] - a["bytes"] for a, b in zip(before, after, strict=True)
    )
    node_seconds = size * 15
    simulation = MembershipSimulation(size, seed=1)
    simulation.run(8)
    simulation.counters = type(simulation.counters)()
    simulation.run(15)
    reads = {
        name: round((counts_after.get(name, 0) - counts.get(name, 0)) / 15, 2)
        for name in counts_after
    }
    return {
        "nodes": size,
        "wire_msgs_per_s": round(messages / node_seconds, 2),
        "virtual_msgs_per_s": round(simulation.counters.messages / node_seconds, 2),
        "wire_bytes_per_s": round((sent_bytes + 28 * messages) / node_seconds, 1),
        "virtual_bytes_per_s": round(simulation.counters.bytes / node_seconds, 1),
        "idle_cpu_percent": round(
            sum(b - a for a, b in zip(cpu, cpu_after, strict=True))
            / node_seconds
            * 100,
            2,
        ),
        "store_requests_per_s": reads,
    }


def _platform_request_counts(fleet: Fleet) -> dict[str, int]:
    response = urllib3.PoolManager().request("GET", f"{fleet.platform_url}/counts")
    return json.loads(response.data)


def compare_with_budgets(size_rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Compare the figures at the largest size with the budgets."""
    largest = size_rows[-1]
    per_change = largest["pulls_per_node"] * 1000
    churn = REPLACEMENTS_PER_DAY * 2 / SECONDS_PER_DAY
    churn_bytes = churn * 60 * 16
    config_bytes = per_change * CHANGES_PER_DAY / SECONDS_PER_DAY
    total = largest["bytes_per_s"] + churn_bytes + config_bytes
    rows = [
        ("gossip CPU, % of a core", largest["cpu_us_per_s"] / 1e4, CPU_BUDGET_PERCENT),
        ("control bytes/s per node", round(total), BYTES_BUDGET_PER_S),
        ("config in force everywhere, s", largest["config_all_s"], CONFIG_BUDGET_S),
    ]
    return [
        {
            "budget": name,
            "nodes": largest["nodes"],
            "figure": round(figure, 3),
            "limit": limit,
            "verdict": "within" if figure <= limit else "OVER",
        }
        for name, figure, limit in rows
    ]


def main() -> dict[str, Any]:
    """Run the benchmark, print its tables and save the results."""
    memory = measure_state()
    size_rows = []
    for size in SIZES:
        size_rows.append(measure_size(size))
        print_table(size_rows[-1:])
    document: dict[str, Any] = {
        "memory": memory,
        "slopes": size_rows,
        "disturbances": measure_disturbances(300),
        "config_bytes": measure_config_bytes(),
        "store": store_budget(),
        "wire": measure_real_gossip(),
        "verdicts": compare_with_budgets(size_rows),
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
    save_results("control", document)
    return document
