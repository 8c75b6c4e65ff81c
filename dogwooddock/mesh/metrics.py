"""Counters and gauges of a node."""

__all__ = ["render_metrics"]

from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

if TYPE_CHECKING:
    from .node import MeshNode


def render_metrics(node: "MeshNode") -> bytes:
    """Return the metrics in the text format."""
    registry = Registry()
    requests = Counter(
        "dogwooddock_requests_total", "Requests by outcome.", registry=registry
    )
    for (route, outcome, reason), count in node.ingress.outcomes.items():
        requests.set({"route": route, "outcome": outcome, "reason": reason}, count)
    calls = Counter(
        "dogwooddock_gate_calls_total", "Calls at the gate.", registry=registry
    )
    for (outcome, reason), count in node.gate.counts.outcomes.items():
        calls.set({"outcome": outcome, "reason": reason}, count)
    load = node.gate.load()
    values = {
        "resends": node.ingress.resends,
        "in_flight": load.in_flight,
        "queued": load.queued,
        "limit": load.limit,
        "level": load.level,
        "config_version": node.config.version,
        "members": len(node.fleet.members),
        "quarantined": len(node.quarantine),
    }
    for name, value in values.items():
        gauge = Gauge(f"dogwooddock_{name}", f"Present {name}.", registry=registry)
        gauge.set({}, value)
    body, _ = render(registry, ["text/plain"])
    return body
