"""Prometheus metrics of a node."""

__all__ = ["render_metrics"]

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

from .nodestate import NodeState


def render_metrics(state: NodeState) -> tuple[bytes, str]:
    """Return the metrics in the Prometheus text format, and their content type."""
    registry = Registry()
    _add_outcomes(state, registry)
    _add_gauges(state, registry)
    body, headers = render(registry, ["text/plain"])
    return body, headers["Content-Type"]


def _add_outcomes(state: NodeState, registry: Registry) -> None:
    requests = Counter(
        "dogwooddock_requests_total", "Requests by outcome.", registry=registry
    )
    for item in state.ingress.outcomes:
        labels = {"kind": item.kind, "outcome": item.outcome, "reason": item.reason}
        requests.set(labels, item.count)
    attempts = Counter(
        "dogwooddock_attempts_total", "Attempts at the gate.", registry=registry
    )
    for item in state.gate.outcomes:
        attempts.set({"outcome": item.outcome, "reason": item.reason}, item.count)
    retries = Counter(
        "dogwooddock_retries_total", "Retries by this ingress.", registry=registry
    )
    retries.set({}, state.ingress.retries)


def _add_gauges(state: NodeState, registry: Registry) -> None:
    values = {
        "limit": state.gate.limit,
        "in_flight": state.gate.in_flight,
        "queued": state.gate.queued,
        "config_version": state.config_version,
        "members": len(state.members),
        "quarantined": state.marked,
    }
    for name, value in values.items():
        gauge = Gauge(f"dogwooddock_{name}", f"Present {name}.", registry=registry)
        gauge.set({}, value)
