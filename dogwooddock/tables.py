"""Route and pool tables: parsing, validation, route matching and edits."""

__all__ = [
    "Edit",
    "Pool",
    "PoolRow",
    "Route",
    "RouteRow",
    "RowChange",
    "Tables",
    "build_tables",
    "changes_between",
    "parse_tables",
]

import json
import tomllib
from dataclasses import asdict, dataclass, field
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .errors import InvalidTables, RowProblem

ANY = "*"
MAX_IMPORTANCE = 9


class RouteRow(BaseModel):
    """Schema of one row of the route table."""

    model_config = ConfigDict(extra="forbid", strict=True)

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")
    caller: str = Field(min_length=1, max_length=80)
    method: str = Field(pattern=r"^([A-Z]{3,10}|\*)$")
    path: str = Field(pattern=r"^/[^*\s]*\*?$")
    pool: str = Field(min_length=1)
    kind: str = Field(min_length=1, max_length=64)
    importance: int = Field(ge=0, le=MAX_IMPORTANCE)
    idempotent: bool
    timeout_ms: int = Field(ge=1, le=600_000)
    weight: float = Field(default=1.0, ge=0)


class PoolRow(BaseModel):
    """Schema of one row of the pool table."""

    model_config = ConfigDict(extra="forbid", strict=True)

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")
    service: str = Field(min_length=1, max_length=64)
    slots: int = Field(ge=1, le=100_000)
    connections: int = Field(ge=1, le=100_000)
    min_limit: int = Field(default=1, ge=1)
    max_limit: int = Field(default=0, ge=0)
    queue: int = Field(default=0, ge=0)


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


def parse_tables(routes_toml: str, pools_toml: str) -> Tables:
    """Parse and validate a pair of tables in TOML.

    Args:
        routes_toml: TOML text with one ``[[route]]`` table per row.
        pools_toml: TOML text with one ``[[pool]]`` table per row.

    Returns:
        The tables at version 0.

    Raises:
        InvalidTables: A row is invalid, or the tables are inconsistent.
    """
    problems: list[RowProblem] = []
    routes = _parse_rows(routes_toml, "routes", "route", RouteRow, problems)
    pools = _parse_rows(pools_toml, "pools", "pool", PoolRow, problems)
    if problems:
        raise InvalidTables(problems)
    return build_tables(
        [Route(**row.model_dump()) for row in routes],
        [Pool(**row.model_dump()) for row in pools],
    )


def _parse_rows(
    text: str, table: str, key: str, model: type[BaseModel], problems: list[RowProblem]
) -> list[Any]:
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        problems.append(RowProblem(table, "-", "-", f"fix the TOML syntax: {exc}"))
        return []
    extra = sorted(set(document) - {key})
    if extra:
        problems.append(RowProblem(table, "-", extra[0], f"use only [[{key}]] rows"))
        return []
    rows = []
    for position, raw in enumerate(document.get(key, []), start=1):
        try:
            rows.append(model.model_validate(raw))
        except ValidationError as exc:
            name = str(raw.get("name", position)) if isinstance(raw, dict) else "?"
            problems.extend(_row_problems(table, name, exc))
    return rows


def _row_problems(table: str, name: str, exc: ValidationError) -> list[RowProblem]:
    problems = []
    for error in exc.errors():
        field_name = ".".join(str(part) for part in error["loc"]) or "-"
        remedy = error["msg"]
        if error["type"] == "missing":
            remedy = "add this field; it has no default"
        elif error["type"] == "extra_forbidden":
            remedy = "remove this field; it is not known"
        problems.append(RowProblem(table, name, field_name, remedy))
    return problems


def build_tables(routes: list[Route], pools: list[Pool]) -> Tables:
    """Validate routes and pools against each other and return the tables.

    Returns:
        The tables at version 0, with rows sorted by name.

    Raises:
        InvalidTables: A name is used twice, a route names an unknown pool, a lower
            limit exceeds the upper limit, or two routes overlap.
    """
    problems = _duplicate_problems("routes", routes) + _duplicate_problems(
        "pools", pools
    )
    pool_names = {pool.name for pool in pools}
    for route in routes:
        if route.pool not in pool_names:
            remedy = f"add a pool named {route.pool!r} or name an existing pool"
            problems.append(RowProblem("routes", route.name, "pool", remedy))
    for pool in pools:
        if pool.min_limit > pool.limit_ceiling:
            remedy = f"use at most {pool.limit_ceiling}, the upper bound of the limit"
            problems.append(RowProblem("pools", pool.name, "min_limit", remedy))
    problems.extend(_overlap_problems(routes))
    if problems:
        raise InvalidTables(problems)
    ordered_routes = tuple(sorted(routes, key=lambda route: route.name))
    ordered_pools = tuple(sorted(pools, key=lambda pool: pool.name))
    return Tables(0, ordered_routes, ordered_pools)


def _duplicate_problems(table: str, rows: list) -> list[RowProblem]:
    seen: set[str] = set()
    problems = []
    for row in rows:
        if row.name in seen:
            problems.append(RowProblem(table, row.name, "name", "use each name once"))
        seen.add(row.name)
    return problems


def _overlap_problems(routes: list[Route]) -> list[RowProblem]:
    problems = []
    ordered = sorted(routes, key=lambda route: route.path.rstrip(ANY))
    for index, route in enumerate(ordered):
        prefix = route.path.rstrip(ANY)
        for other in ordered[index + 1 :]:
            if not other.path.startswith(prefix):
                break
            if route.name != other.name and route.overlaps(other):
                remedy = f"make it distinct from route {route.name!r}, which overlaps"
                problems.append(RowProblem("routes", other.name, "path", remedy))
    return problems
