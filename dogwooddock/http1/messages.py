"""HTTP/1.1 messages: parsing and rendering without I/O."""

__all__ = [
    "HttpProblem",
    "Request",
    "RequestParser",
    "Response",
    "ResponseParser",
    "end_to_end_block",
    "render_request",
    "render_response",
]

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

import httptools

from ..errors import DogwooddockError

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
SINGLE_HEADERS = frozenset({b"host", b"content-length", b"transfer-encoding"})
BODILESS = frozenset({204, 304})

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in HTTPStatus
}

Headers = list[tuple[bytes, bytes]]


class HttpProblem(DogwooddockError):
    """A peer sent bytes that cannot be served.

    Args:
        status: Status to answer with.
        text: What is wrong and how to correct it.
    """

    def __init__(self, status: int, text: str):
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Request:
    """One whole request.

    Args:
        method: Method as sent.
        target: Path and query as sent.
        headers: Header pairs in the order sent.
        fields: Values by lower-case header name.
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
    """One whole response."""

    status: int = 0
    headers: Headers = field(default_factory=list)
    fields: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = False


class _Assembler:
    """Collect the callbacks that the two parsers have in common."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.begun = False
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
        self.begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped."""
        if self._in_body:
            return
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > self.max_header_bytes:
            raise HttpProblem(431, "the headers are too large; send fewer or shorter")
        lower = name.lower()
        if lower in self._fields and lower in SINGLE_HEADERS:
            raise HttpProblem(400, f"header {name!r} is repeated; send it once")
        self._headers.append((name, value))
        self._fields[lower] = value

    def on_headers_complete(self) -> None:
        """Note that the body begins."""
        self._in_body = True

    def on_body(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self.max_body_bytes:
            raise HttpProblem(413, "the body is too large; send a smaller one")
        self._chunks.append(chunk)

    def _body(self) -> bytes:
        return self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)


def _cause(exc: httptools.HttpParserError) -> HttpProblem | None:
    for linked in (exc.__context__, exc.__cause__):
        if isinstance(linked, HttpProblem):
            return linked
    return None


class RequestParser(_Assembler):
    """Turn bytes of a connection into requests.

    Args:
        max_header_bytes: Largest header block, in bytes.
        max_body_bytes: Largest body, in bytes.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        super().__init__(max_header_bytes, max_body_bytes)
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._ready: list[Request] = []
        self.wants_continue = False

    def feed(self, data: bytes) -> list[Request]:
        """Return the requests that these bytes complete.

        Raises:
            HttpProblem: The bytes are not an acceptable request.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise HttpProblem(400, "upgrades are not served; send HTTP/1.1") from exc
        except httptools.HttpParserError as exc:
            problem = _cause(exc)
            if problem is not None:
                raise problem from exc
            raise HttpProblem(400, "the request cannot be read; correct it") from exc
        ready, self._ready = self._ready, []
        return ready

    def on_message_begin(self) -> None:
        """Start a request."""
        super().on_message_begin()
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self._target += url
        if len(self._target) > self.max_header_bytes:
            raise HttpProblem(431, "the request target is too long; shorten it")

    def on_headers_complete(self) -> None:
        """Note that the body begins."""
        super().on_headers_complete()
        expect = self._fields.get(b"expect", b"")
        self.wants_continue = expect.lower() == b"100-continue"

    def on_message_complete(self) -> None:
        """Keep the whole request."""
        self.begun = False
        self.wants_continue = False
        parser = self._parser
        self._ready.append(
            Request(
                parser.get_method(),
                self._target,
                self._headers,
                self._fields,
                self._body(),
                parser.should_keep_alive(),
            )
        )


class ResponseParser(_Assembler):
    """Turn bytes of a connection into responses.

    Args:
        max_header_bytes: Largest header block, in bytes.
        max_body_bytes: Largest body, in bytes.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int):
        super().__init__(max_header_bytes, max_body_bytes)
        self._parser = httptools.HttpResponseParser(self)
        self._ready: list[Response] = []

    def feed(self, data: bytes) -> list[Response]:
        """Return the responses that these bytes complete.

        Raises:
            HttpProblem: The bytes are not a response.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise HttpProblem(502, "the response cannot be read") from exc
        ready, self._ready = self._ready, []
        return ready

    def finish(self) -> Response | None:
        """Return a response that the end of the connection completes, or None."""
        framed = b"content-length" in self._fields or (
            b"transfer-encoding" in self._fields
        )
        if not (self.begun and self._in_body) or framed:
            return None
        self.begun = False
        return self._take(keep_alive=False)

    def on_message_complete(self) -> None:
        """Keep the whole response."""
        self.begun = False
        status = self._parser.get_status_code()
        if status >= 200:
            self._ready.append(self._take(self._parser.should_keep_alive()))

    def _take(self, keep_alive: bool) -> Response:
        return Response(
            self._parser.get_status_code(),
            self._headers,
            self._fields,
            self._body(),
            keep_alive,
        )


def end_to_end_block(headers: Iterable[tuple[bytes, bytes]], drop: frozenset) -> bytes:
    """Render the headers that concern more than one connection.

    Args:
        headers: Header pairs.
        drop: Lower-case names to leave out besides the hop-by-hop ones.
    """
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    lines = []
    for name, value in headers:
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in drop or lower in named:
            continue
        lines.append(name + b": " + value + b"\r\n")
    return b"".join(lines)


def render_request(method: bytes, target: bytes, block: bytes, body: bytes) -> bytes:
    """Render a request with a stated length."""
    length = b""
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        length = b"Content-Length: %d\r\n" % len(body)
    return b"".join(
        (method, b" ", target, b" HTTP/1.1\r\n", block, length, b"\r\n", body)
    )


def render_response(status: int, block: bytes, body: bytes, close: bool) -> bytes:
    """Render a response with a stated length."""
    line = _STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status
    length = b"" if status in BODILESS else b"Content-Length: %d\r\n" % len(body)
    ending = b"Connection: close\r\n\r\n" if close else b"\r\n"
    if status in BODILESS:
        body = b""
    return b"".join((line, block, length, ending, body))
