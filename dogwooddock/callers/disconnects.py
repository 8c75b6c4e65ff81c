"""Detection of callers that disconnect while their request is running."""

__all__ = ["DisconnectWatcher"]

import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from ..policy.endofinput import EndOfInput

SCAN_PERIOD_S = 0.05
# A caller that sends no more is asked again, since it may go later.
ASK_PERIOD_S = 0.3
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
GONE_EVENTS = select.POLLERR | select.POLLHUP | select.POLLNVAL


@dataclass(slots=True)
class _Watch:
    sock: socket.socket
    cancel: Callable[[], None]
    at_end: EndOfInput
    since: float
    input_ended: bool = False
    ask_at: float = 0.0


class DisconnectWatcher:
    """Cancel requests whose caller has gone.

    Sockets are polled every ``SCAN_PERIOD_S``, once a request is at least that old. A
    caller that only sends no more is told from one that has gone by an interim
    response, which the system of the latter answers with a reset.
    """

    def __init__(self) -> None:
        self._watches: dict[object, _Watch] = {}
        self._stopped = threading.Event()
        # Held for interim responses, so that none is written after ``unwatch``.
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start polling in a background thread."""
        threading.Thread(target=self._run, name="disconnects", daemon=True).start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()

    def watch(
        self,
        token: object,
        sock: socket.socket,
        cancel: Callable[[], None],
        at_end: EndOfInput,
    ) -> None:
        """Call ``cancel`` once if the peer has gone.

        Interim responses may be written to the socket until ``unwatch`` returns.

        Args:
            token: Identifies the watch for ``unwatch``.
            sock: Socket of the connection.
            cancel: Function that cancels the request.
            at_end: What to do when the caller sends no more.
        """
        self._watches[token] = _Watch(sock, cancel, at_end, time.monotonic())

    def unwatch(self, token: object) -> None:
        """End the watch of a token; does nothing if it has ended."""
        with self._lock:
            self._watches.pop(token, None)

    def cancel_all(self) -> None:
        """Cancel every request that is running, as if its caller had disconnected."""
        for token in list(self._watches):
            self._cancel(token)

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
                poll.register(fd, 0 if watch.input_ended else select.POLLRDHUP)
        if not by_fd:
            return
        for fd, events in poll.poll(0):
            self._on_events(by_fd[fd], events)
        for token in by_fd.values():
            self._ask_when_due(token, now)

    def _on_events(self, token: object, events: int) -> None:
        watch = self._watches.get(token)
        if watch is None:
            return
        watch.input_ended = True
        if events & GONE_EVENTS or watch.at_end is EndOfInput.CANCEL:
            self._cancel(token)

    def _ask_when_due(self, token: object, now: float) -> None:
        watch = self._watches.get(token)
        if watch is None or watch.at_end is not EndOfInput.ASK:
            return
        if not watch.input_ended or now < watch.ask_at:
            return
        watch.ask_at = now + ASK_PERIOD_S
        try:
            self._write_interim_response(token, watch.sock)
        except OSError:
            self._cancel(token)

    def _write_interim_response(self, token: object, sock: socket.socket) -> None:
        """Write the whole of it at once, or nothing if the peer does not read."""
        writable = select.poll()
        with self._lock:
            if token not in self._watches:
                return
            writable.register(sock, select.POLLOUT)
            if writable.poll(0):
                sock.sendall(INTERIM_RESPONSE)

    def _cancel(self, token: object) -> None:
        """Cancel a request on a thread of its own: the call to a peer may take long."""
        watch = self._watches.pop(token, None)
        if watch is not None:
            threading.Thread(target=watch.cancel, daemon=True).start()
