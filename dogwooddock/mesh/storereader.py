"""Read configuration and members from the store while this node is a store reader."""

__all__ = ["StoreReader"]

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import structlog

from ..errors import PlatformError
from ..policy.polling import REGULAR_TIMING, lead_timing
from ..policy.readers import is_lead_reader, is_store_reader
from .configproofs import ConfigReader
from .fleet import Fleet
from .follower import TableFollower
from .recordrows import MEMBERS_TABLE
from .rows import Row, RowStore
from .zonerows import ZoneRows

ROLE_PERIOD_S = 0.1
ZONE_READ_TIMEOUT_S = 1.5
LINK_WAIT_S = 0.5
# Time in which the first nodes of a zone get heartbeats and write their rows.
FIRST_START_DELAY_S = 2.0
CONFIG_BATCH_DELAY_S = 0.1
MEMBERS_BATCH_DELAY_S = 0.5

log = structlog.get_logger()

RowsCallback = Callable[[tuple[Row, ...], int], None]


class StoreReader(ConfigReader):
    """Follow the store while this node is a store reader of its zone.

    A few nodes of each availability zone read the store; the others learn of changes
    over links. Each node derives its role from the links that are up. A node that
    starts looks for peers in the rows of its zone first, so that a fleet that starts
    as a whole does not read the tables once per node.

    The lead readers of the fleet call for the configuration often, since the store may
    drop the waiting calls of all readers and leave their connections open.

    Args:
        store: The platform's store.
        zone_rows: Reads the rows of this node's zone.
        config_table: Table of the operator's configuration.
        fleet: Peers and the links to them.
        on_config: Called with rows of the configuration table and their version.
        on_members: Called with rows of the members table and their version.
        on_store_lost_change: Called when ``store_lost`` changed.
        rng: Source of the jitter of retry delays.
        config_bound_s: Time in which a configuration has to be in force everywhere, in
            seconds.
        on_proof: Called with the proofs of the store that the configuration is the
            newest.
    """

    def __init__(
        self,
        store: RowStore,
        zone_rows: ZoneRows,
        config_table: str,
        fleet: Fleet,
        on_config: RowsCallback,
        on_members: RowsCallback,
        on_store_lost_change: Callable[[], None],
        rng: Random,
        config_bound_s: float,
        on_proof: Callable[[float, int], None],
    ):
        self._lead_timing = lead_timing(config_bound_s)
        self._fleet = fleet
        self._zone_rows = zone_rows
        self._on_store_lost_change = on_store_lost_change
        self._rng = rng
        self._members = TableFollower(
            store, MEMBERS_TABLE, None, on_members, rng, MEMBERS_BATCH_DELAY_S
        )
        self._config = TableFollower(
            store,
            config_table,
            [""],
            on_config,
            rng,
            CONFIG_BATCH_DELAY_S,
            self._members.restart,
            on_proof,
        )
        self._followers = (self._config, self._members)
        self.active = False
        self.leads = False
        self.joined = False

    @property
    def store_lost(self) -> bool:
        """Report whether this node is a store reader but cannot reach the store."""
        return self.active and any(follower.store_lost for follower in self._followers)

    @property
    def jobs(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the coroutine functions to run in the background."""
        return [*(follower.run for follower in self._followers), self._run_role_updates]

    def restart(self) -> None:
        """Call the store again, since it may have dropped the calls that wait."""
        for follower in self._followers:
            follower.restart()

    async def read_config(self) -> None:
        """Read the configuration once.

        Raises:
            PlatformError: The store cannot be read.
        """
        await self._config.load()

    async def _run_role_updates(self) -> None:
        """Update the store reader role periodically, until cancelled."""
        was_lost = False
        await self._find_peers()
        self.joined = True
        while True:
            self._update_role()
            if self.store_lost != was_lost:
                was_lost = self.store_lost
                self._on_store_lost_change()
            await asyncio.sleep(ROLE_PERIOD_S)

    async def _find_peers(self) -> None:
        """Wait for the links to the nodes that may read the store for this zone."""
        try:
            async with asyncio.timeout(ZONE_READ_TIMEOUT_S):
                await self._zone_rows.was_read.wait()
        except TimeoutError:
            return
        if not self._zone_rows.has_rows:
            await self._start_with_zone()
        deadline = asyncio.get_running_loop().time() + LINK_WAIT_S
        while not self._fleet.reaches_first_of_zone:
            if asyncio.get_running_loop().time() > deadline:
                return
            await asyncio.sleep(ROLE_PERIOD_S)

    async def _start_with_zone(self) -> None:
        """Read the configuration, then the rows that the zone's nodes write by then."""
        try:
            await self._config.load()
            await asyncio.sleep(FIRST_START_DELAY_S * self._rng.uniform(0.9, 1.1))
            await self._zone_rows.read()
        except PlatformError as exc:
            log.info("zone_not_read", error=str(exc))

    def _update_role(self) -> None:
        zone_peers = self._fleet.zone_peers()
        active = is_store_reader(self._fleet.address, zone_peers)
        leads = active and is_lead_reader(
            self._fleet.address, self.store_lost, self._fleet.linked_peers()
        )
        if (active, leads) == (self.active, self.leads):
            return
        self.active, self.leads = active, leads
        log.info("store_reader", active=active, leads=leads, zone_peers=len(zone_peers))
        self._config.set_timing(self._lead_timing if leads else REGULAR_TIMING)
        for follower in self._followers:
            follower.set_enabled(active)
