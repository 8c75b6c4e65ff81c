"""Requests to the node itself: tickets, and announcements of the local target."""

__all__ = ["API_PREFIX", "NodeApi", "TargetControl"]

import json
from collections.abc import Callable
from typing import Any

from pydantic import BaseModel

from ..headers import OUTCOME
from ..policy.outcomes import Outcome, Reason
from .ingress import Ingress
from .messages import CallerReply, problem_reply

API_PREFIX = "/_dogwooddock/"
DEFAULT_TICKET_COUNT = 16
JSON_TYPE = ("Content-Type", "application/json")

# Takes the HTTP method and the document sent, and returns the HTTP status.
TargetControl = Callable[[str, Any], int]


class _TicketRequest(BaseModel):
    """Schema of a request for tickets."""

    method: str = "POST"
    path: str = "/"
    count: int = DEFAULT_TICKET_COUNT


class NodeApi:
    """Serve the requests that are meant for the node itself.

    Args:
        ingress: Ingress of the node.
        target_control: Announces or removes the local target; None on the port for
            routers.
    """

    def __init__(self, ingress: Ingress, target_control: TargetControl | None):
        self._ingress = ingress
        self._target_control = target_control

    def handle(self, caller: str, method: str, name: str, body: bytes) -> CallerReply:
        """Serve one request.

        Args:
            caller: Name of the caller.
            method: HTTP method.
            name: Path after API_PREFIX.
            body: JSON document, or empty.

        Raises:
            ValueError: The body is not the document that the request needs.
        """
        if name == "tickets" and method == "POST":
            return self._issue_tickets(caller, _document(body))
        if name.startswith("tickets/") and method == "DELETE":
            state = self._ingress.tickets.cancel(name.removeprefix("tickets/"))
            return _json_reply(200, {"state": state})
        if name == "target" and self._target_control is not None:
            return _json_reply(self._target_control(method, _document(body)), {})
        rng = self._ingress.deps.rng
        return problem_reply(Outcome.NOT_RUN, Reason.NO_ROUTE, rng)

    def _issue_tickets(self, caller: str, document: Any) -> CallerReply:
        wanted = _TicketRequest.model_validate(document)
        tickets = self._ingress.tickets.issue(
            caller, wanted.method, wanted.path, wanted.count
        )
        return _json_reply(200 if tickets else 503, {"tickets": tickets})


def _document(body: bytes) -> Any:
    return json.loads(body) if body else {}


def _json_reply(status: int, document: dict[str, Any]) -> CallerReply:
    outcome = Outcome.ANSWERED if status < 400 else Outcome.NOT_RUN
    headers = [JSON_TYPE, (OUTCOME, str(outcome))]
    body = json.dumps(document).encode()
    return CallerReply(outcome, Reason.NONE, status, headers, body)
