"""Messages between an ingress and the gate of a target."""

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
    """One attempt of a request, addressed to one target.

    Args:
        request_id: Identifier that the caller gave the request.
        route: Name of the route.
        target_id: Identifier of the target that is to run it.
        method: HTTP method.
        path: Path and query as received.
        headers: Rendered headers to forward.
        body: Complete body.
        deadline: Loop time after which the answer is useless, in seconds.
        idempotent: Whether the request may run more than once.
        importance: 0 (least) to 9 (most).
        depth: Number of upstream calls in its chain; 0 for a caller's request.
        caller: Pool of the VM whose ingress sent the call.
        fingerprint: Hash that identifies the request across resends.
        rank: Rank of the chain's first request, in hundredths of an importance
            class; the same on every hop.
        repeat: Whether this attempt or an upstream call is a retry that was charged to
            a retry budget.
        rate_limit: Requests a second that the target accepts, as far as the sender
            knows; 0 for no limit. A gate that has restarted may not know it.
        account: Account of the chain's first request; empty if there is none.
        objective: Loop time after which the answer is late, in seconds; None if the
            sender does not tell.
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
    rate_limit: float = 0.0
    account: str = ""
    objective: float | None = None


@dataclass(frozen=True, slots=True)
class GateLoad:
    """Load of a gate, attached to each reply.

    Args:
        limit: Requests that its target may run at once; 0 while the gate has no
            target that it can reach.
        in_flight: Requests that hold a slot of the target.
        queued: Requests that wait for a slot.
        level: Admission level, in hundredths of an importance class.
        wait_s: Expected wait of a new request, in seconds.
        accepting: Whether the gate accepts new calls.
        service_s: Mean service time of the kind of call that is answered, over the
            calls of all nodes, in seconds; 0 if unknown.
        rate_limit: Requests a second that the target accepts; 0 for no limit.
    """

    limit: int = 0
    in_flight: int = 0
    queued: int = 0
    level: int = 0
    wait_s: float = 0.0
    accepting: bool = False
    service_s: float = 0.0
    rate_limit: float = 0.0


@dataclass(slots=True)
class MeshReply:
    """Result of an attempt.

    Args:
        outcome: Answered, not-run or unknown.
        reason: Why the attempt failed, or why its answer reports a failure.
        status: HTTP status, if it was answered.
        headers: Rendered headers, if it was answered.
        body: Complete body, if it was answered.
        reached: Whether any part of the request may have reached a target.
        load: Load of the gate when it replied.
        below_level: Highest admission level reported for the downstream calls of the
            attempt, in hundredths of an importance class.
        chain_level: Rank below which runs of the route, or of a downstream route, are
            not started, because their calls would find no room.
        idle_close: Whether the target closed a kept connection when the request
            arrived, so that the same target may be tried again.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    reached: bool = False
    load: GateLoad = field(default_factory=GateLoad)
    below_level: int = 0
    chain_level: int = 0
    idle_close: bool = False


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """State of a node and its target, as the node publishes it.

    Args:
        address: Peer address of the node.
        zone: Availability zone.
        pool: Pool of its target.
        target_id: Identifier of its target.
        born_ms: Start time of the target, in Unix milliseconds.
        sequence: Sequence number of the target's message that the record reflects.
        slots: Requests that the target runs at once.
        state: State of the target.
        cold_s: Warm-up time that the target had left when the record was made, in
            seconds.
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
        """Report whether this record replaces another of the same address.

        The later start of a target wins. For the same start, another target replaces
        only one that is gone, and one target's records are ordered by state, then
        sequence.
        """
        if self.born_ms != other.born_ms:
            return self.born_ms > other.born_ms
        if self.target_id != other.target_id:
            return other.state is TargetState.GONE
        return (self.state, self.sequence) > (other.state, other.sequence)


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """Configuration and members that one node sends to another.

    Args:
        config_version: Version of the configuration; 0 if there is none.
        document: The configuration as stored.
        members: Node records.
        members_version: Position of the store (era and version) at which the records
            were read, in an answer; 0 in others.
        members_since: Position up to which a node has to know the records so that it
            knows them up to ``members_until`` with this update.
        members_until: Position up to which all changes are in this update; 0 if that
            is not known.
    """

    config_version: int
    document: bytes = field(repr=False)
    members: tuple[NodeRecord, ...]
    members_version: int
    members_since: int = 0
    members_until: int = 0
