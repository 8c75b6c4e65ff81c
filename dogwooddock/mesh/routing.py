"""The desired state that a node applies: routes, pools and limits."""

__all__ = ["DesiredState", "MeshRoute", "RouteTable", "WeightedSplit"]

from dataclasses import dataclass, field

from ..http1.server import ServerLimits


@dataclass(frozen=True, slots=True)
class MeshRoute:
    """One route: which requests go to which pools, and how.

    Args:
        name: Name of the route.
        host: Host header that it serves.
        prefix: Path prefix, with a slash at both ends.
        idempotent: Whether a request may run more than once.
        timeout_s: Longest time that a caller is kept waiting, in seconds.
        objective_s: Time in which an answer is worth most, in seconds.
        priority: Rank; 0 is the most important.
        attempts: Most targets that one request may be sent to.
        pools: Pairs of pool and weight.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    attempts: int
    pools: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One version of the configuration.

    Args:
        version: Number that grows with each change.
        routes: Every route.
        health_paths: Path of the health check by pool.
        limits: Bounds on what callers may send.
        document: The bytes that it was read from, to pass on to other nodes.
    """

    version: int
    routes: tuple[MeshRoute, ...]
    health_paths: dict[str, str]
    limits: ServerLimits
    document: bytes


@dataclass
class WeightedSplit:
    """Spread requests over pools in the proportions of their weights."""

    pools: tuple[tuple[str, float], ...]
    _credit: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._credit = [0.0] * len(self.pools)

    def next_pool(self) -> str:
        """Return the pool of the next request (smooth weighted round robin)."""
        if len(self.pools) == 1:
            return self.pools[0][0]
        total = 0.0
        best = 0
        for index, (_, weight) in enumerate(self.pools):
            self._credit[index] += weight
            total += weight
            if self._credit[index] > self._credit[best]:
                best = index
        self._credit[best] -= total
        return self.pools[best][0]


class RouteTable:
    """Find the route of a request by host and longest prefix.

    Args:
        state: The version to apply.
        previous: Table of the version before; unchanged splits go on where they were.
    """

    def __init__(self, state: DesiredState, previous: "RouteTable | None" = None):
        self.state = state
        self._by_host: dict[str, dict[str, MeshRoute]] = {}
        self._splits: dict[str, WeightedSplit] = {}
        kept = previous._splits if previous is not None else {}
        for route in state.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route
            split = kept.get(route.name)
            if split is None or split.pools != route.pools:
                split = WeightedSplit(route.pools)
            self._splits[route.name] = split

    def find(self, host: str, path: str) -> MeshRoute | None:
        """Return the route of a host and path, or None."""
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def next_pool(self, route: MeshRoute) -> str:
        """Return the pool that the next request of a route goes to."""
        return self._splits[route.name].next_pool()
