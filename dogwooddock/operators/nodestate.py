"""State and controls of a node that operators use."""

__all__ = [
    "GateState",
    "GossipTraffic",
    "IngressState",
    "InspectedNode",
    "NodeHealth",
    "NodeState",
    "OutcomeCount",
]

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..policy.members import Member


@dataclass(frozen=True, slots=True)
class OutcomeCount:
    """Number of requests or attempts with one outcome; attempts have no kind."""

    outcome: str
    reason: str
    count: int
    kind: str = ""


@dataclass(frozen=True, slots=True)
class GateState:
    """State of a gate.

    Args:
        pool: Pool of its target, or empty.
        serving: Whether it has a target.
        draining: Whether it refuses new attempts.
        limit: Concurrency limit, in requests.
        in_flight: Requests that hold a slot.
        queued: Requests that wait for a slot.
        level: Admission level, in hundredths of an importance class.
        mean_service_s: Mean service time, in seconds.
        attempts: Attempts that it keeps records of.
        chains: Call chains that its target works on.
        tickets_issued: Tickets issued since the start.
        tickets_used: Used tickets that it keeps records of.
        outcomes: Attempts by outcome.
    """

    pool: str
    serving: bool
    draining: bool
    limit: int
    in_flight: int
    queued: int
    level: int
    mean_service_s: float
    attempts: int
    chains: int
    tickets_issued: int
    tickets_used: int
    outcomes: tuple[OutcomeCount, ...]


@dataclass(frozen=True, slots=True)
class IngressState:
    """State of an ingress.

    Args:
        in_flight: Requests that it runs.
        retries: Attempts that were retries.
        levels: Admission levels last reported to it, by gate or route.
        outcomes: Requests by kind and outcome.
    """

    in_flight: int
    retries: int
    levels: dict[str, int]
    outcomes: tuple[OutcomeCount, ...]


@dataclass(frozen=True, slots=True)
class NodeState:
    """State of a node.

    Args:
        name: Name of the node.
        node_id: Identifier of the node.
        zone: Availability zone.
        uptime_s: Time since the start, in seconds.
        peer: Peer address, as ``IP:PORT``.
        router: Address for routers.
        local: Address for the local target.
        config_version: Version of the configuration in force.
        routes: Number of routes in it.
        pools: Number of pools in it.
        gate: State of its gate.
        ingress: State of its ingress.
        members: All known members, including suspected and dead ones.
        marked: Number of requests with marks.
    """

    name: str
    node_id: int
    zone: str
    uptime_s: float
    peer: str
    router: tuple[str, int]
    local: tuple[str, int]
    config_version: int
    routes: int
    pools: int
    gate: GateState
    ingress: IngressState
    members: list[Member]
    marked: int


@dataclass(frozen=True, slots=True)
class GossipTraffic:
    """Messages and bytes sent."""

    messages: int
    bytes: int


@dataclass(frozen=True, slots=True)
class NodeHealth:
    """Whether a node can serve requests, and whether its gate drains."""

    ready: bool
    draining: bool


class InspectedNode(ABC):
    """A node that operators inspect and control."""

    @abstractmethod
    def state(self) -> NodeState:
        """Return the present state."""

    @abstractmethod
    def health(self) -> NodeHealth:
        """Report whether the node can serve requests."""

    @abstractmethod
    def gossip_traffic(self) -> GossipTraffic:
        """Return what gossip has sent since the start."""

    @abstractmethod
    def quarantine_statuses(self) -> dict[str, str]:
        """Return the status of each suspect or quarantined request by fingerprint."""

    @abstractmethod
    def drain(self) -> None:
        """Refuse new attempts for the local target; running ones finish."""

    @abstractmethod
    def release_quarantine(self, request: str) -> bool:
        """Release a request from quarantine on all nodes.

        Args:
            request: Fingerprint of the request.

        Returns:
            Whether the request was marked on this node.
        """
