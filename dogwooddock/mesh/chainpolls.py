"""Questions to other nodes for the levels of the routes that the local target calls."""

__all__ = ["poll_levels"]

import asyncio
from functools import partial

from ..policy.chains import POLL_INTERVAL_S, ChainAdmission
from .fleet import Fleet


async def poll_levels(fleet: Fleet, chains: ChainAdmission) -> None:
    """Ask for the levels that are due, until cancelled."""
    loop = asyncio.get_running_loop()

    def report(route: str, level: int) -> None:
        chains.reported.report(route, level, loop.time())

    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        for route, pool in chains.due_polls(loop.time()).items():
            fleet.ask_level(pool, route, partial(report, route))
