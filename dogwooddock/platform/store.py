"""HTTP client of the platform's store: rows, transactions and the change feed."""

__all__ = ["StoreClient"]

import asyncio
import base64
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import structlog

from ..http1.client import ConnectionPool, RequestFailure
from ..http1.messages import Response, render_request
from ..jsontext import is_encodable, parse_json
from ..mesh.members import MAX_ERA, VERSION_BITS
from ..mesh.rows import (
    Change,
    ExpectedVersion,
    HistoryLost,
    Row,
    RowPage,
    RowStore,
    StoreRefused,
    StoreUncertain,
    TransactionResult,
)
from .names import STORE_ERA

PAGE_ROWS = 500
CALL_TIMEOUT_S = 2.0
LONG_POLL_MARGIN_S = 1.5
REUSE_IDLE_S = 20.0
MAX_ERA_DIGITS = len(str(MAX_ERA))

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Call:
    method: bytes
    target: bytes
    body: bytes = b""
    timeout_s: float = CALL_TIMEOUT_S


def _parse_rows(body: dict[str, Any]) -> tuple[Row, ...]:
    try:
        return tuple(_parse_row(entry) for entry in body["rows"])
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise StoreUncertain(
            f"malformed rows in the store's response: {exc!r}"
        ) from exc


def _parse_version(body: dict[str, Any]) -> int:
    try:
        return _whole_number(body["ver"])
    except (KeyError, TypeError, ValueError) as exc:
        raise StoreUncertain(
            f"malformed version in the store's response: {exc!r}"
        ) from exc


def _whole_number(value: object) -> int:
    """Return a version of the store.

    Raises:
        ValueError: The value is no whole number, or out of range.
    """
    if type(value) is not int or not 0 <= value < 1 << VERSION_BITS:
        raise ValueError(f"version out of range: {str(value)[:40]}")
    return value


def _parse_era(header: bytes) -> int | None:
    """Parse the number of an era; None if it is malformed or out of range."""
    if not header.isdigit() or len(header) > MAX_ERA_DIGITS:
        return None
    era = int(header)
    return era if era <= MAX_ERA else None


def _parse_row(entry: dict[str, Any]) -> Row:
    removed = bool(entry.get("removed"))
    return Row(
        entry["table"],
        _encodable(entry.get("part", "")),
        _encodable(entry["key"]),
        b"" if removed else _parse_value(entry),
        _whole_number(entry["ver"]),
        removed,
    )


def _parse_value(entry: dict[str, Any]) -> bytes:
    """Return the value of a row; empty if it is malformed, so that others are read."""
    try:
        return base64.b64decode(entry.get("value", ""))
    except (TypeError, ValueError) as exc:
        log.warning("row_value_malformed", key=entry["key"][:80], error=str(exc)[:80])
        return b""


def _encodable(text: str) -> str:
    """Return a string with a replacement for characters that cannot be encoded."""
    if is_encodable(text):
        return text
    return text.encode("utf-16", "surrogatepass").decode("utf-16", "replace")


