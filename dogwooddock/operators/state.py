"""State dump of a node for operators."""

__all__ = ["dump_state"]

import resource
import threading
from dataclasses import asdict
from typing import Any

from ..policy.members import MemberState
from .nodestate import (
    GateState,
    IngressState,
    InspectedNode,
    NodeState,
    OutcomeCount,
)


def dump_state(node: InspectedNode) -> dict[str, Any]:
    """Return the state of a node as values that can be written as JSON."""
    state = node.state()
    return {
        "node": _describe_node(state),
        "config": {
            "version": state.config_version,
            "routes": state.routes,
            "pools": state.pools,
        },
        "gate": _describe_gate(state.gate),
        "ingress": _describe_ingress(state.ingress),
        "members": _describe_members(state),
        "quarantine": node.quarantine_statuses(),
        "gossip": asdict(node.gossip_traffic()),
        "process": _describe_process(),
    }


def _describe_node(state: NodeState) -> dict[str, Any]:
    return {
        "name": state.name,
        "id": f"{state.node_id:x}",
        "zone": state.zone,
        "uptime_s": round(state.uptime_s, 3),
        "peer": state.peer,
        "router": list(state.router),
        "local": list(state.local),
    }


def _describe_gate(gate: GateState) -> dict[str, Any]:
    return {
        "pool": gate.pool,
        "serving": gate.serving,
        "draining": gate.draining,
        "limit": gate.limit,
        "in_flight": gate.in_flight,
        "queued": gate.queued,
        "level": gate.level,
        "mean_service_s": round(gate.mean_service_s, 6),
        "attempts": gate.attempts,
        "chains": gate.chains,
        "tickets_issued": gate.tickets_issued,
        "tickets_used": gate.tickets_used,
        "outcomes": [_describe_count(item) for item in gate.outcomes],
    }


def _describe_ingress(ingress: IngressState) -> dict[str, Any]:
    return {
        "in_flight": ingress.in_flight,
        "retries": ingress.retries,
        "levels": ingress.levels,
        "outcomes": [
            {"kind": item.kind, **_describe_count(item)} for item in ingress.outcomes
        ],
    }


def _describe_count(item: OutcomeCount) -> dict[str, Any]:
    return {"outcome": item.outcome, "reason": item.reason, "count": item.count}


def _describe_members(state: NodeState) -> list[dict[str, Any]]:
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
        for member in state.members
    ]


def _describe_process() -> dict[str, Any]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": round(usage.ru_utime + usage.ru_stime, 4),
        "max_rss_kb": usage.ru_maxrss,
        "threads": threading.active_count(),
    }
