"""Settings of a node, from flags and environment variables."""

__all__ = ["NodeSettings", "listen_addresses", "parse_address", "validate_settings"]

import ipaddress
import socket
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from .errors import InvalidSettings
from .listening import ListenAddress

ENVIRONMENT_PREFIX = "DOGWOODDOCK_"


def parse_address(text: str) -> tuple[str, int]:
    """Parse an ``IP:PORT`` pair.

    Raises:
        ValueError: The text is not an IP address and a port.
    """
    host, _, port = text.rpartition(":")
    address = ipaddress.ip_address(host.strip("[]"))
    port_number = int(port)
    if not 0 <= port_number <= 65535:
        raise ValueError("port must be between 0 and 65535")
    return str(address), port_number


class NodeSettings(BaseModel):
    """Validated settings of a node."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1, max_length=64)
    zone: str = Field(min_length=1, max_length=64)
    router_listen: str = "127.0.0.1:0"
    local_listen: str = "127.0.0.1:0"
    peer_listen: str = "127.0.0.1:0"
    admin_listen: str = "127.0.0.1:0"
    platform_url: str = ""
    contacts: str = ""
    threads: int = Field(default=128, ge=4, le=4096)
    max_body_bytes: int = Field(default=8 * 1024 * 1024, ge=1024)
    idle_timeout_s: float = Field(default=10.0, gt=0, le=600)
    max_connections: int = Field(default=4096, ge=16, le=100_000)
    memory_mb: float = Field(default=256, ge=160)
    drain_timeout_s: float = Field(default=30.0, ge=0, le=3600)
    poll_period_s: float = Field(default=1.0, gt=0, le=60)
    limit_mode: str = Field(default="adaptive", pattern="^(adaptive|static)$")
    log_level: str = Field(default="info", pattern="^(debug|info|warning|error)$")
    seed: int = Field(default=0, ge=0)

    @field_validator("router_listen", "local_listen", "peer_listen", "admin_listen")
    @classmethod
    def _check_address(cls, text: str) -> str:
        parse_address(text)
        return text

    @field_validator("contacts")
    @classmethod
    def _check_contacts(cls, text: str) -> str:
        for part in filter(None, text.split(",")):
            parse_address(part)
        return text

    @field_validator("platform_url")
    @classmethod
    def _check_url(cls, text: str) -> str:
        if text and not text.startswith(("http://", "https://")):
            raise ValueError("start the URL with http:// or https://")
        return text

    @property
    def contact_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses in ``contacts`` as pairs of IP address and port."""
        return [parse_address(part) for part in filter(None, self.contacts.split(","))]


def validate_settings(values: dict[str, Any]) -> NodeSettings:
    """Validate settings that come from flags and environment variables.

    Raises:
        InvalidSettings: A value is invalid; the message names its flag, its
            environment variable and the first error found.
    """
    try:
        return NodeSettings.model_validate(values)
    except ValidationError as exc:
        error = exc.errors()[0]
        name = str(error["loc"][0]) if error["loc"] else "settings"
        flag = "--" + name.replace("_", "-")
        variable = ENVIRONMENT_PREFIX + name.upper()
        value = repr(values.get(name))
        message = f"{flag} (or {variable}) is {value}: {error['msg']}; correct it"
        raise InvalidSettings(message) from exc


def listen_addresses(settings: NodeSettings) -> list[ListenAddress]:
    """Return the addresses that a node listens on, with the flags that name them."""
    peer = parse_address(settings.peer_listen)
    flag = "--peer-listen"
    return [
        ListenAddress("peer", flag, peer),
        ListenAddress("gossip", flag, peer, socket.SOCK_DGRAM, port_of="peer"),
        ListenAddress("admin", "--admin-listen", parse_address(settings.admin_listen)),
        ListenAddress("local", "--local-listen", parse_address(settings.local_listen)),
        ListenAddress(
            "router", "--router-listen", parse_address(settings.router_listen)
        ),
    ]
