"""Reading configuration and members from the store while it is this node's turn."""

__all__ = ["StoreReading"]

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import structlog

from ..policy.readers import is_store_reader
from .fleet import Fleet
from .follower import TableFollower
from .recordrows import MEMBERS_TABLE
from .rows import Row, RowStore

TURN_PERIOD_S = 0.1
START_WAIT_S = 0.2
CONFIG_GAP_S = 0.1
MEMBERS_GAP_S = 0.5

log = structlog.get_logger()

TakeRows = Callable[[tuple[Row, ...], int], None]


class StoreReading:
    """Follow the store for the own availability zone, in turn with its other nodes.

    Args:
        store: The platform's store.
        config_table: Table of the operator's configuration.
        fleet: Peers and the links to them.
        on_config: Called with rows of the configuration's table.
        on_members: Called with rows of the members' table.
        on_lost: Called when the store was lost or regained.
        rng: Source of jitter.
    """

    def __init__(
        self,
        store: RowStore,
        config_table: str,
        fleet: Fleet,
        on_config: TakeRows,
        on_members: TakeRows,
        on_lost: Callable[[], None],
        rng: Random,
    ):
        self._fleet = fleet
        self._on_lost = on_lost
        self._followers = (
            TableFollower(store, config_table, [""], on_config, rng, CONFIG_GAP_S),
            TableFollower(store, MEMBERS_TABLE, None, on_members, rng, MEMBERS_GAP_S),
        )
        self.active = False

    @property
    def lost(self) -> bool:
        """Report whether this node reads and cannot reach the store."""
        return self.active and any(follower.lost for follower in self._followers)

    @property
    def jobs(self) -> list[Callable[[], Awaitable[None]]]:
        """Return what has to run in the background."""
        return [*(follower.run for follower in self._followers), self._keep_turn]

    async def _keep_turn(self) -> None:
        """Read or leave it to others, as the links show, until cancelled."""
        was_lost = False
        await asyncio.sleep(START_WAIT_S)
        while True:
            self._take_turn()
            if self.lost != was_lost:
                was_lost = self.lost
                self._on_lost()
            await asyncio.sleep(TURN_PERIOD_S)

    def _take_turn(self) -> None:
        peers = self._fleet.zone_peers()
        active = is_store_reader(self._fleet.address, peers)
        if active == self.active:
            return
        self.active = active
        log.info("store_reader", active=active, zone_peers=len(peers))
        for follower in self._followers:
            follower.want(active)