class StoreClient(RowStore):
    """Access the rows of the store over HTTP.

    Args:
        address: IP address and port of the store.
    """

    def __init__(self, address: tuple[str, int]):
        self._pool = ConnectionPool(address)
        self._host = f"Host: {address[0]}:{address[1]}\r\n".encode()
        self._answered = False
        self._malformed_era_logged = False

    @property
    def connections_opened(self) -> int:
        """Return the number of connections that were opened since the start."""
        return self._pool.opened

    async def read(self, table: str, part: str) -> RowPage:
        """Return all rows of a part of a table, read in pages.

        Its version is the lowest of the pages: rows of an early page may have changed
        before a later one was read.
        """
        rows: list[Row] = []
        versions: list[int] = []
        start = ""
        while True:
            query = {"table": table, "part": part, "limit": PAGE_ROWS}
            if start:
                query["from"] = start
            body = await self._get("/rows-get", query)
            page = _parse_rows(body)
            rows.extend(page)
            versions.append(_parse_version(body))
            if not body.get("has_more") or not page:
                return RowPage(tuple(rows), min(versions))
            start = rows[-1].key + "\0"

    async def parts(self, table: str) -> list[str]:
        """Return the parts of a table."""
        found: list[str] = []
        while True:
            query = {"table": table}
            if found:
                query["after"] = found[-1]
            body = await self._get("/rows-parts", query)
            parts = body.get("parts", [])
            found.extend(_encodable(str(part)) for part in parts)
            if not body.get("has_more") or not parts:
                return found

    async def changes(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the rows of a table that changed after a version.

        If there are none yet, the store waits up to ``wait_s`` seconds for a change.

        Raises:
            HistoryLost: The store no longer has the changes after this version.
        """
        query = {"table": table, "after": after, "wait_ms": round(wait_s * 1000)}
        body = await self._get("/rows-feed", query, wait_s + LONG_POLL_MARGIN_S)
        return RowPage(_parse_rows(body), _parse_version(body))

    async def transact(
        self, expected: list[ExpectedVersion], changes: list[Change]
    ) -> TransactionResult:
        """Apply all changes if every expected version holds."""
        body = json.dumps(
            {
                "precondition": [
                    {
                        "table": row.table,
                        "part": row.part,
                        "key": row.key,
                        "ver": row.version,
                    }
                    for row in expected
                ],
                "puts": [
                    {
                        "table": change.table,
                        "part": change.part,
                        "key": change.key,
                        "value": base64.b64encode(change.value).decode(),
                    }
                    for change in changes
                    if change.value is not None
                ],
                "remove": [
                    {"table": change.table, "part": change.part, "key": change.key}
                    for change in changes
                    if change.value is None
                ],
            }
        ).encode()
        response = await self._call(_Call(b"POST", b"/rows-tx", body))
        decoded = _decode_json(response)
        if response.status == 412:
            rows = _parse_rows(decoded) if "rows" in decoded else ()
            return TransactionResult(False, 0, rows)
        _require_success(response)
        return TransactionResult(True, _parse_version(decoded), ())

    async def _get(
        self, path: str, query: dict[str, Any], timeout_s: float = CALL_TIMEOUT_S
    ) -> dict[str, Any]:
        target = f"{path}?{urlencode(query)}".encode()
        response = await self._call(_Call(b"GET", target, timeout_s=timeout_s))
        if response.status == 410:
            raise HistoryLost(
                "the store has compacted this history; read the table again"
            )
        _require_success(response)
        return _decode_json(response)

    async def _call(self, call: _Call) -> Response:
        self.calls += 1
        block = self._host
        if call.body:
            block += b"Content-Type: application/json\r\n"
        data = render_request(call.method, call.target, block, call.body)
        conn = self._pool.acquire_idle(REUSE_IDLE_S)
        if conn is None:
            try:
                conn = await self._pool.open()
            except OSError as exc:
                raise StoreRefused(f"store unreachable: {exc!r}") from exc
        try:
            async with asyncio.timeout(call.timeout_s):
                result = await conn.exchange(data)
        except TimeoutError as exc:
            raise StoreUncertain("the store did not respond in time") from exc
        finally:
            if conn.in_use:
                conn.abort()
            else:
                self._pool.release(conn)
        if isinstance(result, RequestFailure):
            raise StoreUncertain(f"no response from the store: {result.cause}")
        self._observe_era(result)
        return result

    def _observe_era(self, response: Response) -> None:
        """Follow the era of the store; without a valid header it is unchanged.

        Raises:
            StoreUncertain: The response is from an earlier era.
        """
        header = response.fields.get(STORE_ERA)
        first, self._answered = not self._answered, True
        if header is None:
            return
        era = _parse_era(header)
        if era is None:
            self._log_malformed_era(header)
            return
        if era < self.era:
            raise StoreUncertain(f"the response is from era {era}, before {self.era}")
        if era == self.era:
            return
        previous, self.era = self.era, era
        if first:
            return
        log.warning("store_era", era=era, previous=previous)
        if self.on_new_era is not None:
            self.on_new_era(era)

    def _log_malformed_era(self, header: bytes) -> None:
        if not self._malformed_era_logged:
            self._malformed_era_logged = True
            log.warning("store_era_malformed", header=header[:40].decode("latin-1"))

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()


def _decode_json(response: Response) -> dict[str, Any]:
    try:
        body = parse_json(response.body, any_string=True) if response.body else {}
    except ValueError as exc:
        raise StoreUncertain("the store's response is not JSON") from exc
    return body if isinstance(body, dict) else {}


def _require_success(response: Response) -> None:
    status = response.status
    if 200 <= status < 300:
        return
    if status in (429, 503) or 400 <= status < 500:
        raise StoreRefused(f"the store rejected the call with status {status}")
    raise StoreUncertain(f"the store responded with status {status}")
