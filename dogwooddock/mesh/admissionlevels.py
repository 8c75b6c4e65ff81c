"""Levels below which requests are refused before they are sent to a gate."""

__all__ = ["AdmissionLevels"]

import asyncio

from ..policy.chains import ChainAdmission
from ..policy.levels import LevelTable
from ..policy.poollevels import PoolLevels
from .calls import MeshReply
from .pending import PendingRequest


class AdmissionLevels:
    """Follow the levels that replies report, and compare requests with them.

    Args:
        levels: Levels of what lies downstream of routes.
        pools: Levels of pools.
        chains: Chains of calls that the local target's runs make.
    """

    def __init__(self, levels: LevelTable, pools: PoolLevels, chains: ChainAdmission):
        self._loop = asyncio.get_running_loop()
        self._levels = levels
        self._pools = pools
        self._chains = chains

    def refuses(self, pending: PendingRequest) -> bool:
        """Report whether the pool, or one downstream of it, would refuse a request.

        Calls of the local target are left to the gates.
        """
        if pending.parent is not None:
            return False
        now = self._loop.time()
        call = pending.call
        if call.rank < self._load_level(pending, now):
            return True
        return self._chains.reported.refuses(call.route, call.rank, now)

    def _load_level(self, pending: PendingRequest, now: float) -> int:
        """Return the rank below which the pool or a downstream pool would refuse."""
        return max(
            self._pools.level(pending.pool, now),
            self._levels.level(pending.route.name, now),
        )

    def record(self, pending: PendingRequest, reply: MeshReply) -> None:
        """Record the level downstream of a route and report it to the parent call."""
        now = self._loop.time()
        route, level = pending.route.name, reply.below_level
        self._levels.update_smoothed(route, level, now)
        parent = pending.parent
        if parent is not None:
            pool_level = self._pools.level(pending.pool, now)
            parent.below_level = max(parent.below_level, level, pool_level)
        self._chains.reported.report(route, reply.chain_level, now)
