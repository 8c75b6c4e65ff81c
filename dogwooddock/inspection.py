"""States of the parts of a node, as operators see them."""

__all__ = ["describe_gate", "describe_ingress"]

from .callers.ingress import Ingress
from .operators.nodestate import GateState, IngressState, OutcomeCount
from .targets.gate import Gate


def describe_gate(gate: Gate, now: float) -> GateState:
    """Return the state of a gate at a monotonic time in seconds."""
    with gate.lock:
        deps, admission = gate.deps, gate.deps.admission
        return GateState(
            pool=gate.pool.name if gate.pool else "",
            serving=gate.target is not None,
            draining=admission.draining,
            limit=admission.limit.value,
            in_flight=admission.in_flight,
            queued=admission.queued,
            level=admission.level(now),
            mean_service_s=admission.mean_service_s,
            attempts=len(gate.registry),
            chains=len(deps.ledger),
            tickets_issued=deps.tickets.issued,
            tickets_used=len(deps.tickets),
            outcomes=tuple(
                OutcomeCount(outcome, reason, count)
                for (outcome, reason), count in sorted(gate.outcomes.items())
            ),
        )


def describe_ingress(ingress: Ingress, now: float) -> IngressState:
    """Return the state of an ingress at a monotonic time in seconds."""
    with ingress.lock:
        return IngressState(
            in_flight=ingress.in_flight,
            retries=ingress.retries,
            levels=ingress.deps.levels.snapshot(now),
            outcomes=tuple(
                OutcomeCount(outcome, reason, count, kind)
                for (kind, outcome, reason), count in sorted(ingress.outcomes.items())
            ),
        )
