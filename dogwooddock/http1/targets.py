"""Request targets in absolute form (RFC 9112, section 3.2.2)."""

__all__ = ["AbsoluteTarget", "parse_absolute"]

import re
from dataclasses import dataclass

_ABSOLUTE = re.compile(rb"https?://([^/?#]*)(.*)", re.IGNORECASE | re.DOTALL)


@dataclass(frozen=True, slots=True)
class AbsoluteTarget:
    """The parts of a request target in absolute form.

    Args:
        host: Host and port, as sent; it precedes the Host header.
        origin_form: Path and query, as sent.
    """

    host: bytes
    origin_form: bytes

    @property
    def is_valid(self) -> bool:
        """Report whether it names a host, and no user data."""
        return bool(self.host.partition(b":")[0]) and b"@" not in self.host


def parse_absolute(method: bytes, target: bytes) -> AbsoluteTarget | None:
    """Return the parts of a target in absolute form; None if it has another form.

    Args:
        method: Method of the request; OPTIONS without a path asks for the server.
        target: Request target, as sent.
    """
    match = _ABSOLUTE.fullmatch(target)
    if match is None:
        return None
    host, rest = match.groups()
    if not rest and method == b"OPTIONS":
        rest = b"*"
    elif not rest.startswith(b"/"):
        rest = b"/" + rest
    return AbsoluteTarget(host, rest)
