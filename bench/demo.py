"""Demo: a small Kalemtaş deployment under load and faults.

There is a surge, a slow service, a target that leaves and a node that is killed.
"""

import asyncio
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from .checks import check_results, print_table, refusal_order_violations
from .deployments import KALEMTAS
from .fleet import Fleet
from .load import LoadGenerator, Result, RouterPolicy, plan_arrivals

DURATION_S = 15.0
SURGE_FACTOR = 5.0
SEED = 7


def surge_factor(at: float) -> float:
    """Return the load factor, which is raised between the 3rd and the 6th second."""
    return SURGE_FACTOR if 3.0 <= at < 6.0 else 1.0


def _print_progress(elapsed: float, results: list[Result]) -> None:
    done = [result for result in results if result.ended_at]
    good = sum(1 for result in done if result.status == 200)
    refused = sum(1 for result in done if result.outcome == "not-run")
    print(
        f"\r{elapsed:5.1f} s  sent {len(results):5d}  answered {good:5d}  "
        f"not-run {refused:5d}",
        end="",
        file=sys.stderr,
        flush=True,
    )


def run(folder: Path) -> int:
    """Run the demo; return 0, or 1 if a guarantee was violated."""
    with Fleet(KALEMTAS, folder, seed=SEED) as fleet:
        print(f"{len(fleet.nodes)} nodes serve 4 pools; tables at version 1")
        killed_routers: list[str] = []
        routers = fleet.routers()

        def live_routers() -> list[str]:
            return [address for address in routers if address not in killed_routers]

        def kill_node() -> None:
            node = fleet.node("proofs-3")
            killed_routers.append(node.router)
            node.process.kill()

        actions = [
            (7.0, lambda: fleet.hosts["proofs"].command(slow_factor=6.0)),
            (9.5, lambda: fleet.hosts["proofs"].command(slow_factor=1.0)),
            (
                11.0,
                lambda: fleet.hosts["jobs"].command(name="jobs-2", action="leave"),
            ),
            (12.0, kill_node),
        ]
        arrivals = plan_arrivals(KALEMTAS.traffic, DURATION_S, surge_factor, SEED)
        load = LoadGenerator(KALEMTAS, live_routers, RouterPolicy(retries=1), SEED)
        results = asyncio.run(load.run(arrivals, actions, _print_progress))
        print(file=sys.stderr)
        check_report = check_results(KALEMTAS, results, fleet.executions())
        order = refusal_order_violations(KALEMTAS, results)
    print_table(check_report.rows)
    refused = sum(
        1
        for result in results
        if result.arrival.traffic.keyed
        and result.outcome == "not-run"
        and result.reason in ("overload", "displaced")
    )
    if refused:
        check_report.violations.append(
            f"{refused} confirmations refused because of load"
        )
    if order:
        check_report.violations.append(
            f"{order} requests refused while less important ones were admitted"
        )
    for violation in check_report.violations[:20]:
        print(f"guarantee violated: {violation}")
    print(f"promises broken: {len(check_report.violations)}")
    return 1 if check_report.violations else 0


def main() -> int:
    """Run the demo in a temporary folder."""
    with TemporaryDirectory(prefix="dogwooddock-demo-") as folder:
        return run(Path(folder))


if __name__ == "__main__":
    sys.exit(main())
