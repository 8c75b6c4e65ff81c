"""Read configuration and members from the store while this node is a store reader."""

__all__ = ["StoreReader"]

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import structlog

from ..policy.readers import is_store_reader
from .fleet import Fleet
from .follower import TableFollower
from .recordrows import MEMBERS_TABLE
from .rows import Row, RowStore

ROLE_PERIOD_S = 0.1
START_DELAY_S = 0.2
CONFIG_BATCH_DELAY_S = 0.1
MEMBERS_BATCH_DELAY_S = 0.5

log = structlog.get_logger()

RowsCallback = Callable[[tuple[Row, ...], int], None]


class StoreReader:
    """Follow the store while this node is a store reader of its zone.

    A few nodes of each availability zone read the store; the others learn of changes
    over links. Each node derives its role from the links that are up.

    Args:
        store: The platform's store.
        config_table: Table of the operator's configuration.
        fleet: Peers and the links to them.
        on_config: Called with rows of the configuration table and their version.
        on_members: Called with rows of the members table and their version.
        on_store_lost_change: Called when ``store_lost`` changed.
        rng: Source of the jitter of retry delays.
    """

    def __init__(
        self,
        store: RowStore,
        config_table: str,
        fleet: Fleet,
        on_config: RowsCallback,
        on_members: RowsCallback,
        on_store_lost_change: Callable[[], None],
        rng: Random,
    ):
        self._fleet = fleet
        self._on_store_lost_change = on_store_lost_change
        self._followers = (
            TableFollower(
                store, config_table, [""], on_config, rng, CONFIG_BATCH_DELAY_S
            ),
            TableFollower(
                store, MEMBERS_TABLE, None, on_members, rng, MEMBERS_BATCH_DELAY_S
            ),
        )
        self.active = False

    @property
    def store_lost(self) -> bool:
        """Report whether this node is a store reader but cannot reach the store."""
        return self.active and any(follower.store_lost for follower in self._followers)

    @property
    def jobs(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the coroutine functions to run in the background."""
        return [*(follower.run for follower in self._followers), self._run_role_updates]

    async def _run_role_updates(self) -> None:
        """Update the store reader role periodically, until cancelled."""
        was_lost = False
        await asyncio.sleep(START_DELAY_S)
        while True:
            self._update_role()
            if self.store_lost != was_lost:
                was_lost = self.store_lost
                self._on_store_lost_change()
            await asyncio.sleep(ROLE_PERIOD_S)

    def _update_role(self) -> None:
        peers = self._fleet.zone_peers()
        active = is_store_reader(self._fleet.address, peers)
        if active == self.active:
            return
        self.active = active
        log.info("store_reader", active=active, zone_peers=len(peers))
        for follower in self._followers:
            follower.set_enabled(active)
