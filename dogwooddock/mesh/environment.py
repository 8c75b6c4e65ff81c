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
        config_s: Time in which a configuration is in force.
        ack_s: Time in which a leaving target is acknowledged.
        stability_s: Time after a fault until timed promises hold again.
        retry_window_s: Window of the retry budget.
        retry_ratio: Retries allowed for each request in the window.
        retry_extra: Retries allowed besides, for the whole fleet.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    config_s: float = 2.0
    ack_s: float = 4.0
    stability_s: float = 3.0
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
        heartbeat_s: Period of the target's heartbeats, in seconds.
        memory_mb: Memory that the process may use, in MB.
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
    heartbeat_s: float
    memory_mb: float
    bounds: Bounds
    operator_listen: Address | None = None
