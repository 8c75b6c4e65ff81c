"""Baseline policies, run as nodes: ``python -m bench.baselines POLICY node ...``.

``none``: no limits, no importance, three naive retries on every hop. ``static``: the
declared slots as a fixed limit with a first-come queue, no importance.
"""

import signal
import sys
import threading
from random import Random

from dogwooddock.logs import configure_logs
from dogwooddock.node import Node
from dogwooddock.policy.admission import AdmissionController, Decision, QueuedCall
from dogwooddock.policy.allowance import AllowanceLedger
from dogwooddock.policy.levels import LevelTable
from dogwooddock.policy.limits import StaticLimit
from dogwooddock.policy.retries import RetryBudget
from dogwooddock.settings import validate_settings

NAIVE_RETRIES = 3
UNLIMITED = 1_000_000


class _Unlimited(StaticLimit):
    def resize(self, floor: int, ceiling: int) -> None:
        """Keep the limit out of the way."""


class _Unordered(AdmissionController):
    def arrive(self, now: float, call: QueuedCall) -> Decision:
        """Forget the importance."""
        call.importance = 0
        call.depth = 0
        return super().arrive(now, call)

    def level(self, now: float) -> int:
        """Report no level."""
        return 0


class _NaiveLedger(AllowanceLedger):
    def borrow(self, trace_id: str, upper: int = 0) -> int:
        """Grant every call its own retries."""
        return NAIVE_RETRIES

    def repay(self, trace_id: str, unspent: int) -> None:
        """Take nothing back."""


class _NoLevels(LevelTable):
    def level(self, name: str, now: float) -> int:
        """Report no level."""
        return 0


class _Generous(RetryBudget):
    def spend(self, caller: str, pool: str, reserve: float = 0.0) -> bool:
        """Allow every retry."""
        return True


class NoControlNode(Node):
    """Node without overload control."""

    def _build_gate(self) -> None:
        super()._build_gate()
        self.ledger = _NaiveLedger()
        self.gate.deps.ledger = self.ledger
        self.gate.deps.admission = _Unordered(_Unlimited(UNLIMITED), UNLIMITED)

    def _build_ingress(self) -> None:
        super()._build_ingress()
        self.ingress.deps.levels = _NoLevels()
        self.ingress.deps.budget = _Generous()
        self.ingress.chains.edge_allowance = NAIVE_RETRIES


class StaticNode(Node):
    """Node with a static limit and no importance."""

    def _build_gate(self) -> None:
        super()._build_gate()
        self.gate.deps.admission = _Unordered(StaticLimit(1), 1)

    def _build_ingress(self) -> None:
        super()._build_ingress()
        self.ingress.deps.levels = _NoLevels()


POLICIES: dict[str, type[Node]] = {"none": NoControlNode, "static": StaticNode}


def main() -> None:
    """Run a baseline node until SIGTERM."""
    policy, arguments = sys.argv[1], sys.argv[3:]
    pairs = zip(arguments[::2], arguments[1::2], strict=True)
    values = {name[2:].replace("-", "_"): value for name, value in pairs}
    settings = validate_settings(values)
    configure_logs("info", name=settings.name)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    node = POLICIES[policy](settings)
    node.rng = Random(1)
    node.start()
    stop.wait()
    node.stop()


if __name__ == "__main__":
    main()
