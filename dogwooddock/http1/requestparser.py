"""Parser of HTTP/1.1 requests, without I/O."""

__all__ = ["RequestParser"]

from collections.abc import Callable

import httptools

from .headerfields import HeaderFields
from .messageparser import MessageParser, callback_error
from .messages import HttpError, Request
from .targets import parse_absolute

LINE_END = b"\r\n"
EMPTY_LINE = b"\r\n\r\n"


class RequestParser(MessageParser):
    """Parse the bytes of a connection into requests.

    The library's parser holds a line until it is complete, so it gets whole lines of a
    head only; what precedes them is held here, within the limits. It is never given
    bytes behind the end of a message, so that each head is counted as it arrived.

    Args:
        max_header_bytes: Largest header block as sent, in bytes; also that of the
            request line, of empty lines before it, and of chunk extensions or trailers
            in a row.
        max_body_bytes: Largest body, in bytes.

    ``refuses_head``, if set, is called with each request that has a body, before the
    body is parsed. If it returns True, the request counts as complete, and its body is
    discarded; ``drops_body`` is True until the end of that body.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        super().__init__(max_header_bytes, max_body_bytes)
        self._parser = httptools.HttpRequestParser(self)
        self._input = b""
        self._offset = 0
        self._parsed_tail = b""
        self._empty_bytes = 0
        self._line_bytes = 0
        self._head_bytes = 0
        self._target = b""
        self._completed: list[Request] = []
        self._error: HttpError | None = None
        self.wants_continue = False
        self.refuses_head: Callable[[Request], bool] | None = None
        self.drops_body = False

    @property
    def http_version(self) -> str:
        """Return the version of the last request, as in ``1.1``."""
        return str(self._parser.get_http_version())

    @property
    def held_bytes(self) -> int:
        """Return the memory that an incomplete request takes, without its body."""
        held = len(self._input) - self._offset
        if self.in_message:
            held += self._head_bytes + self._fields.cost_bytes
        return held

    @property
    def has_input(self) -> bool:
        """Report whether bytes were received that are not parsed yet."""
        return self._offset < len(self._input)

    def discard_input(self) -> None:
        """Drop the bytes that are not parsed yet."""
        self._input, self._offset = b"", 0

    def partial_request(self) -> Request:
        """Return the current request, whose head is complete, without a body."""
        self._fields.unpack()
        return Request(headers=self._fields.pairs, fields=self._fields.by_name)

    def feed(self, data: bytes) -> list[Request]:
        """Parse bytes and return the requests that they complete.

        Raises:
            HttpError: A request is malformed or exceeds a limit; ``take_completed``
                returns those before it.
        """
        self.receive(data)
        requests = []
        try:
            while (request := self.next_request()) is not None:
                requests.append(request)
        except HttpError:
            self._completed = requests + self._completed
            raise
        return requests

    def take_completed(self) -> list[Request]:
        """Return the requests that were completed and not returned yet."""
        completed, self._completed = self._completed, []
        return completed

    def receive(self, data: bytes) -> None:
        """Add bytes, for ``next_request`` to parse."""
        self._input = self._input[self._offset :] + data
        self._offset = 0

    def next_request(self) -> Request | None:
        """Parse until a request is complete; None if more bytes are needed.

        Raises:
            HttpError: The next request is malformed or exceeds a limit.
        """
        while not self._completed:
            if self._error is not None:
                raise self._error
            piece = self._take_body() if self.in_body else self._take_head()
            if not piece:
                self._fields.pack()
                return None
            try:
                self._parse(piece)
            except HttpError as exc:
                self._error = exc
        return self._completed.pop(0)

    # Division of the input.

    def _take_head(self) -> bytes:
        """Return whole lines of a head up to its end, or nothing."""
        if not self.in_message and not self._begin_head():
            return b""
        data, start = self._input, self._offset
        end = self._find_head_end()
        is_whole = end > 0
        if not is_whole:
            end = data.rfind(b"\n", start) + 1
        if not self._line_bytes:
            self._read_line_size(end)
        if is_whole:
            arrived = end - len(LINE_END)
        else:
            # A line that has only begun with a line break may be the empty one.
            arrived = max(start, end) + len(data[max(start, end) :].rstrip(b"\r"))
        self._check_head_size(self._head_bytes + arrived - start)
        if end <= start:
            return b""
        self._head_bytes += end - start
        return self._advance(end)

    def _find_head_end(self) -> int:
        """Return the offset behind the empty line that ends the head; 0 if none."""
        data, start = self._input, self._offset
        if self._line_bytes and data.startswith(LINE_END, start):
            return start + len(LINE_END)
        found = data.find(EMPTY_LINE, start)
        return found + len(EMPTY_LINE) if found >= 0 else 0

    def _begin_head(self) -> bool:
        """Drop empty lines; return whether the first byte of a head is there."""
        data, start = self._input, self._offset
        while start < len(data) and data[start] in LINE_END:
            start += 1
        self._empty_bytes += start - self._offset
        self._offset = start
        if self._empty_bytes > self.max_header_bytes:
            raise HttpError(400, "the empty lines do not end; send a request")
        if start == len(data):
            return False
        if not data[start : start + 1].isalpha():
            raise HttpError(400, "the request cannot be read; correct it")
        self._reset()
        self._empty_bytes = self._line_bytes = self._head_bytes = 0
        self._framing_bytes = 0
        self._parsed_tail = b""
        self.in_message = True
        return True

    def _read_line_size(self, lines_end: int) -> None:
        """Check the size of the request line, and keep it once it is complete."""
        start = self._offset
        if lines_end > start:
            self._line_bytes = self._input.index(b"\n", start) + 1 - start
        if (self._line_bytes or len(self._input) - start) > self.max_header_bytes:
            raise HttpError(431, "the request target is too long; shorten it")

    def _check_head_size(self, size: int) -> None:
        """Check the size of request line and headers as sent so far."""
        if self._line_bytes and size - self._line_bytes > self.max_header_bytes:
            raise HttpError(431, "the headers are too large; send fewer or shorter")

    def _take_body(self) -> bytes:
        """Return bytes of a body up to its end, or nothing."""
        data, start = self._input, self._offset
        length = self.body_length
        if length is not None:
            end = min(len(data), start + length - self.body_bytes)
            return self._advance(end)
        # A chunked body ends with an empty line, which may be divided.
        seam = self._parsed_tail + data[start : start + 3]
        found = seam.find(EMPTY_LINE)
        if found >= 0:
            end = start + found + len(EMPTY_LINE) - len(self._parsed_tail)
        else:
            found = data.find(EMPTY_LINE, start)
            end = found + len(EMPTY_LINE) if found >= 0 else len(data)
        piece = self._advance(end)
        self._parsed_tail = (self._parsed_tail + piece[-3:])[-3:]
        return piece

    def _advance(self, end: int) -> bytes:
        piece = self._input[self._offset : end]
        self._offset = end
        if end >= len(self._input):
            self._input, self._offset = b"", 0
        return piece

    def _parse(self, piece: bytes) -> None:
        body_bytes, was_in_body = self.body_bytes, self.in_body
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as exc:
            raise HttpError(400, "upgrades are not served; send HTTP/1.1") from exc
        except httptools.HttpParserError as exc:
            error = callback_error(exc)
            if error is not None:
                raise error from exc
            raise HttpError(400, "the request cannot be read; correct it") from exc
        progressed = not was_in_body or self.body_bytes != body_bytes
        if self._count_framing(len(piece), progressed) and self.in_message:
            raise HttpError(
                400, "chunk extensions or trailers do not end; shorten them"
            )

    # Callbacks of the library.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._target += url

    def on_headers_complete(self) -> None:
        """Record that the body follows and whether the client awaits 100 Continue."""
        super().on_headers_complete()
        self._read_absolute_target()
        expect = self._fields.by_name.get(b"expect", b"")
        self.wants_continue = expect.lower() == b"100-continue"
        if self.refuses_head is not None and self._expects_body():
            self._check_head(self.refuses_head)
        if not self.drops_body and (self.body_length or 0) > self.max_body_bytes:
            raise HttpError(413, "the body is too large; send a smaller one")

    def _read_absolute_target(self) -> None:
        """Take host, path and query from a target in absolute form."""
        if self._target.startswith(b"/"):
            return
        absolute = parse_absolute(self._parser.get_method(), self._target)
        if absolute is None:
            return
        if not absolute.is_valid:
            raise HttpError(400, "the request target names no host; send path and Host")
        self._target = absolute.origin_form
        fields = self._fields
        fields.by_name[b"host"] = absolute.host
        others = [pair for pair in fields.pairs if pair[0].lower() != b"host"]
        fields.pairs = [(b"Host", absolute.host), *others]

    def _expects_body(self) -> bool:
        fields = self._fields.by_name
        return fields.get(b"content-length", b"0") != b"0" or (
            b"transfer-encoding" in fields
        )

    def _check_head(self, refuses_head: Callable[[Request], bool]) -> None:
        """Complete a request that is refused for its head.

        A client that waits for 100 Continue may leave the body out once it is refused,
        so the connection can serve no further request. Nor can it after an upgrade.
        """
        head = self._build_request(b"")
        if self.wants_continue or self._parser.should_upgrade():
            head.keep_alive = False
        if refuses_head(head):
            self._completed.append(head)
            self.wants_continue = False
            self.drops_body = True

    def on_body(self, chunk: bytes) -> None:
        """Store a chunk of the body, or discard it."""
        super().on_body(chunk)
        if self.drops_body:
            self._body.clear()

    def on_message_complete(self) -> None:
        """Build the completed request, unless it was refused for its head."""
        self.in_message = False
        self.wants_continue = False
        if self.drops_body:
            self.drops_body = False
        elif not self._parser.should_upgrade():  # It is not served.
            self._completed.append(self._build_request(self._body.take()))
        self._fields = HeaderFields()

    def _build_request(self, body: bytes) -> Request:
        parser, fields = self._parser, self._fields
        fields.unpack()
        return Request(
            parser.get_method(),
            self._target,
            fields.pairs,
            fields.by_name,
            body,
            parser.should_keep_alive(),
            self._head_bytes,
        )
