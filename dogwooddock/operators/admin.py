"""HTTP admin port: state dump, metrics, health, drain and quarantine."""

__all__ = ["AdminServer"]

import json
import threading
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from cheroot.wsgi import Server

from .metrics import render_metrics
from .state import dump_state

if TYPE_CHECKING:
    from ..node import Node

ADMIN_THREADS = 4

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class AdminServer:
    """Serve the admin port over HTTP.

    Args:
        address: IP address and port to listen on; port 0 lets the system pick one.
        node: Node to inspect and control.
    """

    def __init__(self, address: tuple[str, int], node: "Node"):
        self._node = node
        self._server = Server(address, self._application, numthreads=ADMIN_THREADS)
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
            body, content_type = render_metrics(self._node)
            return "200 OK", content_type, body
        if (method, path) == ("GET", "/health"):
            return self._health()
        if (method, path) == ("POST", "/drain"):
            self._node.gate.drain()
            return _json_response("202 Accepted", {"draining": True})
        if path == "/quarantine" and method == "GET":
            statuses = self._node.quarantine.statuses(time.monotonic())
            return _json_response("200 OK", statuses)
        if path.startswith("/quarantine/") and method == "DELETE":
            released = self._node.release_quarantine(path.rsplit("/", 1)[1])
            return _json_response("200 OK", {"released": released})
        return _json_response(
            "404 Not Found", {"error": "use /state, /metrics or /health"}
        )

    def _health(self) -> tuple[str, str, bytes]:
        draining = self._node.gate.deps.admission.draining
        ready = self._node.config.version > 0 and not draining
        status = "200 OK" if ready else "503 Service Unavailable"
        return _json_response(status, {"ready": ready, "draining": draining})


def _json_response(status: str, document: Any) -> tuple[str, str, bytes]:
    return status, "application/json", json.dumps(document).encode()
