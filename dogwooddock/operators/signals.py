"""Signals of a node's process on the product's own interface."""

__all__ = ["NodeSignals"]

import signal
import socket

import structlog

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

log = structlog.get_logger()


class NodeSignals:
    """Receive the process's signals on its main thread.

    The interpreter writes the number of each signal to a socket, whichever thread the
    system interrupts; a lock that the main thread waits for would not wake it.
    """

    def __init__(self) -> None:
        self._received, self._sender = socket.socketpair()
        self._sender.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        for signum in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(signum, _do_nothing)

    def wait_for_stop(self) -> None:
        """Return at the first stop signal; a reload signal leaves a log line."""
        while True:
            signum = self._received.recv(1)[0]
            if signum in STOP_SIGNALS:
                return
            if signum == signal.SIGHUP:
                log.warning(
                    "reload_ignored",
                    remedy="restart the node to change flags and environment variables",
                )


def _do_nothing(signum: int, frame: object) -> None:
    """Take a signal whose number is read from the socket."""
