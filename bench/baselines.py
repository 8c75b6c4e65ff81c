"""Nodes with a baseline policy: ``python -m bench.baselines POLICY node ...``.

The policy ``none`` has no concurrency limit, ignores importance and lets every call in
a chain make three retries. The policy ``static`` takes the declared slots as a fixed
concurrency limit, queues requests first come, first served and ignores importance.
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

RETRIES_PER_CALL = 3
UNLIMITED_SLOTS = 1_000_000


class _NoLimit(StaticLimit):
    def resize(self, floor: int, ceiling: int) -> None:
        """Ignore the bounds, so that the limit stays at its first value."""


class _FifoAdmission(AdmissionController):
    def arrive(self, now: float, call: QueuedCall) -> Decision:
        """Admit in order of arrival, whatever the importance or depth."""
        call.importance = 0
        call.depth = 0
        return super().arrive(now, call)

    def level(self, now: float) -> int:
        """Return level 0, which refuses nothing."""
        return 0


class _PerCallRetryLedger(AllowanceLedger):
    def borrow(self, trace_id: str, upper: int = 0) -> int:
        """Grant every call the full number of retries."""
        return RETRIES_PER_CALL

    def repay(self, trace_id: str, unspent: int) -> None:
        """Ignore unused retries, as no allowance is shared."""


class _ZeroLevelTable(LevelTable):
    def level(self, name: str, now: float) -> int:
        """Return level 0, which refuses nothing."""
        return 0


class _UnlimitedRetryBudget(RetryBudget):
    def spend(self, caller: str, pool: str, reserve: float = 0.0) -> bool:
        """Allow every retry."""
        return True


class NoControlNode(Node):
    """Node with the policy ``none``."""

    def _build_gate(self) -> None:
        super()._build_gate()
        self.ledger = _PerCallRetryLedger()
        self.gate.deps.ledger = self.ledger
        self.gate.deps.admission = _FifoAdmission(
            _NoLimit(UNLIMITED_SLOTS), UNLIMITED_SLOTS
        )

    def _build_ingress(self) -> None:
        super()._build_ingress()
        self.ingress.deps.levels = _ZeroLevelTable()
        self.ingress.deps.budget = _UnlimitedRetryBudget()
        self.ingress.chains.edge_allowance = RETRIES_PER_CALL


class StaticNode(Node):
    """Node with the policy ``static``."""

    def _build_gate(self) -> None:
        super()._build_gate()
        self.gate.deps.admission = _FifoAdmission(StaticLimit(1), 1)

    def _build_ingress(self) -> None:
        super()._build_ingress()
        self.ingress.deps.levels = _ZeroLevelTable()


POLICIES: dict[str, type[Node]] = {"none": NoControlNode, "static": StaticNode}


def main() -> None:
    """Run a baseline node until SIGTERM."""
    policy, arguments = sys.argv[1], sys.argv[3:]
    flag_pairs = zip(arguments[::2], arguments[1::2], strict=True)
    values = {name[2:].replace("-", "_"): value for name, value in flag_pairs}
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
