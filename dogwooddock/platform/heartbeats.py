"""Heartbeats and leave messages of the local target, in the platform's format."""

__all__ = ["decode_heartbeat", "decode_leave", "parse_rpc"]

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..http1.messages import Request
from ..jsontext import MAX_WHOLE_NUMBER, parse_json
from ..policy.lifetimes import MAX_BORN_MS, Heartbeat, TargetState
from .names import RPC_PATH
from .values import FormatError, parse_address, parse_duration

_RPC_CALLS = {"instances.heartbeat": "heartbeat", "instances.deregister": "leave"}
_WholeNumber = Annotated[int, Field(ge=0, le=MAX_WHOLE_NUMBER)]
_UnixMs = Annotated[int, Field(ge=0, le=MAX_BORN_MS)]
_STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


class _HeartbeatBody(BaseModel):
    """Body of a heartbeat; ``cold_left`` is the warm-up time after the start.

    One that lacks a field is from another writer.
    """

    model_config = ConfigDict(extra="ignore", strict=True)

    service: str = Field(min_length=1)
    address: str
    zone: str
    version: str
    slots: int = Field(ge=1, le=1_000_000)
    state: str
    cold_left: str
    seq: _WholeNumber
    born: _UnixMs


class _LeaveBody(BaseModel):
    """Body of a leave message that has one."""

    model_config = ConfigDict(extra="ignore", strict=True)

    seq: _WholeNumber
    born: _UnixMs


def parse_rpc(request: Request) -> tuple[str, str]:
    """Return the call (``heartbeat`` or ``leave``) and the target id of a request.

    Raises:
        FormatError: The request is neither of the two calls.
    """
    if request.method != b"POST" or request.path != RPC_PATH:
        raise FormatError("unknown path; check in with POST /rpc")
    query = request.query()
    call = _RPC_CALLS.get(query.get("call", ""))
    target = query.get("of", "")
    if call is None or not target:
        raise FormatError("call or of is missing; name the call and the target")
    return call, target


def decode_heartbeat(target_id: str, body: bytes) -> Heartbeat:
    """Decode the body of a heartbeat.

    Raises:
        FormatError: A field is missing, has a wrong type or an unknown value.
    """
    try:
        parsed = _HeartbeatBody.model_validate(parse_json(body))
    except (ValidationError, ValueError) as exc:
        raise FormatError(f"heartbeat is malformed: {exc!r}") from exc
    state = _STATES.get(parsed.state)
    if state is None:
        raise FormatError(f"state is {parsed.state!r}; write ready or draining")
    address = parse_address(parsed.address, "address")
    if not address[1]:
        raise FormatError(f"address is {parsed.address!r}; write a port of 1 to 65535")
    return Heartbeat(
        target_id=target_id,
        pool=parsed.service,
        address=address,
        slots=parsed.slots,
        state=state,
        cold_s=parse_duration(parsed.cold_left, "cold_left"),
        sequence=parsed.seq,
        born_ms=parsed.born,
    )


def decode_leave(body: bytes) -> tuple[int, int]:
    """Decode the body of a leave message.

    Returns:
        The start of the target (Unix milliseconds) and the sequence number; zeros for
        an empty body.

    Raises:
        FormatError: The body is malformed.
    """
    if not body.strip():
        return 0, 0
    try:
        parsed = _LeaveBody.model_validate(parse_json(body))
    except (ValidationError, ValueError) as exc:
        raise FormatError(f"leave is malformed: {exc!r}") from exc
    return parsed.born, parsed.seq
