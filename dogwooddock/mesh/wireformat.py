"""How callers and targets name what a request carries, behind an interface."""

__all__ = ["CallerFields", "HeaderFormat", "TargetAnswer"]

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..http1.messages import Request, Response
from .calls import MeshCall


@dataclass(frozen=True, slots=True)
class CallerFields:
    """What a caller states about a request.

    Args:
        request_id: Identity of this attempt of the caller.
        host: Host that it addresses.
        wait_s: Time that it will wait, in seconds; None if it did not say.
    """

    request_id: bytes
    host: str
    wait_s: float | None


@dataclass(frozen=True, slots=True)
class TargetAnswer:
    """What a target says with a response.

    Args:
        status: HTTP status.
        headers: Rendered headers to pass on.
        body: Whole body.
        not_run: Whether it states that the request did not run.
        wrong_target: Whether another target has the address now.
        genuine: Whether it bears the target's mark.
    """

    status: int
    headers: bytes
    body: bytes
    not_run: bool
    wrong_target: bool
    genuine: bool


class HeaderFormat(ABC):
    """Read and write the headers between callers, nodes and targets."""

    @abstractmethod
    def read_caller(self, request: Request) -> CallerFields:
        """Read a caller's request.

        Raises:
            FormatError: A header is missing or malformed.
        """

    @abstractmethod
    def forwarded_headers(self, request: Request) -> bytes:
        """Render the headers of a request that are passed on to a target."""

    @abstractmethod
    def target_headers(self, call: MeshCall, remaining_s: float) -> bytes:
        """Render the headers that the gate adds for its target."""

    @abstractmethod
    def belongs(self, call: MeshCall, response: Response, fresh: bool) -> bool:
        """Report whether a response answers a call.

        Args:
            call: The call that waits.
            response: A response on its connection.
            fresh: Whether the connection served no other call before, so that the
                response cannot be a late one of another call.
        """

    @abstractmethod
    def read_answer(self, response: Response) -> TargetAnswer:
        """Read a target's response."""

    @abstractmethod
    def refusal_headers(self, request_id: bytes, retry_after_s: float | None) -> bytes:
        """Render the headers of an answer that the node gives itself."""

    @abstractmethod
    def health_request(self, host: str, path: str) -> bytes:
        """Render a health check."""

    @abstractmethod
    def healthy_id(self, response: Response) -> str:
        """Return the identity in a good health check, or an empty string."""
