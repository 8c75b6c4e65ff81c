"""The start of a node, which waits while another process holds one of its addresses."""

__all__ = ["NodeStart", "StartedNode"]

import asyncio
import signal
from dataclasses import dataclass

import structlog

from ..errors import InvalidSettings, UnreadableSettings
from ..listening import RETRY_PERIOD_S, AddressReservation, ListenSockets
from ..mesh.environment import NodeEnvironment
from .settings import SettingsFile, listen_addresses

SETTINGS_TIMEOUT_S = 2.0

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class StartedNode:
    """Settings of a node that may start, and the sockets of its addresses."""

    env: NodeEnvironment
    sockets: ListenSockets


class NodeStart:
    """Read the settings and reserve the addresses, such as a draining predecessor's.

    Args:
        settings_file: Settings; a change is followed during the wait.
    """

    def __init__(self, settings_file: SettingsFile):
        self._loop = asyncio.get_running_loop()
        self._settings_file = settings_file
        self._stopping = asyncio.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signum, self._stopping.set)

    async def run(self) -> StartedNode | None:
        """Return once the addresses are free; None if a stop signal comes first.

        Raises:
            InvalidSettings: The settings are invalid, or name an address that can never
                be listened on.
        """
        env = await self._read_settings()
        if env is None:
            return None
        reservation = AddressReservation(listen_addresses(env))
        while not self._stopping.is_set():
            sockets = reservation.attempt(self._loop.time())
            if sockets is not None:
                return StartedNode(env, sockets)
            await asyncio.sleep(RETRY_PERIOD_S)
            if self._settings_file.changed():
                env, reservation = self._follow_settings(env, reservation)
        reservation.close()
        log.info("node_stopped", reason="stop signal before the addresses were free")
        return None

    async def _read_settings(self) -> NodeEnvironment | None:
        """Read the settings; allow some time for a file that is being written.

        Returns:
            The settings; None if a stop signal comes before they can be read.
        """
        deadline = self._loop.time() + SETTINGS_TIMEOUT_S
        waits = False
        while True:
            try:
                return self._settings_file.read()
            except UnreadableSettings as exc:
                if self._stopping.is_set():
                    log.info("node_stopped", reason="stop signal before the settings")
                    return None
                if self._loop.time() >= deadline:
                    raise
                if not waits:
                    log.warning("settings_unreadable", error=str(exc))
                waits = True
            await asyncio.sleep(RETRY_PERIOD_S)

    def _follow_settings(
        self, env: NodeEnvironment, reservation: AddressReservation
    ) -> tuple[NodeEnvironment, AddressReservation]:
        """Return new settings and their reservation; the current ones if invalid."""
        try:
            new_env = self._settings_file.read()
            new_reservation = AddressReservation(listen_addresses(new_env))
        except InvalidSettings as exc:
            log.error("settings_refused", error=str(exc))
            return env, reservation
        reservation.close()
        return new_env, new_reservation
