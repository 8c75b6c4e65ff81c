"""Route and pool tables as operators write them: parsing and validation."""

__all__ = ["build_tables", "parse_tables"]

import tomllib
from collections.abc import Sequence
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .errors import InvalidTables, RowProblem
from .tables import ANY, MAX_IMPORTANCE, Pool, Route, Tables


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
    problems = [
        *_duplicate_problems("routes", routes),
        *_duplicate_problems("pools", pools),
        *_unknown_pool_problems(routes, pools),
        *_limit_problems(pools),
        *_overlap_problems(routes),
    ]
    if problems:
        raise InvalidTables(problems)
    ordered_routes = tuple(sorted(routes, key=lambda route: route.name))
    ordered_pools = tuple(sorted(pools, key=lambda pool: pool.name))
    return Tables(0, ordered_routes, ordered_pools)


def _duplicate_problems(
    table: str, rows: Sequence[Route] | Sequence[Pool]
) -> list[RowProblem]:
    seen: set[str] = set()
    problems = []
    for row in rows:
        if row.name in seen:
            problems.append(RowProblem(table, row.name, "name", "use each name once"))
        seen.add(row.name)
    return problems


def _unknown_pool_problems(routes: list[Route], pools: list[Pool]) -> list[RowProblem]:
    names = {pool.name for pool in pools}
    problems = []
    for route in routes:
        if route.pool not in names:
            remedy = f"add a pool named {route.pool!r} or name an existing pool"
            problems.append(RowProblem("routes", route.name, "pool", remedy))
    return problems


def _limit_problems(pools: list[Pool]) -> list[RowProblem]:
    problems = []
    for pool in pools:
        if pool.min_limit > pool.limit_ceiling:
            remedy = f"use at most {pool.limit_ceiling}, the upper bound of the limit"
            problems.append(RowProblem("pools", pool.name, "min_limit", remedy))
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
