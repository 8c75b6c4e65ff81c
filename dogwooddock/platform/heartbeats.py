"""Heartbeats of the local target, as the platform sends them."""

__all__ = ["decode_heartbeat", "decode_leave", "rpc_call"]

import json

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..http1.messages import Request
from ..policy.lifetimes import Heartbeat, TargetState
from .names import RPC_PATH
from .values import FormatError, parse_address, parse_duration

_CALLS = {"instances.heartbeat": "heartbeat", "instances.deregister": "leave"}
_STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}


class _Body(BaseModel):
    """What a target says; ``cold_left`` is how long it stays slow after its start."""

    model_config = ConfigDict(extra="ignore", strict=True)

    service: str = Field(min_length=1)
    address: str
    zone: str = ""
    version: str = ""
    slots: int = Field(ge=1, le=1_000_000)
    state: str
    cold_left: str = "0ms"
    seq: int = Field(ge=0)
    born: int = Field(ge=0, default=0)


class _LeaveBody(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    seq: int = Field(ge=0, default=0)
    born: int = Field(ge=0, default=0)


def rpc_call(request: Request) -> tuple[str, str]:
    """Return the call (``heartbeat`` or ``leave``) and the target that it is about.

    Raises:
        FormatError: The request is no such call.
    """
    if request.method != b"POST" or request.path != RPC_PATH:
        raise FormatError("unknown path; check in with POST /rpc")
    query = request.query()
    call = _CALLS.get(query.get("call", ""))
    target = query.get("of", "")
    if call is None or not target:
        raise FormatError("call or of is missing; name the call and the target")
    return call, target


def decode_heartbeat(target_id: str, body: bytes) -> Heartbeat:
    """Read a heartbeat.

    Raises:
        FormatError: A field is missing, of another type or not a known value.
    """
    try:
        read = _Body.model_validate(json.loads(body))
    except (ValidationError, ValueError) as exc:
        raise FormatError(f"heartbeat is malformed: {exc!r}") from exc
    state = _STATES.get(read.state)
    if state is None:
        raise FormatError(f"state is {read.state!r}; write ready or draining")
    return Heartbeat(
        target_id=target_id,
        pool=read.service,
        address=parse_address(read.address, "address"),
        slots=read.slots,
        state=state,
        cold_s=parse_duration(read.cold_left, "cold_left"),
        sequence=read.seq,
        born_ms=read.born,
    )


def decode_leave(body: bytes) -> tuple[int, int]:
    """Return the start (Unix milliseconds) and sequence of a target that leaves.

    Raises:
        FormatError: The body is malformed.
    """
    if not body.strip():
        return 0, 0
    try:
        read = _LeaveBody.model_validate(json.loads(body))
    except (ValidationError, ValueError) as exc:
        raise FormatError(f"leave is malformed: {exc!r}") from exc
    return read.born, read.seq
