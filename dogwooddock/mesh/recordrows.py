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
from typing import Any

from ..errors import DogwooddockError
from ..policy.lifetimes import TargetState
from ..policy.quarantine import Mark, MarkKind
from .calls import NodeRecord

MEMBERS_TABLE = "members"


class MalformedRecord(DogwooddockError):
    """The value of a row is not a valid node record."""


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
        row = json.loads(value)
        return NodeRecord(
            (str(row["ip"]), int(row["port"])),
            str(row["zone"]),
            str(row["pool"]),
            str(row["target_id"]),
            int(row["born_ms"]),
            int(row["sequence"]),
            int(row["slots"]),
            TargetState[row["state"]],
            float(row["cold_s"]),
        )
    except (ValueError, KeyError, TypeError) as exc:
        raise MalformedRecord(f"row value is not a valid node record: {exc!r}") from exc


def decode_marks(value: bytes) -> tuple[Mark, ...]:
    """Decode the unexpired marks in the value of a node's row.

    Raises:
        MalformedRecord: The value holds no valid marks.
    """
    now = time.time()
    try:
        marks = [_decode_mark(row, now) for row in json.loads(value).get("marks", ())]
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise MalformedRecord(f"row value has no valid marks: {exc!r}") from exc
    return tuple(mark for mark in marks if mark.remaining_s > 0)


def _encode_mark(mark: Mark, now: float) -> dict[str, Any]:
    return {
        "request": mark.fingerprint,
        "node": mark.node_id,
        "lifetime": mark.lifetime,
        "kind": int(mark.kind),
        "until_unix_s": int(now + mark.remaining_s),
    }


def _decode_mark(row: dict[str, Any], now: float) -> Mark:
    return Mark(
        str(row["request"]),
        int(row["node"]),
        int(row["until_unix_s"] - now),
        MarkKind(row["kind"]),
        int(row["lifetime"]),
    )
