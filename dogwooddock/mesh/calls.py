"""Messages between the ingress of a call and the gate beside its target."""

__all__ = [
    "GateLoad",
    "MeshCall",
    "MeshReply",
    "NodeRecord",
    "StateUpdate",
]

from dataclasses import dataclass, field

from ..policy.lifetimes import TargetState
from ..policy.outcomes import Outcome, Reason


@dataclass(slots=True)
class MeshCall:
    """One attempt of a request, for one target.

    Args:
        request_id: Identity that the caller gave the request.
        route: Name of the route.
        target_id: Target that is to run it.
        method: HTTP method.
        path: Path and query as sent.
        headers: Rendered headers to pass on.
        body: Whole body.
        deadline: Loop time after which the answer is useless, in seconds.
        idempotent: Whether it may run more than once.
        importance: 0 (least) to 9 (most).
        depth: 0 for a caller's request, 1 for a call of a target.
        caller: Pool of the VM where the request began.
        fingerprint: Identity of the request across resends.
        rank: Rank of the chain's first request, in hundredths of a class of
            importance; the same on every hop.
        repeat: Whether a target received the request before, or one above it.
    """

    request_id: bytes
    route: str
    target_id: str
    method: bytes
    path: bytes
    headers: bytes
    body: bytes
    deadline: float
    idempotent: bool
    importance: int
    depth: int
    caller: str
    fingerprint: str
    rank: int = 0
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class GateLoad:
    """Load of a gate, attached to every reply.

    Args:
        limit: Requests that its target may run at once; 0 while it has none.
        in_flight: Requests at the target.
        queued: Requests that wait.
        level: Admission level, in hundredths of a class of importance.
        wait_s: Expected wait of a new request, in seconds.
        accepting: Whether the gate takes new work.
    """

    limit: int = 0
    in_flight: int = 0
    queued: int = 0
    level: int = 0
    wait_s: float = 0.0
    accepting: bool = False


@dataclass(slots=True)
class MeshReply:
    """What became of an attempt.

    Args:
        outcome: Answered, not run, or unknown.
        reason: Why it was not answered.
        status: HTTP status, if it was answered.
        headers: Rendered headers, if it was answered.
        body: Whole body, if it was answered.
        reached: Whether a target received any of it.
        load: Load of the gate.
        below_level: Highest admission level that the run's own calls met.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    reached: bool = False
    load: GateLoad = field(default_factory=GateLoad)
    below_level: int = 0


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """What a node says of itself and its target.

    Args:
        address: Address of its peer port.
        zone: Availability zone.
        pool: Pool of its target.
        target_id: Identity of its target.
        born_ms: Start of the target, in Unix milliseconds.
        sequence: Sequence of the target's message that it rests on.
        slots: Requests that the target runs at once.
        state: State of the target.
        cold_s: Time for which the target stayed slow when this was said, in seconds.
    """

    address: tuple[str, int]
    zone: str
    pool: str
    target_id: str
    born_ms: int
    sequence: int
    slots: int
    state: TargetState
    cold_s: float = 0.0

    def supersedes(self, other: "NodeRecord") -> bool:
        """Report whether this record replaces another of the same address."""
        if self.born_ms != other.born_ms:
            return self.born_ms > other.born_ms
        if self.target_id != other.target_id:
            return other.state is TargetState.GONE
        return (self.state, self.sequence) > (other.state, other.sequence)


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """Configuration and members that one node passes to another.

    Args:
        config_version: Version of the document; 0 if there is none.
        document: The configuration.
        members: Node records.
        members_version: Version of the store that the records were read at.
    """

    config_version: int
    document: bytes
    members: tuple[NodeRecord, ...]
    members_version: int
