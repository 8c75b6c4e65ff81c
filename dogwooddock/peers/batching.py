"""Key batches sent to the batcher of the availability zone."""

__all__ = ["ZoneKeyBatchExecutor", "to_wire_results"]

from collections.abc import Callable, Sequence

from ..errors import PeerError, PeerUnreachable, PlatformTimeout
from ..keys.committer import KeyBatchExecutor
from ..keys.rows import KeyResult, KeyWrite
from ..policy.keys import KeyRow
from .client import PeerConnections
from .wire.ttypes import ClaimResult, ClaimWrite

BATCHER_TIMEOUT_S = 1.0

BatcherLookup = Callable[[], tuple[str, int] | None]


class ZoneKeyBatchExecutor(KeyBatchExecutor):
    """Run key batches on the zone's batcher, or locally if there is no other.

    The batcher is the node that combines the key reads and writes of its availability
    zone. Every write is a compare-and-set in the table, so the result stays correct
    even if nodes disagree about which of them is the batcher.

    Args:
        local: Executor of this node, which also runs batches for other nodes.
        connections: Connections to peers.
        find_batcher: Returns the batcher's address, or None if this node runs the
            batches itself.
    """

    def __init__(
        self,
        local: KeyBatchExecutor,
        connections: PeerConnections,
        find_batcher: BatcherLookup,
    ):
        self._local = local
        self._connections = connections
        self._find_batcher = find_batcher

    def commit(self, writes: Sequence[KeyWrite]) -> list[KeyResult]:
        """Commit the writes in one transaction, each with its own condition.

        Runs them locally if the batcher could not be reached.

        Raises:
            PlatformUnavailable: Nothing was written.
            PlatformTimeout: The batcher's reply was lost; the writes may have been
                applied.
        """
        address = self._find_batcher()
        if address is None:
            return self._local.commit(writes)
        wire_writes = [
            ClaimWrite(item.key, item.base, item.row.dumps()) for item in writes
        ]
        try:
            results = self._connections.run(
                address,
                BATCHER_TIMEOUT_S,
                lambda client: client.write_claims(wire_writes),
            )
        except PeerUnreachable:
            return self._local.commit(writes)
        except PeerError as exc:
            raise PlatformTimeout(f"no reply from the batcher: {exc}") from exc
        return _from_wire_results(results)

    def read(self, keys: Sequence[str]) -> list[KeyResult]:
        """Return the current rows of the keys.

        Reads them locally if the call to the batcher fails, since a read can be
        repeated.

        Raises:
            PlatformError: The rows could not be read.
        """
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
        return _from_wire_results(results)


def to_wire_results(results: Sequence[KeyResult]) -> list[ClaimResult]:
    """Return the thrift form of key results."""
    return [
        ClaimResult(
            "applied" if result.applied else "conflict",
            result.version,
            result.row.dumps() if result.row else "",
        )
        for result in results
    ]


def _from_wire_results(results: Sequence[ClaimResult]) -> list[KeyResult]:
    return [
        KeyResult(
            result.status == "applied",
            result.version,
            KeyRow.loads(result.row) if result.row else None,
        )
        for result in results
    ]
