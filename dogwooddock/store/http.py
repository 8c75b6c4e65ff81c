"""HTTP clients of the platform's services.

Tables: ``POST /tables/NAME/read|scan|commit`` with JSON bodies. Objects: ``GET`` and
``PUT /objects/NAME``.
"""

__all__ = ["HttpObjectStore", "HttpTableService"]

import json
from collections.abc import Sequence
from dataclasses import asdict
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from ..errors import PlatformRefused, PlatformTimeout, PlatformUnavailable
from .base import ObjectStore, Row, TableService, Write, WriteResult

REQUEST_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 16
NOT_FOUND = 404


class _Endpoint:
    def __init__(self, url: str, timeout_s: float):
        self._url = url.rstrip("/")
        self._timeout = urllib3.Timeout(connect=timeout_s / 2, read=timeout_s)
        self._pool = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, retries=False)

    def request(self, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
        try:
            response = self._pool.request(
                method, self._url + path, body=body, timeout=self._timeout
            )
        except NewConnectionError as exc:
            raise PlatformUnavailable(f"cannot connect to the platform: {exc}") from exc
        except urllib3.exceptions.ConnectTimeoutError as exc:
            raise PlatformUnavailable(
                f"timed out connecting to the platform: {exc}"
            ) from exc
        except HTTPError as exc:
            raise PlatformTimeout(f"no response from the platform: {exc}") from exc
        if response.status == 503:
            raise PlatformUnavailable("platform returned 503; retry later")
        if response.status >= 500:
            raise PlatformTimeout(f"platform returned {response.status}")
        if response.status >= 400 and response.status != NOT_FOUND:
            raise PlatformRefused(
                f"platform refused {method} {path} with {response.status}; "
                "correct the call or its size"
            )
        return response.status, response.data


class HttpTableService(TableService):
    """Client of the table service at a URL.

    Args:
        url: Base URL, such as ``http://10.0.0.5:7000``.
        timeout_s: Read timeout, in seconds; connecting may take half of it.
    """

    def __init__(self, url: str, timeout_s: float = REQUEST_TIMEOUT_S):
        self._endpoint = _Endpoint(url, timeout_s)

    def _call(self, table: str, operation: str, body: dict[str, Any]) -> list[dict]:
        data = json.dumps(body).encode()
        path = f"/tables/{table}/{operation}"
        _, response = self._endpoint.request("POST", path, data)
        return json.loads(response)

    def read(self, table: str, keys: Sequence[str]) -> list[Row]:
        """Return the rows of the keys; absent rows have version 0."""
        rows = self._call(table, "read", {"keys": list(keys)})
        return [Row(**row) for row in rows]

    def scan(self, table: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows with keys above ``after``, in key order."""
        rows = self._call(table, "scan", {"after": after, "limit": limit})
        return [Row(**row) for row in rows]

    def commit(
        self, table: str, writes: Sequence[Write], atomic: bool = False
    ) -> list[WriteResult]:
        """Run the writes in one transaction."""
        body = {"writes": [asdict(write) for write in writes], "atomic": atomic}
        return [WriteResult(**row) for row in self._call(table, "commit", body)]


class HttpObjectStore(ObjectStore):
    """Client of the object store at a URL."""

    def __init__(self, url: str, timeout_s: float = REQUEST_TIMEOUT_S):
        self._endpoint = _Endpoint(url, timeout_s)

    def get(self, name: str) -> bytes | None:
        """Return a blob, or None if it is absent."""
        status, data = self._endpoint.request("GET", f"/objects/{name}", None)
        return data if status == 200 else None

    def put(self, name: str, data: bytes) -> None:
        """Store a blob, replacing one of the same name."""
        self._endpoint.request("PUT", f"/objects/{name}", data)
