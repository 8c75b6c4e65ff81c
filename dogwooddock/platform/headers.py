"""HTTP headers between callers, nodes and targets on the platform."""

__all__ = ["PlatformHeaders"]

import re

from ..http1.messages import (
    Request,
    Response,
    render_end_to_end_headers,
    render_request,
)
from ..mesh.calls import MeshCall
from ..mesh.wireformat import CallerFields, HeaderFormat, TargetAnswer
from .names import (
    ACCOUNT,
    API_KEY,
    CALLER_SERVICE,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    INSTANCE_ID,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_STAMP,
)
from .values import FormatError

_SET_BY_NODES = frozenset({DEADLINE_MS, EXPECT_INSTANCE, CALLER_SERVICE})
_SET_WITH_ACCOUNTS = _SET_BY_NODES | {API_KEY, ACCOUNT}
_NO_HEADERS: frozenset[bytes] = frozenset()
# A rate limit of a million or more does not match and counts as no limit.
# A longer number is cut to its first digits; each route has a shorter timeout.
MAX_DEADLINE_DIGITS = 12
_RATE = re.compile(rb"\d{1,6}(\.\d{0,12})?")


class PlatformHeaders(HeaderFormat):
    """Header format of the platform."""

    def read_caller(self, request: Request) -> CallerFields:
        """Read request id, host, deadline and API key of a caller's request."""
        fields = request.fields
        request_id = fields.get(REQUEST_ID, b"")
        if not request_id or len(request_id) > 200:
            raise FormatError("the request id is missing or too long; send one")
        wait_s = None
        deadline_ms = fields.get(DEADLINE_MS)
        if deadline_ms is not None:
            if not deadline_ms.isdigit():
                raise FormatError("the deadline is no whole number of milliseconds")
            wait_s = int(deadline_ms[:MAX_DEADLINE_DIGITS]) / 1000
        host = fields.get(b"host", b"").decode("latin-1")
        api_keys: tuple[bytes, ...] = ()
        if API_KEY in fields:
            pairs = request.headers
            api_keys = tuple(value for name, value in pairs if name.lower() == API_KEY)
        return CallerFields(request_id, host, wait_s, api_keys)

    def forwarded_headers(self, request: Request, drop_account: bool) -> bytes:
        """Render the headers of a request that are passed on to a target."""
        dropped = _SET_WITH_ACCOUNTS if drop_account else _SET_BY_NODES
        return render_end_to_end_headers(request.headers, dropped)

    def target_headers(self, call: MeshCall, remaining_s: float) -> bytes:
        """Render the headers that the gate adds for its target."""
        block = (
            b"Dogwooddock-Deadline-Ms: %d\r\n"
            b"Dogwooddock-Expect-Instance: %s\r\n"
            b"Dogwooddock-Caller-Service: %s\r\n"
        ) % (
            max(1, int(remaining_s * 1000)),
            call.target_id.encode("latin-1"),
            call.caller.encode("latin-1"),
        )
        if call.account and not call.depth:
            block += b"Dogwooddock-Tenant: %s\r\n" % call.account.encode("latin-1")
        return block

    def is_response_to(self, call: MeshCall, response: Response, fresh: bool) -> bool:
        """Report whether a response belongs to a call.

        A response without a request id is accepted only as a not-run response on a
        fresh connection; on a reused one it may belong to an earlier call.
        """
        echoed = response.fields.get(REQUEST_ID)
        if echoed is None:
            return fresh and (NOT_RUN in response.fields or response.status == 421)
        return echoed == call.request_id

    def read_answer(self, response: Response) -> TargetAnswer:
        """Read a target's response."""
        wrong_target = response.status == 421
        return TargetAnswer(
            response.status,
            render_end_to_end_headers(response.headers, _NO_HEADERS),
            response.body,
            wrong_target or NOT_RUN in response.fields,
            wrong_target,
            SERVER_STAMP in response.fields,
            _read_rate(response.fields.get(SERVER_LIMIT, b"")),
            response.fields.get(SERVER_LEAVING) == b"1",
        )

    def error_headers(self, request_id: bytes, retry_after_s: float | None) -> bytes:
        """Render the headers of an error response that the node itself sends."""
        block = (
            b"Dogwooddock-Request-Id: " + request_id + b"\r\n" if request_id else b""
        )
        if retry_after_s is not None:
            block += b"%s: %.3f\r\n" % (RETRY_AFTER.title(), retry_after_s)
        return block

    def health_request(self, host: str, path: str) -> bytes:
        """Render a health check request."""
        block = f"Host: {host}\r\n".encode()
        return render_request(b"GET", path.encode("latin-1"), block, b"")

    def healthy_id(self, response: Response) -> str:
        """Return the target id of a successful health check, or an empty string."""
        if response.status != 200:
            return ""
        return response.fields.get(INSTANCE_ID, b"").decode("latin-1")


def _read_rate(text: bytes) -> float | None:
    """Parse a decimal number; None if the text is anything else or too large."""
    return float(text) if _RATE.fullmatch(text) else None
