"""Route and pool tables: rows, route matching and edits."""

__all__ = [
    "MAX_IMPORTANCE",
    "Edit",
    "Pool",
    "Route",
    "RowChange",
    "Tables",
    "changes_between",
]

import json
from dataclasses import asdict, dataclass, field
from typing import Any

ANY = "*"
MAX_IMPORTANCE = 9


@dataclass(frozen=True, slots=True)
class Route:
    """A rule that assigns a caller's requests to a pool and sets how to treat them.

    Args:
        name: Unique name.
        caller: Name of the caller, ``pool:NAME`` for calls made by targets of that
            pool, or ``*`` for any.
        method: HTTP method, or ``*`` for any.
        path: Exact path, or a prefix followed by ``*``.
        pool: Name of the pool that serves the requests.
        kind: Name of the kind of request, used in reports.
        importance: Priority, from 0 (lowest) to 9 (highest).
        idempotent: Whether a request may run more than once.
        timeout_ms: Timeout of the whole request, with all its attempts, in
            milliseconds.
        weight: Value of one answered request in goodput reports.
    """

    name: str
    caller: str
    method: str
    path: str
    pool: str
    kind: str
    importance: int
    idempotent: bool
    timeout_ms: int
    weight: float = 1.0

    def matches(self, caller: str, method: str, path: str) -> bool:
        """Return whether this route matches a request."""
        if self.caller not in (ANY, caller) or self.method not in (ANY, method):
            return False
        if self.path.endswith(ANY):
            return path.startswith(self.path[:-1])
        return path == self.path

    def overlaps(self, other: "Route") -> bool:
        """Return whether some request would match both routes."""
        if ANY not in (self.caller, other.caller) and self.caller != other.caller:
            return False
        if ANY not in (self.method, other.method) and self.method != other.method:
            return False
        return _paths_overlap(self.path, other.path)


def _paths_overlap(left: str, right: str) -> bool:
    if left.endswith(ANY) and right.endswith(ANY):
        short, long = sorted((left[:-1], right[:-1]), key=len)
        return long.startswith(short)
    if left.endswith(ANY):
        return right.startswith(left[:-1])
    if right.endswith(ANY):
        return left.startswith(right[:-1])
    return left == right


@dataclass(frozen=True, slots=True)
class Pool:
    """A named set of targets.

    Args:
        name: Unique name.
        service: Name of the service that the targets provide.
        slots: Requests that one target can process concurrently.
        connections: Maximum connections that one target accepts.
        min_limit: Lower bound of the adaptive concurrency limit of one target.
        max_limit: Upper bound of the adaptive concurrency limit; 0 means ``slots``.
        queue: Capacity of the queue at one gate, in requests; 0 means ``slots``.
    """

    name: str
    service: str
    slots: int
    connections: int
    min_limit: int = 1
    max_limit: int = 0
    queue: int = 0

    @property
    def limit_ceiling(self) -> int:
        """Return the upper bound of the adaptive limit, at most ``connections``."""
        ceiling = self.max_limit or self.slots
        return min(ceiling, self.connections)

    @property
    def queue_capacity(self) -> int:
        """Return the capacity of the queue at one gate, in requests."""
        return self.queue or self.slots


@dataclass(frozen=True, slots=True)
class RowChange:
    """One row added, replaced or removed by an edit.

    Args:
        table: Name of the table, ``routes`` or ``pools``.
        name: Name of the row.
        row: Fields of the new row, or None if the row is removed.
    """

    table: str
    name: str
    row: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Edit:
    """One accepted change of the configuration.

    Args:
        version: Version that the edit created.
        edit_id: Identifier that the operator's command chose, unique per edit.
        author: Name of the operator.
        changes: Rows that changed.
    """

    version: int
    edit_id: str
    author: str
    changes: tuple[RowChange, ...]

    def dumps(self) -> str:
        """Serialize the edit as JSON."""
        return json.dumps(asdict(self), separators=(",", ":"))

    @classmethod
    def loads(cls, text: str) -> "Edit":
        """Deserialize an edit from JSON."""
        data = json.loads(text)
        changes = tuple(RowChange(**change) for change in data.pop("changes"))
        return cls(changes=changes, **data)


@dataclass(frozen=True)
class Tables:
    """Route and pool tables of one version, with indexes for lookup."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    _exact_routes: dict[tuple[str, str, str], Route] = field(
        default_factory=dict, compare=False, repr=False
    )
    _pattern_routes: list[Route] = field(
        default_factory=list, compare=False, repr=False
    )
    _pools_by_name: dict[str, Pool] = field(
        default_factory=dict, compare=False, repr=False
    )
    _routes_by_name: dict[str, Route] = field(
        default_factory=dict, compare=False, repr=False
    )

    def __post_init__(self) -> None:
        for route in self.routes:
            self._routes_by_name[route.name] = route
            if ANY in (route.caller, route.method) or route.path.endswith(ANY):
                self._pattern_routes.append(route)
            else:
                self._exact_routes[route.caller, route.method, route.path] = route
        self._pools_by_name.update({pool.name: pool for pool in self.pools})

    def match(self, caller: str, method: str, path: str) -> Route | None:
        """Return the route that matches a request, or None.

        Routes without wildcards are looked up first; validation rejects overlapping
        routes, so at most one matches.
        """
        route = self._exact_routes.get((caller, method, path))
        if route is not None:
            return route
        for candidate in self._pattern_routes:
            if candidate.matches(caller, method, path):
                return candidate
        return None

    def pool(self, name: str) -> Pool | None:
        """Return the pool with a name, or None."""
        return self._pools_by_name.get(name)

    def route(self, name: str) -> Route | None:
        """Return the route with a name, or None."""
        return self._routes_by_name.get(name)

    def apply(self, edit: Edit) -> "Tables":
        """Return the tables that result from an edit."""
        routes = {route.name: route for route in self.routes}
        pools = {pool.name: pool for pool in self.pools}
        for change in edit.changes:
            if change.table == "routes":
                _apply_change(routes, change, Route)
            else:
                _apply_change(pools, change, Pool)
        return Tables(edit.version, _sorted_by_name(routes), _sorted_by_name(pools))

    def dumps(self) -> str:
        """Serialize the tables as JSON."""
        data = {
            "version": self.version,
            "routes": [asdict(route) for route in self.routes],
            "pools": [asdict(pool) for pool in self.pools],
        }
        return json.dumps(data, separators=(",", ":"))

    @classmethod
    def loads(cls, text: str) -> "Tables":
        """Deserialize tables from JSON."""
        data = json.loads(text)
        routes = tuple(Route(**row) for row in data["routes"])
        pools = tuple(Pool(**row) for row in data["pools"])
        return cls(data["version"], routes, pools)


def _apply_change(rows: dict, change: RowChange, row_type: type) -> None:
    if change.row is None:
        rows.pop(change.name, None)
    else:
        rows[change.name] = row_type(**change.row)


def _sorted_by_name(rows: dict) -> tuple:
    return tuple(rows[name] for name in sorted(rows))


def changes_between(old: Tables, new: Tables) -> tuple[RowChange, ...]:
    """List the rows that differ between two versions, pools first, by name."""
    changes: list[RowChange] = []
    for table, before, after in (
        ("pools", old.pools, new.pools),
        ("routes", old.routes, new.routes),
    ):
        old_rows = {row.name: row for row in before}
        new_rows = {row.name: row for row in after}
        for name in sorted(old_rows.keys() | new_rows.keys()):
            if old_rows.get(name) != new_rows.get(name):
                row = new_rows.get(name)
                changes.append(RowChange(table, name, asdict(row) if row else None))
    return tuple(changes)
