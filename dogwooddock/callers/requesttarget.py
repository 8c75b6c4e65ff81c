"""Targets of callers' requests, in origin form or in absolute form (RFC 9112)."""

__all__ = ["RequestTarget", "parse_request_target"]

import re
from dataclasses import dataclass

from ..errors import InvalidRequest

ABSOLUTE_FORM = re.compile(r"https?://([^/?@]+)(/[^?]*)?(\?.*)?", re.IGNORECASE)


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
    match = ABSOLUTE_FORM.fullmatch(text)
    if match is None:
        raise InvalidRequest("send a path, or an http URL with a host and no user")
    host, path, query = match.groups("")
    return RequestTarget((path or "/") + query, host)
