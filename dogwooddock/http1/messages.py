"""HTTP/1.1 messages and their rendering."""

__all__ = [
    "HttpError",
    "Request",
    "Response",
    "render_end_to_end_headers",
    "render_request",
    "render_request_head",
    "render_response",
]

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from ..errors import DogwooddockError
from .headerfields import Headers

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
BODILESS_STATUSES = frozenset({204, 304})

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in HTTPStatus
}


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
        head_bytes: Size of its head as sent, in bytes.
    """

    method: bytes = b""
    target: bytes = b""
    headers: Headers = field(default_factory=list)
    fields: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    head_bytes: int = 0

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
    """Render a request, as ``render_request_head`` does, with its body."""
    return render_request_head(method, target, block, body) + body


def render_request_head(
    method: bytes, target: bytes, block: bytes, body: bytes
) -> bytes:
    """Render the head of a request.

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
        (method, b" ", target, b" HTTP/1.1\r\n", block, length_line, b"\r\n")
    )


def render_response(
    status: int, block: bytes, body: bytes, close: bool, to_head: bool = False
) -> tuple[bytes, bytes]:
    """Render a response; return its head and its body.

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
    return b"".join((status_line, block, length_line, last_lines)), body
