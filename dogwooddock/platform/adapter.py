"""Adapter that connects a node to the platform."""

__all__ = ["platform_adapter"]

from ..http1.messages import Request
from ..mesh.environment import NodeEnvironment
from ..mesh.node import PlatformAdapter
from ..policy.lifetimes import Heartbeat
from .desiredstate import decode_in_steps
from .headers import PlatformHeaders
from .heartbeats import decode_heartbeat, decode_leave, parse_rpc
from .names import OPERATOR_KEY, OPERATOR_TABLE, READY_PATH
from .settings import SettingsFile
from .store import StoreClient


def _read_heartbeat(request: Request) -> Heartbeat | tuple[str, int, int]:
    """Decode a heartbeat, or a leave message as (target id, start, sequence)."""
    call, target_id = parse_rpc(request)
    if call == "heartbeat":
        return decode_heartbeat(target_id, request.body)
    return (target_id, *decode_leave(request.body))


def platform_adapter(env: NodeEnvironment, settings: SettingsFile) -> PlatformAdapter:
    """Return the platform adapter for a node."""
    return PlatformAdapter(
        store=StoreClient(env.store),
        wire=PlatformHeaders(),
        decode_config=decode_in_steps,
        config_row=(OPERATOR_TABLE, OPERATOR_KEY),
        read_heartbeat=_read_heartbeat,
        ready_path=READY_PATH,
        read_environment=settings.read,
        settings_changed=settings.changed,
    )
