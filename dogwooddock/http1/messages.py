"""HTTP/1.1 messages: parsing and rendering without I/O."""

__all__ = [
    "HttpError",
    "Request",
    "RequestParser",
    "Response",
    "ResponseParser",
    "render_end_to_end_headers",
    "render_request",
    "render_response",
]

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import httptools

from ..errors import DogwooddockError
from .targets import parse_absolute

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
UNREPEATABLE_HEADERS = frozenset({b"host", b"content-length", b"transfer-encoding"})
MAX_INTERIM_RESPONSES = 16
BODILESS_STATUSES = frozenset({204, 304})

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in HTTPStatus
}

Headers = list[tuple[bytes, bytes]]


class HttpError(DogwooddockError):
    """A message that violates HTTP/1.1 or exceeds a limit.

    Args:
        status: Status code of the error response.
        message: What is wrong and how to correct it.
    """

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


@dataclass(slots=True)
class Request:
    """A complete request.

    Args:
        method: Method as sent.
        target: Path and query as sent.
        headers: Header pairs in the order sent; Host is that of an absolute target.
        fields: Header values by lower-case name; the last one if it is repeated.
        body: Decoded body.
        keep_alive: Whether the connection may serve another request.
    """

    method: bytes = b""
    target: bytes = b""
    headers: Headers = field(default_factory=list)
    fields: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b"?")[0]

    def query(self) -> dict[str, str]:
        """Return the last value of each query parameter."""
        pairs = parse_qs(urlsplit(self.target.decode("latin-1")).query)
        return {name: values[-1] for name, values in pairs.items()}


@dataclass(slots=True)
class Response:
    """A complete response; its fields are as in Request."""

    status: int = 0
    headers: Headers = field(default_factory=list)
    fields: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = False


class _MessageParser:
    """httptools callbacks shared by both parsers; they collect headers and body."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.in_message = False
        self._reset()

    def _reset(self) -> None:
        self._headers: Headers = []
        self._fields: dict[bytes, bytes] = {}
        self._chunks: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._in_body = False

    def on_message_begin(self) -> None:
        """Start a message."""
        self._reset()
        self.in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are ignored."""
        if self._in_body:
            return
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > self.max_header_bytes:
            raise HttpError(431, "the headers are too large; send fewer or shorter")
        lower = name.lower()
        if lower in self._fields and lower in UNREPEATABLE_HEADERS:
            raise HttpError(400, f"header {name!r} is repeated; send it once")
        self._headers.append((name, value))
        self._fields[lower] = value

    def on_headers_complete(self) -> None:
        """Record that the body follows."""
        self._in_body = True

    def on_body(self, chunk: bytes) -> None:
        """Store a chunk of the body."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self.max_body_bytes:
            raise HttpError(413, "the body is too large; send a smaller one")
        self._chunks.append(chunk)

    def drop_body(self) -> None:
        """Hold no part of an incomplete body; the message can't be completed."""
        self._chunks.clear()

    def _take_body(self) -> bytes:
        """Return the whole body, which the parser holds no longer."""
        chunks, self._chunks = self._chunks, []
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)


def _callback_error(exc: Exception) -> HttpError | None:
    """Return the HttpError that a callback raised inside the parser, or None."""
    for chained in (exc.__context__, exc.__cause__):
        if isinstance(chained, HttpError):
            return chained
    return None


class RequestParser(_MessageParser):
    """Parse the bytes of a connection into requests.

    Args:
        max_header_bytes: Largest header block, in bytes.
        max_body_bytes: Largest body, in bytes.

    ``refuses_head``, if set, is called with each request that has a body, before the
    body is parsed. If it returns True, the request counts as complete, and its body is
    discarded; ``drops_body`` is True until the end of that body.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        super().__init__(max_header_bytes, max_body_bytes)
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._completed: list[Request] = []
        self.wants_continue = False
        self.refuses_head: Callable[[Request], bool] | None = None
        self.drops_body = False

    @property
    def http_version(self) -> str:
        """Return the version of the last request, as in ``1.1``."""
        return str(self._parser.get_http_version())

    def feed(self, data: bytes) -> list[Request]:
        """Parse bytes and return the requests that they complete.

        Raises:
            HttpError: A request is malformed or exceeds a limit; ``take_completed``
                returns those before it.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise HttpError(400, "upgrades are not served; send HTTP/1.1") from exc
        except httptools.HttpParserError as exc:
            error = _callback_error(exc)
            if error is not None:
                raise error from exc
            raise HttpError(400, "the request cannot be read; correct it") from exc
        return self.take_completed()

    def take_completed(self) -> list[Request]:
        """Return the requests that were completed and not returned yet."""
        completed, self._completed = self._completed, []
        return completed

    def on_message_begin(self) -> None:
        """Start a request."""
        super().on_message_begin()
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._target += url
        if len(self._target) > self.max_header_bytes:
            raise HttpError(431, "the request target is too long; shorten it")

    def on_headers_complete(self) -> None:
        """Record that the body follows and whether the client awaits 100 Continue."""
        super().on_headers_complete()
        self._read_absolute_target()
        expect = self._fields.get(b"expect", b"")
        self.wants_continue = expect.lower() == b"100-continue"
        if self.refuses_head is not None and self._expects_body():
            self._check_head(self.refuses_head)

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
        self._fields[b"host"] = absolute.host
        others = [pair for pair in self._headers if pair[0].lower() != b"host"]
        self._headers = [(b"Host", absolute.host), *others]

    def expected_body_bytes(self) -> int:
        """Return the size that the body of the incomplete request may reach, in bytes.

        One of unknown length counts once its first bytes have come.
        """
        if not self._in_body:
            return 0
        length = self._fields.get(b"content-length")
        if length is not None:
            return min(int(length), self.max_body_bytes)
        return self.max_body_bytes if self._body_bytes else 0

    def _expects_body(self) -> bool:
        length = self._fields.get(b"content-length", b"0")
        return length != b"0" or b"transfer-encoding" in self._fields

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
            self._chunks.clear()

    def on_message_complete(self) -> None:
        """Build the completed request, unless it was refused for its head."""
        self.in_message = False
        self.wants_continue = False
        if self.drops_body:
            self.drops_body = False
        elif not self._parser.should_upgrade():  # It is not served.
            self._completed.append(self._build_request(self._take_body()))

    def _build_request(self, body: bytes) -> Request:
        parser = self._parser
        return Request(
            parser.get_method(),
            self._target,
            self._headers,
            self._fields,
            body,
            parser.should_keep_alive(),
        )


