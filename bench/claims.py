"""Store transactions per key claim, and goodput of keyed requests in an outage.

A claim is the row that a node writes before it runs a request with an idempotency key.
"""

import asyncio
import dataclasses
import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import urllib3

from .checks import check_results, print_table
from .deployments import Deployment, Service, Traffic
from .fleet import Fleet
from .load import LoadGenerator, RouterPolicy, plan_arrivals
from .results import save_results
from .target_standin import Behaviour

RATES = (1, 10, 100, 300)
DURATION_S = 10.0
OUTAGE_S = (3.0, 9.0)
FULL_SIZE_CALLS_PER_S = 440_000
NON_IDEMPOTENT_SHARE = 0.01
ZONES_AT_FULL_SIZE = 13

ORDERS = Deployment(
    name="claims",
    zones=("zone-a",),
    services=(Service("orders", 4, 60, 400),),
    paths={"/orders/confirm": Behaviour(5.0)},
    traffic=(
        Traffic("confirmation", "shops", "POST", "/orders/confirm", 1, 9, 1, True),
    ),
    timeouts={"confirmation": 3.0},
)


class ClaimsFleet(Fleet):
    """Four nodes in one availability zone, which share a batcher for key writes."""

    @property
    def tables_folder(self) -> Path:
        """Write this benchmark's tables and return their folder."""
        folder = self.folder / "tables"
        folder.mkdir(exist_ok=True)
        (folder / "pools.toml").write_text(
            '[[pool]]\nname = "orders"\nservice = "orders"\n'
            "slots = 60\nconnections = 400\nmin_limit = 16\n"
        )
        (folder / "routes.toml").write_text(
            '[[route]]\nname = "confirm"\ncaller = "shops"\nmethod = "POST"\n'
            'path = "/orders/confirm"\npool = "orders"\nkind = "confirmation"\n'
            "importance = 9\nidempotent = false\ntimeout_ms = 3000\n"
        )
        return folder


def deployment_at_rate(rate: float) -> Deployment:
    """Return the deployment at a rate of claims per second."""
    traffic = dataclasses.replace(ORDERS.traffic[0], rate=rate)
    return dataclasses.replace(ORDERS, traffic=(traffic,))


def platform_request_counts(fleet: Fleet) -> dict[str, int]:
    """Return the number of requests that the platform received, by operation."""
    response = urllib3.PoolManager().request("GET", f"{fleet.platform_url}/counts")
    return json.loads(response.data)


def measure_rate(fleet: Fleet, rate: int) -> dict[str, Any]:
    """Measure store transactions and reads at a rate of claims per second."""
    deployment = deployment_at_rate(rate)
    arrivals = plan_arrivals(deployment.traffic, DURATION_S, lambda _: 1.0, rate)
    before = platform_request_counts(fleet)
    load = LoadGenerator(deployment, fleet.routers, RouterPolicy(), rate)
    results = asyncio.run(load.run(arrivals, []))
    after = platform_request_counts(fleet)
    check_report = check_results(deployment, results, fleet.executions())
    fleet.clear_logs()

    def per_second(cause: str) -> float:
        return round((after.get(cause, 0) - before.get(cause, 0)) / DURATION_S, 2)

    kind_row = check_report.rows[0]
    return {
        "claims_per_s": round(len(arrivals) / DURATION_S, 1),
        "transactions_per_s": per_second("keys/commit"),
        "reads_per_s": per_second("keys/read"),
        "tx_per_claim": round(
            per_second("keys/commit") * DURATION_S / len(arrivals), 3
        ),
        "in_time": kind_row["in_time"],
        "sent": kind_row["sent"],
        "p50_ms": kind_row["p50_ms"],
        "p99_ms": kind_row["p99_ms"],
        "violations": len(check_report.violations),
    }


def measure_outage(fleet: Fleet, tickets: bool) -> dict[str, Any]:
    """Measure how many keyed requests are answered in time while the store is down."""
    deployment = deployment_at_rate(60)
    arrivals = plan_arrivals(deployment.traffic, 12.0, lambda _: 1.0, 5)
    actions = [
        (OUTAGE_S[0], lambda: fleet.set_faults(down=True)),
        (OUTAGE_S[1], lambda: fleet.set_faults(down=False)),
    ]
    policy = RouterPolicy(tickets=tickets)
    load = LoadGenerator(deployment, fleet.routers, policy, 9 + tickets)
    results = asyncio.run(load.run(arrivals, actions))
    check_report = check_results(deployment, results, fleet.executions())
    fleet.clear_logs()
    during_outage = [
        r for r in results if OUTAGE_S[0] + 0.2 <= r.arrival.at < OUTAGE_S[1] - 0.2
    ]
    in_time = sum(1 for result in during_outage if result.answered_in_time(3.0))
    return {
        "keys": "tickets" if tickets else "callers' own",
        "sent_in_outage": len(during_outage),
        "answered_in_time": in_time,
        "share_%": round(100 * in_time / len(during_outage), 1),
        "unknown": sum(1 for result in during_outage if result.outcome == "unknown"),
        "violations": len(check_report.violations),
    }


def extrapolate_to_full_size(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Extrapolate the load on the store to all zones at full size."""
    busiest = rows[-1]
    claims = FULL_SIZE_CALLS_PER_S * NON_IDEMPOTENT_SHARE
    return {
        "claims_per_s": claims,
        "claims_per_zone_per_s": round(claims / ZONES_AT_FULL_SIZE, 1),
        "measured_at_claims_per_s": busiest["claims_per_s"],
        "transactions_per_s": round(
            busiest["transactions_per_s"] * ZONES_AT_FULL_SIZE, 1
        ),
        "reads_per_s": round(busiest["reads_per_s"] * ZONES_AT_FULL_SIZE, 1),
    }


def main() -> dict[str, Any]:
    """Run the benchmark, print its tables and save the results."""
    with (
        TemporaryDirectory(prefix="dogwooddock-claims-") as folder,
        ClaimsFleet(ORDERS, Path(folder)) as fleet,
    ):
        rows = [measure_rate(fleet, rate) for rate in RATES]
        outage = [measure_outage(fleet, tickets) for tickets in (False, True)]
    print_table(rows)
    print_table(outage)
    full = extrapolate_to_full_size(rows)
    print_table([full])
    document = {"rates": rows, "outage": outage, "full_size": full}
    save_results("claims", document)
    return document
