"""Where a request would go now, and why, from the state of one node."""

__all__ = ["UnknownRequest", "where_to"]

from dataclasses import asdict
from typing import Any

from ..errors import DogwooddockError
from ..policy.accounts import ClientAccount
from ..policy.levels import LEVEL_SCALE
from ..policy.outcomes import Reason
from ..policy.placement import Obstacle, PlacementView, TargetView
from .inspected import InspectedNode
from .pending import importance_and_depth
from .quotas import QuotaState
from .routing import MeshRoute, RouteTable


class UnknownRequest(DogwooddockError):
    """No route or account of the active configuration fits the question."""


def where_to(node: InspectedNode, host: str, path: str, account: str) -> dict[str, Any]:
    """Return the route and target of a request, as values that can be JSON.

    Nothing is sent, counted or changed.

    Args:
        node: Node that the request would be sent to.
        host: Host that the request names.
        path: Path of the request.
        account: Name of the client account; empty if it carries no key.

    Raises:
        UnknownRequest: The configuration has no such route or account.
    """
    table = node.config.table
    if table is None:
        raise UnknownRequest("this node has no configuration yet; ask another one")
    route = _find_route(table, host, path)
    known = _find_account(table, account)
    pool = table.peek_pool(route)
    view = node.fleet.explain(pool, route.name, route.objective_s)
    quota = node.quotas.describe(known) if known is not None else None
    return {
        "node": node.env.name,
        "config_version": node.config.version,
        "route": route.name,
        "pools": [{"pool": name, "weight": weight} for name, weight in route.pools],
        "pool": pool,
        "account": account or None,
        "rate_limit_per_s": known.rate_per_s if known is not None else 0.0,
        "quota": asdict(quota) if quota is not None else None,
        "chosen": _target_id(node, view.chosen),
        "refusal": _refusal(node, route, pool, known, quota, view),
        "targets": [_describe(node, target, view) for target in view.targets],
    }


def _find_route(table: RouteTable, host: str, path: str) -> MeshRoute:
    route = table.find(host, path)
    if route is None:
        raise UnknownRequest(
            f"no route serves host {host!r} and path {path!r}; correct them, "
            f"or look for the route in configuration {table.state.version}"
        )
    return route


def _find_account(table: RouteTable, name: str) -> ClientAccount | None:
    if not name:
        return None
    for account in table.state.accounts:
        if account.name == name:
            return account
    raise UnknownRequest(
        f"no account is named {name!r}; name one of configuration {table.state.version}"
    )


def _refusal(
    node: InspectedNode,
    route: MeshRoute,
    pool: str,
    account: ClientAccount | None,
    quota: QuotaState | None,
    view: PlacementView,
) -> dict[str, Any] | None:
    """Return the refusal that a request would meet now, or None.

    Its share is the part of the requests of this route and account that meet it.
    """
    table = node.config.table
    needs_key = table is not None and table.accounts is not None and not route.public
    if needs_key and account is None:
        return _refusal_row(401, Reason.UNKNOWN_KEY, 1.0)
    proofs = node.config_proofs
    if needs_key and proofs is not None and not proofs.permits_keys():
        return _refusal_row(503, Reason.STALE_CONFIG, 1.0)
    if needs_key and quota is not None and quota.refuses:
        return _refusal_row(429, Reason.QUOTA, 1.0)
    if view.chosen is None:
        return _refusal_row(503, Reason.NO_TARGET, 1.0)
    level = max(
        node.fleet.pool_levels.level(pool, node.now()),
        node.fleet.levels.level(route.name, node.now()),
    )
    importance, _ = importance_and_depth(route, None, account)
    share = min(1.0, level / LEVEL_SCALE - importance)
    return _refusal_row(503, Reason.OVERLOAD, share) if share > 0.0 else None


def _refusal_row(status: int, reason: Reason, share: float) -> dict[str, Any]:
    return {"status": status, "reason": reason.value, "share": round(share, 2)}


def _target_id(node: InspectedNode, node_id: int | None) -> str | None:
    if node_id is None:
        return None
    record = node.fleet.members.find(node.fleet.address_of(node_id))
    return record.target_id if record is not None else None


def _describe(
    node: InspectedNode, target: TargetView, view: PlacementView
) -> dict[str, Any]:
    host, port = node.fleet.address_of(target.node_id)
    chosen = target.node_id == view.chosen
    return {
        "target": _target_id(node, target.node_id),
        "address": f"{host}:{port}",
        "zone": target.zone,
        "why": "chosen" if chosen else _why_not(target),
        "age_s": None if target.age_s is None else round(target.age_s, 3),
        "load": target.reported_load,
        "outstanding": target.outstanding,
        "limit": target.limit,
        "level": node.fleet.levels.level(str(target.node_id), node.now()),
        "utilization": round(target.utilization, 2),
        "share": round(target.share, 2),
        "cost_s": round(target.cost_s, 4),
    }


def _why_not(target: TargetView) -> str:
    """Return why a target is not the chosen one."""
    if target.obstacle is not Obstacle.NONE:
        return target.obstacle.name.lower()
    return target.passed_over or "not its turn"
