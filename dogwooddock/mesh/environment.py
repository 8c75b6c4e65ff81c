"""What a node is told about its VM at the start."""

__all__ = ["Bounds", "NodeEnvironment"]

from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Promises of the deployment that decisions depend on.

    Args:
        drain_s: Time after which a leaving target gets no more requests.
        grace_s: Time between SIGTERM and SIGKILL.
        retry_window_s: Window of the retry budget.
        retry_ratio: Retries allowed for each request in the window.
        retry_extra: Retries allowed besides, for the whole fleet.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    retry_window_s: float = 10.0
    retry_ratio: float = 0.2
    retry_extra: float = 40.0


@dataclass(frozen=True, slots=True)
class NodeEnvironment:
    """Addresses, zone and bounds of one node.

    Args:
        name: Name of the VM.
        ip: Address of the VM.
        zone: Availability zone.
        pool: Pool of the local target.
        target: Address of the local target.
        caller_listen: Address for requests of callers and of the local target.
        ready_listen: Address for readiness probes.
        checkin_listen: Address for the local target's heartbeats.
        peer_listen: Address for links from other nodes.
        contacts: Peer addresses of a few other nodes; they may be down.
        store: Address of the platform's store.
        bounds: Promises of the deployment.
        operator_listen: Address for metrics and the state dump, or None.
    """

    name: str
    ip: str
    zone: str
    pool: str
    target: Address
    caller_listen: Address
    ready_listen: Address
    checkin_listen: Address
    peer_listen: Address
    contacts: tuple[Address, ...]
    store: Address
    bounds: Bounds
    operator_listen: Address | None = None
