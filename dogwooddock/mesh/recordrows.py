"""Encoding of node records as rows of the store."""

__all__ = ["MEMBERS_TABLE", "decode_record", "encode_record", "record_key"]

import json

from ..errors import DogwooddockError
from ..policy.lifetimes import TargetState
from .calls import NodeRecord

MEMBERS_TABLE = "members"


class MalformedRecord(DogwooddockError):
    """The value of a row is not a valid node record."""


def record_key(address: tuple[str, int]) -> str:
    """Return the key of a node's row."""
    return f"{address[0]}:{address[1]}"


def encode_record(record: NodeRecord) -> bytes:
    """Encode a node record as the value of its row."""
    return json.dumps(
        {
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
