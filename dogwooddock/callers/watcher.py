"""Detection of callers that close their connection while they wait."""

__all__ = ["DepartureWatcher"]

import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

SCAN_PERIOD_S = 0.05


@dataclass(frozen=True, slots=True)
class _Watched:
    sock: socket.socket
    cancel: Callable[[], None]
    since: float


class DepartureWatcher:
    """Cancel requests whose caller has closed its connection."""

    def __init__(self) -> None:
        self._watched: dict[object, _Watched] = {}
        self._stopped = threading.Event()

    def start(self) -> None:
        """Scan in a background thread."""
        threading.Thread(target=self._run, name="departures", daemon=True).start()

    def stop(self) -> None:
        """Stop scanning."""
        self._stopped.set()

    def watch(
        self, token: object, sock: socket.socket, cancel: Callable[[], None]
    ) -> None:
        """Call ``cancel`` once if the peer of a socket closes it."""
        self._watched[token] = _Watched(sock, cancel, time.monotonic())

    def forget(self, token: object) -> None:
        """Stop watching."""
        self._watched.pop(token, None)

    def _run(self) -> None:
        while not self._stopped.wait(SCAN_PERIOD_S):
            self._scan(time.monotonic())

    def _scan(self, now: float) -> None:
        poll = select.poll()
        by_fd: dict[int, object] = {}
        for token, watched in list(self._watched.items()):
            if now - watched.since < SCAN_PERIOD_S:
                continue
            fd = watched.sock.fileno()
            if fd >= 0:
                by_fd[fd] = token
                poll.register(fd, select.POLLRDHUP)
        if not by_fd:
            return
        for fd, _ in poll.poll(0):
            gone = self._watched.pop(by_fd[fd], None)
            if gone is not None:
                gone.cancel()
