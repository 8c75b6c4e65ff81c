"""Detection of callers that disconnect while their request is running."""

__all__ = ["DisconnectWatcher"]

import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

SCAN_PERIOD_S = 0.05


@dataclass(frozen=True, slots=True)
class _Watch:
    sock: socket.socket
    cancel: Callable[[], None]
    since: float


class DisconnectWatcher:
    """Cancel requests whose caller has closed its connection.

    Sockets are polled every ``SCAN_PERIOD_S``, once a request is at least that old.
    """

    def __init__(self) -> None:
        self._watches: dict[object, _Watch] = {}
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start polling in a background thread."""
        threading.Thread(target=self._run, name="disconnects", daemon=True).start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()

    def watch(
        self, token: object, sock: socket.socket, cancel: Callable[[], None]
    ) -> None:
        """Call ``cancel`` once if the peer closes the connection.

        Args:
            token: Identifies the watch for ``unwatch``.
            sock: Socket of the connection.
            cancel: Function that cancels the request.
        """
        self._watches[token] = _Watch(sock, cancel, time.monotonic())

    def unwatch(self, token: object) -> None:
        """End the watch of a token; does nothing if it has ended."""
        self._watches.pop(token, None)

    def cancel_all(self) -> None:
        """Cancel every request that is running, as if its caller had disconnected."""
        for token, watch in list(self._watches.items()):
            if self._watches.pop(token, None) is not None:
                watch.cancel()

    def _run(self) -> None:
        while not self._stopped.wait(SCAN_PERIOD_S):
            self._scan(time.monotonic())

    def _scan(self, now: float) -> None:
        poll = select.poll()
        by_fd: dict[int, object] = {}
        for token, watch in list(self._watches.items()):
            if now - watch.since < SCAN_PERIOD_S:
                continue
            fd = watch.sock.fileno()
            if fd >= 0:
                by_fd[fd] = token
                poll.register(fd, select.POLLRDHUP)
        if not by_fd:
            return
        for fd, _ in poll.poll(0):
            disconnected = self._watches.pop(by_fd[fd], None)
            if disconnected is not None:
                disconnected.cancel()
