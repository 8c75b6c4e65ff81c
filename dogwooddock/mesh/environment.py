"""Settings of one node: its addresses, its zone and limits of the deployment."""

__all__ = ["Bounds", "NodeEnvironment"]

from dataclasses import dataclass

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits and retry allowance that the deployment guarantees.

    Args:
        drain_s: Time after which a draining target gets no more requests, in seconds.
        grace_s: Time between SIGTERM and SIGKILL, in seconds.
        config_s: Time after which a new configuration is in force everywhere, in
            seconds.
        retry_window_s: Window of the retry budget, in seconds.
        retry_ratio: Retries allowed per request in the window.
        retry_extra: Additional retries allowed for the whole fleet.
        revoke_s: Time after the acknowledgement of a version from which the API keys
            that it withdrew do not work anywhere, in seconds; None if not guaranteed.
        quota_window_s: Window of the quotas of client accounts, in seconds.
        quota_excess: Share of a quota that may run beyond it in the window.
        quota_slack: Requests that may run beyond a quota in addition.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    config_s: float = 2.0
    retry_window_s: float = 10.0
    retry_ratio: float = 0.2
    retry_extra: float = 40.0
    revoke_s: float | None = None
    quota_window_s: float = 5.0
    quota_excess: float = 0.1
    quota_slack: float = 20.0


@dataclass(frozen=True, slots=True)
class NodeEnvironment:
    """Name, addresses and deployment limits of one node.

    Args:
        name: Name of the VM.
        ip: IP address of the VM.
        zone: Availability zone.
        pool: Pool of the local target.
        target: Address of the local target.
        caller_listen: Address for requests from callers and from the local target.
        ready_listen: Address for readiness probes.
        heartbeat_listen: Address for the local target's heartbeats.
        peer_listen: Address for links from other nodes.
        contacts: Peer addresses of some other nodes to connect to at startup; they may
            be down.
        store: Address of the platform's store.
        bounds: Limits of the deployment.
        operator_listen: Address for metrics and the state dump, or None.
        chain_levels: Whether to refuse requests whose runs could not be completed.
        memory_mb: Memory that the process may use, in megabytes.
        max_fds: Descriptors that the process may open.
    """

    name: str
    ip: str
    zone: str
    pool: str
    target: Address
    caller_listen: Address
    ready_listen: Address
    heartbeat_listen: Address
    peer_listen: Address
    contacts: tuple[Address, ...]
    store: Address
    bounds: Bounds
    operator_listen: Address | None = None
    chain_levels: bool = False
    memory_mb: float = 300.0
    max_fds: int = 4096
