"""Signals of a node's process on the product's own interface."""

__all__ = ["NodeSignals"]

import signal
import socket
import time

import structlog

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)

log = structlog.get_logger()


class NodeSignals:
    """Receive the process's signals on its main thread.

    The interpreter writes the number of each signal to a socket, whichever thread the
    system interrupts; a lock that the main thread waits for would not wake it.
    """

    def __init__(self) -> None:
        self._stop_received = False
        self._received, self._sender = socket.socketpair()
        self._sender.setblocking(False)
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        for signum in SIGNALS:
            signal.signal(signum, self._on_signal)

    def ignore(self) -> None:
        """Ignore signals from now on, since the process ends.

        The interpreter would restore the system's defaults before the process exits.
        """
        for signum in SIGNALS:
            signal.signal(signum, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)

    def wait_for_stop(self, timeout_s: float | None = None) -> bool:
        """Report whether a stop signal comes in time; without end if None.

        A reload signal leaves a log line.
        """
        deadline = None if timeout_s is None else time.monotonic() + timeout_s
        while True:
            signum = self._receive(deadline)
            if signum in STOP_SIGNALS:
                return True
            if signum is None:
                return self._stop_received
            if signum == signal.SIGHUP:
                log.warning(
                    "reload_ignored",
                    remedy="restart the node to change flags and environment variables",
                )

    def _receive(self, deadline: float | None) -> int | None:
        """Return the number of the next signal; None if none comes in time."""
        remaining_s = None
        if self._stop_received:
            remaining_s = 0.0
        elif deadline is not None:
            remaining_s = max(0.0, deadline - time.monotonic())
        self._received.settimeout(remaining_s)
        try:
            return self._received.recv(1)[0]
        except (TimeoutError, BlockingIOError):
            return None

    def _on_signal(self, signum: int, frame: object) -> None:
        """Keep a stop signal whose number finds no room in the socket."""
        self._stop_received |= signum in STOP_SIGNALS
