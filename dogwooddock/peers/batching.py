"""Key batches by way of a batcher in the availability zone."""

__all__ = ["ZoneBatches", "to_wire"]

from collections.abc import Callable, Sequence

from ..errors import PeerError, PeerUnreachable, PlatformTimeout
from ..keys.committer import KeyBatchExecutor
from ..keys.rows import KeyResult, KeyWrite
from ..policy.keys import KeyRow
from .client import PeerConnections
from .wire.ttypes import ClaimResult, ClaimWrite

BATCHER_TIMEOUT_S = 1.0

FindBatcher = Callable[[], tuple[str, int] | None]


class ZoneBatches(KeyBatchExecutor):
    """Send batches to the zone's batcher, or run them here.

    The table decides about every write, so nodes may disagree about who the batcher
    is without harm.

    Args:
        local: Batches of this node, which also serve other nodes.
        connections: Connections to peers.
        find_batcher: Function that returns the batcher's address, or None if this
            node does the work itself.
    """

    def __init__(
        self,
        local: KeyBatchExecutor,
        connections: PeerConnections,
        find_batcher: FindBatcher,
    ):
        self._local = local
        self._connections = connections
        self._find_batcher = find_batcher

    def commit(self, writes: Sequence[KeyWrite]) -> list[KeyResult]:
        """Run the writes in one transaction, each on its own condition."""
        address = self._find_batcher()
        if address is None:
            return self._local.commit(writes)
        wire = [ClaimWrite(item.key, item.base, item.row.dumps()) for item in writes]
        try:
            results = self._connections.run(
                address, BATCHER_TIMEOUT_S, lambda client: client.write_claims(wire)
            )
        except PeerUnreachable:
            return self._local.commit(writes)
        except PeerError as exc:
            raise PlatformTimeout(f"the batcher's answer was lost: {exc}") from exc
        return _from_wire(results)

    def read(self, keys: Sequence[str]) -> list[KeyResult]:
        """Return the present rows of the keys."""
        address = self._find_batcher()
        if address is None:
            return self._local.read(keys)
        try:
            results = self._connections.run(
                address,
                BATCHER_TIMEOUT_S,
                lambda client: client.read_claims(list(keys)),
            )
        except PeerError:
            return self._local.read(keys)
        return _from_wire(results)


def to_wire(results: Sequence[KeyResult]) -> list[ClaimResult]:
    """Return the wire form of results."""
    return [
        ClaimResult(
            "applied" if result.applied else "conflict",
            result.version,
            result.row.dumps() if result.row else "",
        )
        for result in results
    ]


def _from_wire(results: Sequence[ClaimResult]) -> list[KeyResult]:
    return [
        KeyResult(
            result.status == "applied",
            result.version,
            KeyRow.loads(result.row) if result.row else None,
        )
        for result in results
    ]
