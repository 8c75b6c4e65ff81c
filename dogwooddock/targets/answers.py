"""Encoding of answers that are stored in the row of an idempotency key."""

__all__ = ["decode_answer", "encode_answer"]

import base64

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from ..peers.wire.ttypes import Reply

MAX_STORED_BYTES = 4096

_FACTORY = TCompactProtocolAcceleratedFactory()


def encode_answer(reply: Reply) -> str:
    """Encode an answer as text.

    Returns an empty string if the body is longer than ``MAX_STORED_BYTES``.
    """
    if len(reply.body) > MAX_STORED_BYTES:
        return ""
    stored = Reply(
        outcome=reply.outcome,
        reason=reply.reason,
        status=reply.status,
        headers=reply.headers,
        body=reply.body,
    )
    return base64.b64encode(serialize(stored, protocol_factory=_FACTORY)).decode()


def decode_answer(text: str) -> Reply:
    """Decode an answer from its text form."""
    return deserialize(Reply(), base64.b64decode(text), protocol_factory=_FACTORY)
