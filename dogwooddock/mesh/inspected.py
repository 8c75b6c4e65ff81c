"""What operators may see of a node."""

__all__ = ["InspectedNode"]

from abc import ABC, abstractmethod

from ..peers.traffic import TrafficAccount
from ..policy.descriptors import ConnectionLimits
from ..policy.heldbytes import HeldBytes
from .announcer import Announcer
from .config import ConfigHolder
from .configproofs import ConfigProofs
from .environment import NodeEnvironment
from .fleet import Fleet
from .gate import Gate
from .ingress import Ingress
from .marks import MarkExchange
from .quotas import Quotas
from .rows import RowStore


class InspectedNode(ABC):
    """The components of a node that metrics, state dump and placement reports read."""

    env: NodeEnvironment
    config: ConfigHolder
    config_proofs: ConfigProofs | None
    traffic: TrafficAccount
    memory: HeldBytes
    connection_limits: ConnectionLimits
    marks: MarkExchange
    gate: Gate
    fleet: Fleet
    ingress: Ingress
    quotas: Quotas
    announcer: Announcer

    @property
    @abstractmethod
    def store(self) -> RowStore:
        """Return the platform's store."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Report whether requests can be served, and the node is not stopping."""

    @abstractmethod
    def accepted_connections(self) -> dict[str, int]:
        """Return the connections that were accepted since the start, by purpose."""

    @abstractmethod
    def now(self) -> float:
        """Return the loop's time, in seconds."""
