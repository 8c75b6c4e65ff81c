"""Targets of callers' requests, in origin form or in absolute form (RFC 9112)."""

__all__ = ["RequestTarget", "parse_request_target"]

from dataclasses import dataclass

from ..errors import InvalidRequest
from ..http1.targets import parse_absolute


@dataclass(frozen=True, slots=True)
class RequestTarget:
    """A request target.

    Args:
        path: Path with the query string.
        host: Host that it names, with a port if it has one; empty in origin form.
    """

    path: str
    host: str = ""


def parse_request_target(text: str) -> RequestTarget:
    """Parse the target of a request line.

    Raises:
        InvalidRequest: It is in neither form, names no host, or names a user.
    """
    if text.startswith("/") or text == "*":
        return RequestTarget(text)
    absolute = parse_absolute(b"GET", text.encode("latin-1", "replace"))
    if absolute is None or not absolute.is_valid:
        raise InvalidRequest("send a path, or an http URL with a host and no user")
    path, host = absolute.origin_form, absolute.host
    return RequestTarget(path.decode("latin-1"), host.decode("latin-1"))
