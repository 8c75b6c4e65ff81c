"""HTTP admin port: state dump, metrics, health, drain and quarantine."""

__all__ = ["AdminServer"]

import json
import socket
import threading
from collections.abc import Callable, Iterable
from dataclasses import asdict
from typing import Any

from cheroot.wsgi import Server

from ..boundedserver import BoundedServer
from .metrics import render_metrics
from .nodestate import InspectedNode
from .state import dump_state

ADMIN_THREADS = 4
MAX_BODY_BYTES = 16 * 1024

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class _Server(BoundedServer, Server):
    """Server of the library for an application, on a reserved socket."""


class AdminServer:
    """Serve the admin port over HTTP.

    Args:
        sock: Listening socket; the server closes it.
        node: Node to inspect and control.
    """

    def __init__(self, sock: socket.socket, node: InspectedNode):
        self._node = node
        self._server = _Server(sock, self._application, numthreads=ADMIN_THREADS)
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.prepare()
        self.address: tuple[str, int] = self._server.bind_addr[:2]

    def start(self) -> None:
        """Serve in a background thread."""
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop in a background thread, without waiting for it."""
        threading.Thread(target=self._server.stop, daemon=True).start()

    def _application(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        status, content_type, body = self._respond(method, path)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    def _respond(self, method: str, path: str) -> tuple[str, str, bytes]:
        """Return status, content type and body."""
        if (method, path) == ("GET", "/state"):
            return _json_response("200 OK", dump_state(self._node))
        if (method, path) == ("GET", "/metrics"):
            body, content_type = render_metrics(self._node.state())
            return "200 OK", content_type, body
        if (method, path) == ("GET", "/health"):
            return self._health()
        if (method, path) == ("POST", "/drain"):
            self._node.drain()
            return _json_response("202 Accepted", {"draining": True})
        if path == "/quarantine" and method == "GET":
            return _json_response("200 OK", self._node.quarantine_statuses())
        if path.startswith("/quarantine/") and method == "DELETE":
            released = self._node.release_quarantine(path.rsplit("/", 1)[1])
            return _json_response("200 OK", {"released": released})
        return _json_response(
            "404 Not Found", {"error": "use /state, /metrics or /health"}
        )

    def _health(self) -> tuple[str, str, bytes]:
        health = self._node.health()
        status = "200 OK" if health.ready else "503 Service Unavailable"
        return _json_response(status, asdict(health))


def _json_response(status: str, document: Any) -> tuple[str, str, bytes]:
    return status, "application/json", json.dumps(document).encode()
