"""Responses whose head must end before its connection does."""

__all__ = ["WholeHeadResponse"]

import http.client
from typing import Any, cast

LINE_ENDS = (b"\r\n", b"\n")
MAX_INTERIM_RESPONSES = 10
STATUS_DIGITS = 3
MIN_STATUS = 100
MAX_STATUS = 599


class _LastLine:
    """Reads from a file, and keeps the last line that was read.

    Args:
        file: The file.
    """

    def __init__(self, file: Any):
        self._file = file
        self.line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Read a line of at most ``limit`` bytes."""
        self.line = self._file.readline(limit)
        return self.line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


class WholeHeadResponse(http.client.HTTPResponse):
    """Response that is refused if the connection ends within its head.

    The parser of the standard library takes the end of the connection for the end of
    the head.
    """

    def begin(self) -> None:
        """Read the head of the final response; interim ones are passed over.

        Raises:
            ConnectionError: The connection ended before the head did.
        """
        for _ in range(MAX_INTERIM_RESPONSES):
            self._read_head()
            if self.status >= http.client.OK:
                return
            self.headers = self.msg = cast(Any, None)
        raise ConnectionError("the interim responses do not end")

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line.

        Raises:
            BadStatusLine: Its status is none of HTTP.
        """
        version, status, reason = super()._read_status()  # type: ignore[misc]
        digits = self.fp.line.split(None, 2)[1]  # type: ignore[attr-defined]
        if len(digits) != STATUS_DIGITS or not MIN_STATUS <= status <= MAX_STATUS:
            raise http.client.BadStatusLine(str(status))
        return version, status, reason

    def _read_head(self) -> None:
        file = self.fp
        lines = _LastLine(file)
        self.fp = cast(Any, lines)
        try:
            super().begin()
        except http.client.HTTPException as exc:
            raise ConnectionError(f"the head is malformed: {exc!r}") from exc
        finally:
            if self.fp is cast(Any, lines):
                self.fp = file
        if lines.line not in LINE_ENDS:
            raise ConnectionError("the connection ended within the head")
