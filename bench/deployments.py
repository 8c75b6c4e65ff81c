"""The two benchmark deployments, scaled down to one machine.

Each pool has a fifth of the slots of the real deployment; jobdesk, firebook and
tinstore have a twentieth. A target sleeps for its own service time, so its capacity is
its slots divided by the holding time and does not depend on the machine's speed.
"""

from dataclasses import dataclass, field
from pathlib import Path

from .target_standin import Behaviour

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


@dataclass(frozen=True)
class Service:
    """The targets of one pool.

    Args:
        pool: Name of the pool.
        targets: Number of targets.
        slots: Requests that each target runs at once.
        connections: Connections that each target accepts.
        speeds: Speeds of the targets, repeated if there are more targets; service
            time is divided by the speed.
    """

    pool: str
    targets: int
    slots: int
    connections: int
    speeds: tuple[float, ...] = (1.0,)


@dataclass(frozen=True)
class Traffic:
    """One kind of client request.

    Args:
        kind: Name of the kind.
        caller: Client account that sends it.
        method: HTTP method.
        path: Path of the request.
        rate: Mean arrivals per second.
        importance: Priority, from 0 (lowest) to 9 (highest).
        weight: Value of an answer in time, for the weighted goodput.
        keyed: Whether it carries an idempotency key.
    """

    kind: str
    caller: str
    method: str
    path: str
    rate: float
    importance: int
    weight: float
    keyed: bool = False


@dataclass(frozen=True)
class Deployment:
    """A deployment that runs on the loopback interface.

    Args:
        name: Name of the deployment.
        zones: Availability zones, over which the nodes are spread evenly.
        services: Targets of each pool.
        paths: Behaviour of the targets, by path.
        traffic: Kinds of client requests.
        timeouts: Time in which an answer counts as in time, in seconds, by kind.
    """

    name: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]
    paths: dict[str, Behaviour]
    traffic: tuple[Traffic, ...]
    timeouts: dict[str, float] = field(default_factory=dict)

    @property
    def tables_folder(self) -> Path:
        """Folder with the committed tables."""
        return EXAMPLES / f"{self.name}-small"

    def holding_time_s(self, path: str) -> float:
        """Return the mean time that a request holds its slot, with downstream calls."""
        behaviour = self.paths[path]
        own_s = behaviour.own_ms / 1000
        return own_s + sum(self.holding_time_s(call) for call in behaviour.calls)


KALEMTAS = Deployment(
    name="kalemtas",
    zones=("tr-west-a", "tr-west-b", "tr-west-c", "tr-west-d"),
    services=(
        Service("catalog", 4, 7, 60, (1.0, 1.0, 0.8, 1.2)),
        Service("jobs", 4, 7, 60, (1.0, 1.0, 0.8, 1.2)),
        Service("proofs", 4, 7, 60, (1.0, 1.0, 0.8, 1.2)),
        Service("orders", 4, 2, 30, (1.0, 1.0, 0.8, 1.2)),
    ),
    paths={
        "/catalog/browse": Behaviour(90, ["/jobs/status"]),
        "/jobs/status": Behaviour(90, ["/proofs/check"]),
        "/jobs/slots": Behaviour(45, ["/proofs/check"]),
        "/proofs/check": Behaviour(60),
        "/proofs/view": Behaviour(90),
        "/orders/confirm": Behaviour(90, ["/jobs/slots"]),
    },
    traffic=(
        Traffic("confirmation", "shops", "POST", "/orders/confirm", 4, 9, 20, True),
        Traffic("proof", "shops", "GET", "/proofs/view", 15, 5, 3),
        Traffic("browsing", "shops", "GET", "/catalog/browse", 33, 2, 1),
    ),
    timeouts={"confirmation": 3.0, "proof": 2.0, "browsing": 2.0},
)

AUTHORITY = Deployment(
    name="authority",
    zones=("ub-a", "ub-b", "ub-c"),
    services=(
        Service("jobdesk", 4, 6, 40, (1.0, 1.0, 0.8, 1.2)),
        Service("firebook", 3, 4, 50, (1.0, 0.8, 1.2)),
        Service("tinstore", 3, 8, 50, (1.0, 0.8, 1.2)),
        Service("feebook", 3, 7, 60, (1.0, 0.8, 1.2)),
    ),
    paths={
        "/jobdesk/status": Behaviour(75, ["/tinstore/stock"]),
        "/tinstore/stock": Behaviour(75, ["/feebook/fees"]),
        "/tinstore/reserve-check": Behaviour(60),
        "/feebook/fees": Behaviour(75),
        "/firebook/book": Behaviour(120, ["/tinstore/reserve-check"]),
    },
    traffic=(
        Traffic("booking", "clerks", "POST", "/firebook/book", 5, 9, 20, True),
        Traffic("lookup", "clerks", "GET", "/jobdesk/status", 30, 3, 1),
        Traffic("stock", "clerks", "GET", "/tinstore/stock", 12, 2, 1),
    ),
    timeouts={"booking": 4.0, "lookup": 2.5, "stock": 2.5},
)

DEPLOYMENTS = {item.name: item for item in (KALEMTAS, AUTHORITY)}
