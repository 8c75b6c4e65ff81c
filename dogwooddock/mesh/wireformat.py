"""Interface to the header format between callers, nodes and targets."""

__all__ = ["CallerFields", "HeaderFormat", "TargetAnswer"]

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from ..http1.messages import Request, Response
from .calls import MeshCall


@dataclass(frozen=True, slots=True)
class CallerFields:
    """Header values that a caller sends with a request.

    Args:
        request_id: Identifier of this attempt of the caller.
        host: Host that the request names.
        wait_s: Time that the caller will wait, in seconds; None if not stated.
        api_keys: Values of the API key header, as received.
    """

    request_id: bytes
    host: str
    wait_s: float | None
    api_keys: tuple[bytes, ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A target's response and what its headers state.

    Args:
        status: HTTP status.
        headers: Rendered headers to forward.
        body: Complete body.
        not_run: Whether the target states that the request did not run.
        wrong_target: Whether another target now uses the address.
        stamped: Whether it has the stamp header, which shows that the target itself
            produced it.
        rate_limit: Requests a second that the target accepts from all VMs together;
            None if it names no limit.
        leaving: Whether the target says that it will end.
    """

    status: int
    headers: bytes
    body: bytes
    not_run: bool
    wrong_target: bool
    stamped: bool
    rate_limit: float | None = None
    leaving: bool = False


class HeaderFormat(ABC):
    """Parse and render the headers between callers, nodes and targets."""

    @abstractmethod
    def read_caller(self, request: Request) -> CallerFields:
        """Parse the headers of a caller's request.

        Raises:
            FormatError: A header is missing or malformed.
        """

    @abstractmethod
    def forwarded_headers(self, request: Request, drop_account: bool) -> bytes:
        """Render the headers of a request that are forwarded to a target.

        Args:
            request: The request.
            drop_account: Whether to leave out the API key and the account's name.
        """

    @abstractmethod
    def target_headers(self, call: MeshCall, remaining_s: float) -> bytes:
        """Render the headers that the gate adds to a call.

        The account is named to the target only for a request of a caller.

        Args:
            call: The call.
            remaining_s: Time until its deadline, in seconds.
        """

    @abstractmethod
    def is_response_to(self, call: MeshCall, response: Response, fresh: bool) -> bool:
        """Report whether a response answers a call.

        Args:
            call: Call that waits for a response.
            response: Response received on its connection.
            fresh: Whether the connection served no call before, so that the response
                cannot be a late response to another call.
        """

    @abstractmethod
    def read_answer(self, response: Response) -> TargetAnswer:
        """Parse a target's response."""

    @abstractmethod
    def error_headers(self, request_id: bytes, retry_after_s: float | None) -> bytes:
        """Render the headers of an error response of the node.

        Args:
            request_id: Identifier of the request; empty if it is not known.
            retry_after_s: Delay before a retry, in seconds; None to state none.
        """

    @abstractmethod
    def health_request(self, host: str, path: str) -> bytes:
        """Render a health check request."""

    @abstractmethod
    def healthy_id(self, response: Response) -> str:
        """Return the target id in a successful health check, or an empty string."""
