"""Prometheus metrics and the state dump of a node."""

__all__ = ["dump_state", "render_metrics"]

from dataclasses import asdict
from typing import Any

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

from ..policy.heldbytes import Held
from .inspected import InspectedNode
from .members import era_of, version_of


def _connections_opened(node: InspectedNode) -> dict[str, int]:
    """Return the connections opened or accepted since the start, by purpose."""
    return {
        **node.traffic.links_opened,
        **node.accepted_connections(),
        "target": node.gate.connections.opened,
        "store": node.store.connections_opened,
    }


def dump_state(node: InspectedNode) -> dict[str, Any]:
    """Return the state of a node as a JSON-serializable dict, for operators."""
    load = node.gate.load()
    target = node.gate.target
    proofs = node.config_proofs
    return {
        "node": node.env.name,
        "zone": node.env.zone,
        "pool": node.env.pool,
        "ready": node.ready,
        "config_version": node.config.version,
        "config_age_s": proofs.age_s() if proofs is not None else None,
        "store_era": era_of(node.fleet.members.position),
        "members_version": version_of(node.fleet.members.position),
        "target": target.target_id if target else None,
        "gate": {
            "accepting": load.accepting,
            "limit": load.limit,
            "in_flight": load.in_flight,
            "queued": load.queued,
            "level": load.level,
            "rate_limit_per_s": node.gate.admission.rate.per_s,
        },
        "in_flight": node.ingress.in_flight,
        "accounts": node.ingress.counts.accounts.top(),
        "members": [
            {
                "address": f"{record.address[0]}:{record.address[1]}",
                "pool": record.pool,
                "target": record.target_id,
                "state": record.state.name,
                "slots": record.slots,
            }
            for record in node.fleet.members.all_records()
        ],
        "quarantined": node.marks.quarantine.statuses(node.now()),
        "levels": node.fleet.levels.snapshot(node.now()),
        "pool_levels": node.fleet.pool_levels.snapshot(node.now()),
        "chain_levels": {
            "gate": node.gate.chains.snapshot(node.now()),
            "routes": node.gate.chains.reported.snapshot(),
        },
        "store_settled": node.announcer.synced,
        "quotas": node.quotas.snapshot(),
        "memory": node.memory.snapshot(),
        "traffic": {
            "links": [asdict(row) for row in node.traffic.rows()],
            "connections": _connections_opened(node),
        },
    }


def _add_traffic(node: InspectedNode, registry: Registry) -> None:
    size = Counter(
        "dogwooddock_link_bytes_total",
        "Bytes between nodes by purpose.",
        registry=registry,
    )
    frames = Counter(
        "dogwooddock_link_frames_total",
        "Frames between nodes by purpose.",
        registry=registry,
    )
    for row in node.traffic.rows():
        labels = {
            "direction": str(row.direction),
            "zone": row.zone,
            "purpose": row.purpose,
        }
        size.set(labels, row.bytes)
        frames.set(labels, row.frames)
    connections = Counter(
        "dogwooddock_connections_opened_total",
        "Connections opened or accepted by purpose.",
        registry=registry,
    )
    for purpose, count in _connections_opened(node).items():
        connections.set({"purpose": purpose}, count)


def _add_memory(node: InspectedNode, registry: Registry) -> None:
    memory = node.memory
    held = Gauge(
        "dogwooddock_held_bytes", "Bytes of bodies that are held.", registry=registry
    )
    claims = Counter(
        "dogwooddock_memory_claims_total",
        "Bodies that waited for memory, and those given up before they got it.",
        registry=registry,
    )
    for kind in Held:
        held.set({"kind": str(kind)}, memory.held_bytes(kind))
        claims.set({"kind": str(kind), "verdict": "waited"}, memory.waits[kind])
        claims.set({"kind": str(kind), "verdict": "given-up"}, memory.refusals[kind])


def render_metrics(node: InspectedNode) -> bytes:
    """Return the metrics in the Prometheus text format."""
    registry = Registry()
    requests = Counter(
        "dogwooddock_requests_total", "Requests by outcome.", registry=registry
    )
    for (route, outcome, reason), count in node.ingress.counts.outcomes.items():
        requests.set({"route": route, "outcome": outcome, "reason": reason}, count)
    calls = Counter(
        "dogwooddock_gate_calls_total", "Calls at the gate.", registry=registry
    )
    for (outcome, reason), count in node.gate.outcomes.items():
        calls.set({"outcome": outcome, "reason": reason}, count)
    chains = Counter(
        "dogwooddock_chains_refused_total",
        "Requests refused since the calls of their runs would find no room.",
        registry=registry,
    )
    for route, count in node.ingress.counts.chains_refused.items():
        chains.set({"route": route}, count)
    quota = Counter(
        "dogwooddock_quota_requests_total", "Requests by quota.", registry=registry
    )
    for account, admitted, refused in node.quotas.counts():
        quota.set({"account": account, "verdict": "admitted"}, admitted)
        quota.set({"account": account, "verdict": "refused"}, refused)
    accounts = Counter(
        "dogwooddock_account_requests_total",
        "Requests of the busiest accounts by outcome.",
        registry=registry,
    )
    for account, outcomes in node.ingress.counts.accounts.top().items():
        for outcome, count in outcomes.items():
            accounts.set({"account": account, "outcome": outcome}, count)
    _add_traffic(node, registry)
    _add_memory(node, registry)
    load = node.gate.load()
    values = {
        "resends": node.ingress.counts.resends,
        "in_flight": load.in_flight,
        "queued": load.queued,
        "limit": load.limit,
        "level": load.level,
        "rate_limit_per_s": node.gate.admission.rate.per_s or 0,
        "config_version": node.config.version,
        "members": len(node.fleet.members),
        "quarantined": len(node.marks.quarantine),
        "target_connections": node.gate.connections.opened,
        "store_calls": node.store.calls,
        "store_era": era_of(node.fleet.members.position),
        "record_rewrites": node.announcer.rewrites,
        "quota_messages": node.quotas.messages,
        "held_bytes_limit": node.memory.limit_bytes or 0,
    }
    if node.config_proofs is not None:
        values["config_age_seconds"] = node.config_proofs.waited_s()
    for name, value in values.items():
        gauge = Gauge(f"dogwooddock_{name}", f"Present {name}.", registry=registry)
        gauge.set({}, value)
    body, _ = render(registry, ["text/plain"])
    return (
        body
        + node.ingress.counts.latency.render("dogwooddock_request_seconds").encode()
    )
