"""Transactions per claim, and keyed goodput through a store outage."""

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
from .load import Load, RouterPolicy, plan_arrivals
from .results import save
from .target_standin import Behaviour

RATES = (1, 10, 100, 300)
DURATION_S = 10.0
OUTAGE = (3.0, 9.0)
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
    """Four nodes of one availability zone, which share a batcher."""

    @property
    def tables_folder(self) -> Path:
        """Write and return the tables of this section."""
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


def at_rate(rate: float) -> Deployment:
    """Return the deployment at a rate of claims per second."""
    traffic = dataclasses.replace(ORDERS.traffic[0], rate=rate)
    return dataclasses.replace(ORDERS, traffic=(traffic,))


def counts(fleet: Fleet) -> dict[str, int]:
    """Return the platform's requests by cause."""
    answer = urllib3.PoolManager().request("GET", f"{fleet.platform_url}/counts")
    return json.loads(answer.data)


def measure_rate(fleet: Fleet, rate: int) -> dict[str, Any]:
    """Measure transactions and reads per claim at a rate."""
    deployment = at_rate(rate)
    arrivals = plan_arrivals(deployment.traffic, DURATION_S, lambda _: 1.0, rate)
    before = counts(fleet)
    load = Load(deployment, fleet.routers, RouterPolicy(), rate)
    results = asyncio.run(load.run(arrivals, []))
    after = counts(fleet)
    check_report = check_results(deployment, results, fleet.executions())
    fleet.clear()

    def per_second(cause: str) -> float:
        return round((after.get(cause, 0) - before.get(cause, 0)) / DURATION_S, 2)

    row = check_report.rows[0]
    return {
        "claims_per_s": round(len(arrivals) / DURATION_S, 1),
        "transactions_per_s": per_second("keys/commit"),
        "reads_per_s": per_second("keys/read"),
        "tx_per_claim": round(
            per_second("keys/commit") * DURATION_S / len(arrivals), 3
        ),
        "in_time": row["in_time"],
        "sent": row["sent"],
        "p50_ms": row["p50_ms"],
        "p99_ms": row["p99_ms"],
        "violations": len(check_report.violations),
    }


def measure_outage(fleet: Fleet, tickets: bool) -> dict[str, Any]:
    """Measure keyed goodput while the store is down."""
    deployment = at_rate(60)
    arrivals = plan_arrivals(deployment.traffic, 12.0, lambda _: 1.0, 5)
    actions = [
        (OUTAGE[0], lambda: fleet.faults(down=True)),
        (OUTAGE[1], lambda: fleet.faults(down=False)),
    ]
    policy = RouterPolicy(tickets=tickets)
    load = Load(deployment, fleet.routers, policy, 9 + tickets)
    results = asyncio.run(load.run(arrivals, actions))
    check_report = check_results(deployment, results, fleet.executions())
    fleet.clear()
    inside = [r for r in results if OUTAGE[0] + 0.2 <= r.arrival.at < OUTAGE[1] - 0.2]
    good = sum(1 for result in inside if result.good(3.0))
    return {
        "keys": "tickets" if tickets else "callers' own",
        "sent_in_outage": len(inside),
        "answered_in_time": good,
        "share_%": round(100 * good / len(inside), 1),
        "unknown": sum(1 for result in inside if result.outcome == "unknown"),
        "violations": len(check_report.violations),
    }


def at_full_size(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Work out the transactions of the whole fleet at full size."""
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
    """Run the section."""
    with (
        TemporaryDirectory(prefix="dogwooddock-claims-") as folder,
        ClaimsFleet(ORDERS, Path(folder)) as fleet,
    ):
        rows = [measure_rate(fleet, rate) for rate in RATES]
        outage = [measure_outage(fleet, tickets) for tickets in (False, True)]
    print_table(rows)
    print_table(outage)
    full = at_full_size(rows)
    print_table([full])
    document = {"rates": rows, "outage": outage, "full_size": full}
    save("claims", document)
    return document
