"""The start of a node, which waits while another process holds one of its addresses."""

__all__ = ["NodeStart"]

import asyncio
import signal

import structlog

from ..errors import InvalidSettings
from ..listening import RETRY_PERIOD_S, AddressReservation, ListenSockets
from ..mesh.environment import NodeEnvironment
from .settings import SettingsFile, listen_addresses

log = structlog.get_logger()


class NodeStart:
    """Reserve the addresses of a node, such as those of a predecessor that drains.

    Args:
        settings_file: Settings; a change is followed during the wait.

    ``env`` are the settings whose addresses are reserved.

    Raises:
        InvalidSettings: The settings are invalid.
    """

    def __init__(self, settings_file: SettingsFile):
        self._settings_file = settings_file
        self.env: NodeEnvironment = settings_file.read()
        self._reservation = AddressReservation(listen_addresses(self.env))

    async def reserve_addresses(self) -> ListenSockets | None:
        """Wait until the addresses are free; return None if a stop signal comes first.

        Raises:
            InvalidSettings: An address can never be listened on.
        """
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stopping.set)
        while not stopping.is_set():
            sockets = self._reservation.attempt(loop.time())
            if sockets is not None:
                return sockets
            await asyncio.sleep(RETRY_PERIOD_S)
            if self._settings_file.changed():
                self._follow_settings()
        self._reservation.close()
        log.info("node_stopped", reason="stop signal while it waited for an address")
        return None

    def _follow_settings(self) -> None:
        """Reserve the addresses of new settings; keep the current ones if invalid."""
        try:
            env = self._settings_file.read()
            reservation = AddressReservation(listen_addresses(env))
        except InvalidSettings as exc:
            log.error("settings_refused", error=str(exc))
            return
        self._reservation.close()
        self.env, self._reservation = env, reservation