class ResponseParser(_MessageParser):
    """Parse the bytes of a connection into responses.

    Args:
        max_header_bytes: Largest header block, in bytes; also the most bytes in a row
            that complete neither a head nor any part of a body.
        max_body_bytes: Largest body, in bytes.

    ``bodiless`` tells that the next response has no body, whatever length it names, as
    for a HEAD request; its connection carries no other response.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        super().__init__(max_header_bytes, max_body_bytes)
        self._parser = httptools.HttpResponseParser(self)
        self._completed: list[Response] = []
        self._framing_bytes = 0
        self._interim_responses = 0
        self.bodiless = False

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the part of an incomplete response that is held."""
        return self._framing_bytes + self._body_bytes if self.in_message else 0

    def feed(self, data: bytes) -> list[Response]:
        """Parse bytes and return the responses that they complete.

        Raises:
            HttpError: The response is malformed or exceeds a limit.
        """
        held_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            error = _callback_error(exc)
            cause = f": {error}" if error is not None else ""
            raise HttpError(502, f"the response cannot be read{cause}") from exc
        completed, self._completed = self._completed, []
        progressed = bool(completed) or self._body_bytes != held_before
        self._framing_bytes = 0 if progressed else self._framing_bytes + len(data)
        if self._framing_bytes > self.max_header_bytes:
            raise HttpError(502, "the response's head or framing does not end")
        return completed

    def feed_eof(self) -> Response | None:
        """Return the response that the end of the connection completes, or None."""
        has_framing = b"content-length" in self._fields or (
            b"transfer-encoding" in self._fields
        )
        if not (self.in_message and self._in_body) or has_framing:
            return None
        self.in_message = False
        return self._build_response(keep_alive=False)

    def on_headers_complete(self) -> None:
        """Record that the body follows, or complete a response without one."""
        super().on_headers_complete()
        if self.bodiless and self._parser.get_status_code() >= 200:
            self.in_message = False
            self._completed.append(self._build_response(keep_alive=False))

    def on_message_complete(self) -> None:
        """Build the completed response; interim (1xx) responses are dropped."""
        self.in_message = False
        status = self._parser.get_status_code()
        if self.bodiless and status >= 200:
            return  # It was complete with its head.
        if status >= 200:
            self._interim_responses = 0
            self._completed.append(
                self._build_response(self._parser.should_keep_alive())
            )
            return
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise HttpError(502, "the interim responses do not end")

    def _build_response(self, keep_alive: bool) -> Response:
        return Response(
            self._parser.get_status_code(),
            self._headers,
            self._fields,
            self._take_body(),
            keep_alive,
        )


def render_end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]], drop: frozenset
) -> bytes:
    """Render the end-to-end headers, that is, all but the hop-by-hop ones.

    Args:
        headers: Header pairs.
        drop: Lower-case names of further headers to leave out.
    """
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_options.update(
                token.strip().lower() for token in value.split(b",")
            )
    lines = []
    for name, value in headers:
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in drop or lower in connection_options:
            continue
        lines.append(name + b": " + value + b"\r\n")
    return b"".join(lines)


def render_request(method: bytes, target: bytes, block: bytes, body: bytes) -> bytes:
    """Render a request.

    Content-Length is left out for GET, HEAD and DELETE without a body.

    Args:
        method: Method.
        target: Path and query.
        block: Rendered header lines, without Content-Length.
        body: Complete body.
    """
    length_line = b""
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        length_line = b"Content-Length: %d\r\n" % len(body)
    return b"".join(
        (method, b" ", target, b" HTTP/1.1\r\n", block, length_line, b"\r\n", body)
    )


def render_response(
    status: int, block: bytes, body: bytes, close: bool, to_head: bool = False
) -> bytes:
    """Render a response.

    Args:
        status: Status code.
        block: Rendered header lines, without Content-Length and Connection.
        body: Complete body; dropped for a status that has none.
        close: Whether to add ``Connection: close``.
        to_head: Whether it answers a HEAD request; the body is dropped then.
    """
    status_line = _STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status
    names_length = status not in BODILESS_STATUSES and (body or not to_head)
    length_line = b"Content-Length: %d\r\n" % len(body) if names_length else b""
    last_lines = b"Connection: close\r\n\r\n" if close else b"\r\n"
    if to_head or status in BODILESS_STATUSES:
        body = b""
    return b"".join((status_line, block, length_line, last_lines, body))
