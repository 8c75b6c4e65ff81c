"""Encoding of node records, and of the marks that nodes made, as rows of the store."""

__all__ = [
    "MEMBERS_TABLE",
    "MalformedRecord",
    "decode_marks",
    "decode_record",
    "encode_record",
    "record_key",
]

import json
import time
from collections.abc import Iterable
from ipaddress import IPv4Address
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import DogwooddockError
from ..jsontext import MAX_WHOLE_NUMBER, parse_json
from ..policy.lifetimes import MAX_BORN_MS, TargetState
from ..policy.quarantine import MARK_LIFETIME_S, Mark, MarkKind
from .calls import NodeRecord

MEMBERS_TABLE = "members"
MAX_SLOTS = 1_000_000
# Longest warm-up time of a target, in seconds.
MAX_COLD_S = 86_400.0


_WholeNumber = Annotated[int, Field(ge=0, le=MAX_WHOLE_NUMBER, strict=True)]


class MalformedRecord(DogwooddockError):
    """The value of a row is not a valid node record."""


class _RecordBody(BaseModel):
    """Value of a node's row; a later release may add fields."""

    model_config = ConfigDict(extra="ignore", hide_input_in_errors=True)

    ip: IPv4Address
    port: int = Field(ge=1, le=65535, strict=True)
    zone: str
    pool: str
    target_id: str
    born_ms: int = Field(ge=0, le=MAX_BORN_MS, strict=True)
    sequence: _WholeNumber
    slots: int = Field(ge=0, le=MAX_SLOTS, strict=True)
    state: str
    cold_s: float = Field(ge=0, le=MAX_COLD_S)


class _MarkBody(BaseModel):
    model_config = ConfigDict(extra="ignore", hide_input_in_errors=True)

    request: str
    node: _WholeNumber
    until_unix_s: float = Field(allow_inf_nan=False)
    kind: MarkKind
    lifetime: _WholeNumber


class _MarkedBody(BaseModel):
    model_config = ConfigDict(extra="ignore", hide_input_in_errors=True)

    marks: list[_MarkBody] = []


def record_key(address: tuple[str, int]) -> str:
    """Return the key of a node's row."""
    return f"{address[0]}:{address[1]}"


def encode_record(record: NodeRecord, marks: Iterable[Mark] = ()) -> bytes:
    """Encode a node record, and marks that the node made, as the value of its row."""
    now = time.time()
    return json.dumps(
        {
            "marks": [_encode_mark(mark, now) for mark in marks],
            "ip": record.address[0],
            "port": record.address[1],
            "zone": record.zone,
            "pool": record.pool,
            "target_id": record.target_id,
            "born_ms": record.born_ms,
            "sequence": record.sequence,
            "slots": record.slots,
            "state": record.state.name,
            "cold_s": record.cold_s,
        },
        separators=(",", ":"),
    ).encode()


def decode_record(value: bytes) -> NodeRecord:
    """Decode the value of a node's row.

    Raises:
        MalformedRecord: The value is not a valid node record.
    """
    try:
        body = _RecordBody.model_validate(parse_json(value))
        state = TargetState[body.state]
    except (ValidationError, ValueError, KeyError) as exc:
        raise MalformedRecord(f"row value is not a valid node record: {exc}") from exc
    return NodeRecord(
        (str(body.ip), body.port),
        body.zone,
        body.pool,
        body.target_id,
        body.born_ms,
        body.sequence,
        body.slots,
        state,
        body.cold_s,
    )


def decode_marks(value: bytes) -> tuple[Mark, ...]:
    """Decode the unexpired marks in the value of a node's row.

    Raises:
        MalformedRecord: The value holds no valid marks.
    """
    now = time.time()
    try:
        bodies = _MarkedBody.model_validate(parse_json(value)).marks
    except (ValidationError, ValueError) as exc:
        raise MalformedRecord(f"row value has no valid marks: {exc}") from exc
    marks = [_mark_from(body, now) for body in bodies]
    return tuple(mark for mark in marks if mark.remaining_s > 0)


def _encode_mark(mark: Mark, now: float) -> dict[str, Any]:
    return {
        "request": mark.fingerprint,
        "node": mark.node_id,
        "lifetime": mark.lifetime,
        "kind": int(mark.kind),
        "until_unix_s": int(now + mark.remaining_s),
    }


def _mark_from(body: _MarkBody, now: float) -> Mark:
    remaining_s = int(max(0.0, min(MARK_LIFETIME_S, body.until_unix_s - now)))
    return Mark(body.request, body.node, remaining_s, body.kind, body.lifetime)
