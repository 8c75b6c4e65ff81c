"""Answers small enough to be kept in a key's row."""

__all__ = ["load_answer", "store_answer"]

import base64

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from ..peers.wire.ttypes import Reply

MAX_STORED_BYTES = 4096

_FACTORY = TCompactProtocolAcceleratedFactory()


def store_answer(reply: Reply) -> str:
    """Return the text form of an answer, or an empty string if it is large."""
    if len(reply.body) > MAX_STORED_BYTES:
        return ""
    slim = Reply(
        outcome=reply.outcome,
        reason=reply.reason,
        status=reply.status,
        headers=reply.headers,
        body=reply.body,
    )
    return base64.b64encode(serialize(slim, protocol_factory=_FACTORY)).decode()


def load_answer(text: str) -> Reply:
    """Read the text form of an answer."""
    return deserialize(Reply(), base64.b64decode(text), protocol_factory=_FACTORY)
