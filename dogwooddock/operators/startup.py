"""The start of a node, which waits while another process holds one of its addresses."""

__all__ = ["NodeStart"]

import time

import structlog

from ..listening import RETRY_PERIOD_S, AddressReservation, ListenSockets
from ..settings import NodeSettings, listen_addresses
from .signals import NodeSignals

log = structlog.get_logger()


class NodeStart:
    """Reserve the addresses of a node, such as those of a predecessor that drains.

    Args:
        settings: Settings that name the addresses.
        signals: Signals of the process.

    Raises:
        InvalidSettings: Two flags name the same address.
    """

    def __init__(self, settings: NodeSettings, signals: NodeSignals):
        self._signals = signals
        self._reservation = AddressReservation(listen_addresses(settings))

    def reserve_addresses(self) -> ListenSockets | None:
        """Wait until the addresses are free; return None if a stop signal comes first.

        Raises:
            InvalidSettings: An address can never be listened on.
        """
        while not self._signals.wait_for_stop(0.0):
            sockets = self._reservation.attempt(time.monotonic())
            if sockets is not None:
                return sockets
            if self._signals.wait_for_stop(RETRY_PERIOD_S):
                break
        self._reservation.close()
        log.info("node_stopped", reason="stop signal while it waited for an address")
        return None
