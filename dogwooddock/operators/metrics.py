"""Prometheus metrics of a node."""

__all__ = ["render_metrics"]

from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

if TYPE_CHECKING:
    from ..node import Node


def render_metrics(node: "Node") -> tuple[bytes, str]:
    """Return the metrics in the Prometheus text format, and their content type."""
    registry = Registry()
    _add_outcomes(node, registry)
    _add_gauges(node, registry)
    body, headers = render(registry, ["text/plain"])
    return body, headers["Content-Type"]


def _add_outcomes(node: "Node", registry: Registry) -> None:
    requests = Counter(
        "dogwooddock_requests_total", "Requests by outcome.", registry=registry
    )
    for (kind, outcome, reason), count in list(node.ingress.outcomes.items()):
        requests.set({"kind": kind, "outcome": outcome, "reason": reason}, count)
    attempts = Counter(
        "dogwooddock_attempts_total", "Attempts at the gate.", registry=registry
    )
    for (outcome, reason), count in list(node.gate.outcomes.items()):
        attempts.set({"outcome": outcome, "reason": reason}, count)
    retries = Counter(
        "dogwooddock_retries_total", "Retries by this ingress.", registry=registry
    )
    retries.set({}, node.ingress.retries)


def _add_gauges(node: "Node", registry: Registry) -> None:
    admission = node.gate.deps.admission
    values = {
        "limit": admission.limit.value,
        "in_flight": admission.in_flight,
        "queued": admission.queued,
        "config_version": node.config.version,
        "members": len(node.known_members()),
        "quarantined": len(node.quarantine),
    }
    for name, value in values.items():
        gauge = Gauge(f"dogwooddock_{name}", f"Present {name}.", registry=registry)
        gauge.set({}, value)
