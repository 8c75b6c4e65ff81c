"""Signals of a node's process on the product's own interface."""

__all__ = ["NodeSignals"]

import signal
from queue import SimpleQueue

import structlog

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

log = structlog.get_logger()


class NodeSignals:
    """Receive the process's signals on its main thread.

    Handlers only queue the signal, so one that interrupts another cannot block it.
    """

    def __init__(self) -> None:
        self._received: SimpleQueue[int] = SimpleQueue()
        for signum in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(signum, lambda number, _: self._received.put(number))

    def wait_for_stop(self) -> None:
        """Return at the first stop signal; a reload signal leaves a log line."""
        while self._received.get() not in STOP_SIGNALS:
            log.warning(
                "reload_ignored",
                remedy="restart the node to change flags and environment variables",
            )
