"""Configuration that a node applies: routes, their pools and limits."""

__all__ = ["DesiredState", "MeshRoute", "RouteTable", "WeightedSplit"]

from dataclasses import dataclass, field

from ..http1.server import ServerLimits
from ..policy.accounts import AccountTable, ClientAccount


@dataclass(frozen=True, slots=True)
class MeshRoute:
    """Match conditions, pools and request settings of a route.

    Args:
        name: Name of the route.
        host: Host that a request must name, without port.
        prefix: Path prefix that a request must have, with a slash at both ends.
        idempotent: Whether a request may run more than once.
        timeout_s: Maximum time to answer a request, in seconds.
        objective_s: Latency objective of a request, in seconds.
        priority: Priority; 0 is the highest.
        attempts: Maximum number of targets that one request may reach.
        pools: Pairs of pool name and weight.
        public: Whether requests need no API key.
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
    public: bool = False


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One version of the configuration.

    Args:
        version: Number that increases with each change.
        routes: All routes.
        health_paths: Path of the health check, by pool.
        limits: Limits on the size and timing of callers' requests.
        document: Encoded form that it was read from, sent to other nodes as it is.
        accounts: All client accounts.
    """

    version: int
    routes: tuple[MeshRoute, ...]
    health_paths: dict[str, str]
    limits: ServerLimits
    document: bytes = field(repr=False)
    accounts: tuple[ClientAccount, ...] = ()


@dataclass
class WeightedSplit:
    """Distribute requests over pools in proportion to their weights."""

    pools: tuple[tuple[str, float], ...]
    _current_weights: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        if not self._current_weights:
            self._current_weights = [0.0] * len(self.pools)

    def peek_pool(self) -> str:
        """Return the pool of the next request, without counting one."""
        return WeightedSplit(self.pools, list(self._current_weights)).next_pool()

    def next_pool(self) -> str:
        """Return the pool of the next request, by smooth weighted round robin."""
        if len(self.pools) == 1:
            return self.pools[0][0]
        total = 0.0
        best = 0
        for index, (_, weight) in enumerate(self.pools):
            self._current_weights[index] += weight
            total += weight
            if self._current_weights[index] > self._current_weights[best]:
                best = index
        self._current_weights[best] -= total
        return self.pools[best][0]


class RouteTable:
    """Find the route of a request by host and longest prefix.

    Args:
        state: Configuration to apply.
        previous: Table of the previous version; splits whose pools and weights have not
            changed keep their position.
    """

    def __init__(self, state: DesiredState, previous: "RouteTable | None" = None):
        self.state = state
        self.accounts = AccountTable(state.accounts) if state.accounts else None
        self._by_host: dict[str, dict[str, MeshRoute]] = {}
        self._splits: dict[str, WeightedSplit] = {}
        previous_splits = previous._splits if previous is not None else {}
        for route in state.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route
            if len(route.pools) > 1:
                split = previous_splits.get(route.name)
                if split is None or split.pools != route.pools:
                    split = WeightedSplit(route.pools)
                self._splits[route.name] = split

    def find(self, host: str, path: str) -> MeshRoute | None:
        """Return the route with the longest matching prefix, or None.

        The case and the port of the host are ignored.
        """
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

    def peek_pool(self, route: MeshRoute) -> str:
        """Return the pool of the next request of a route, without counting one."""
        if len(route.pools) == 1:
            return route.pools[0][0]
        return self._splits[route.name].peek_pool()

    def next_pool(self, route: MeshRoute) -> str:
        """Return the pool for the next request of a route."""
        if len(route.pools) == 1:
            return route.pools[0][0]
        return self._splits[route.name].next_pool()
