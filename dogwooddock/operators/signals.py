"""Signals of a node's process on the product's own interface."""

__all__ = ["NodeSignals"]

import signal
import socket
import time

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

    def wait_for_stop(self, timeout_s: float | None = None) -> bool:
        """Report whether a stop signal comes in time; without end if None.

        A reload signal leaves a log line.
        """
        deadline = None if timeout_s is None else time.monotonic() + timeout_s
        while True:
            signum = self._receive(deadline)
            if signum is None or signum in STOP_SIGNALS:
                return signum is not None
            if signum == signal.SIGHUP:
                log.warning(
                    "reload_ignored",
                    remedy="restart the node to change flags and environment variables",
                )

    def _receive(self, deadline: float | None) -> int | None:
        """Return the number of the next signal; None if none comes in time."""
        remaining_s = None
        if deadline is not None:
            remaining_s = max(0.0, deadline - time.monotonic())
        self._received.settimeout(remaining_s)
        try:
            return self._received.recv(1)[0]
        except (TimeoutError, BlockingIOError):
            return None


def _do_nothing(signum: int, frame: object) -> None:
    """Take a signal whose number is read from the socket."""
