"""State dump of a node for operators."""

__all__ = ["dump_state"]

import resource
import threading
import time
from typing import TYPE_CHECKING, Any

from ..policy.members import MemberState

if TYPE_CHECKING:
    from ..node import Node


def dump_state(node: "Node") -> dict[str, Any]:
    """Return the state of a node as values that can be written as JSON."""
    now = time.monotonic()
    return {
        "node": _describe_node(node, now),
        "config": {
            "version": node.config.version,
            "routes": len(node.config.tables.routes),
            "pools": len(node.config.tables.pools),
        },
        "gate": _describe_gate(node, now),
        "ingress": _describe_ingress(node, now),
        "members": _describe_members(node),
        "quarantine": node.quarantine.statuses(now),
        "gossip": dict(zip(("messages", "bytes"), node.gossip.traffic(), strict=True)),
        "process": _describe_process(),
    }


def _describe_node(node: "Node", now: float) -> dict[str, Any]:
    return {
        "name": node.settings.name,
        "id": f"{node.node_id:x}",
        "zone": node.settings.zone,
        "uptime_s": round(now - node.started_at, 3),
        "peer": node.peer_host_port,
        "router": list(node.router_server.address),
        "local": list(node.local_server.address),
    }


def _describe_gate(node: "Node", now: float) -> dict[str, Any]:
    gate = node.gate
    with gate.lock:
        admission = gate.deps.admission
        return {
            "pool": gate.pool.name if gate.pool else "",
            "serving": gate.target is not None,
            "draining": admission.draining,
            "limit": admission.limit.value,
            "in_flight": admission.in_flight,
            "queued": admission.queued,
            "level": admission.level(now),
            "mean_service_s": round(admission.mean_service_s, 6),
            "attempts": len(gate.registry),
            "chains": len(gate.deps.ledger),
            "tickets_issued": gate.deps.tickets.issued,
            "tickets_used": len(gate.deps.tickets),
            "outcomes": [
                {"outcome": outcome, "reason": reason, "count": count}
                for (outcome, reason), count in sorted(gate.outcomes.items())
            ],
        }


def _describe_ingress(node: "Node", now: float) -> dict[str, Any]:
    ingress = node.ingress
    with ingress.lock:
        return {
            "in_flight": ingress.in_flight,
            "retries": ingress.retries,
            "levels": node.levels.snapshot(now),
            "outcomes": [
                {"kind": kind, "outcome": outcome, "reason": reason, "count": count}
                for (kind, outcome, reason), count in sorted(ingress.outcomes.items())
            ],
        }


def _describe_members(node: "Node") -> list[dict[str, Any]]:
    return [
        {
            "id": f"{member.node_id:x}",
            "name": member.name,
            "address": f"{member.ip}:{member.port}",
            "zone": member.zone,
            "pool": member.pool,
            "counter": member.incarnation,
            "state": MemberState(member.state).name.lower(),
        }
        for member in node.known_members()
    ]


def _describe_process() -> dict[str, Any]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": round(usage.ru_utime + usage.ru_stime, 4),
        "max_rss_kb": usage.ru_maxrss,
        "threads": threading.active_count(),
    }
