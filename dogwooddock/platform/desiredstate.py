"""Decoder of the desired state that operators write to the platform's store."""

__all__ = ["decode_desired_state"]

import json
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..http1.server import ServerLimits
from ..mesh.routing import DesiredState, MeshRoute
from .values import FormatError, parse_duration, parse_version


class _SplitEntry(BaseModel):
    service: str = Field(min_length=1)
    weight: float = Field(ge=0)


class _RouteSpec(BaseModel):
    """A route; ``slo`` is its latency objective."""

    model_config = ConfigDict(extra="ignore")

    host: str = Field(min_length=1)
    prefix: str = Field(pattern=r"^/(.*/)?$")
    kind: str
    timeout: str
    slo: str
    priority: int = 0
    attempts: int = Field(default=1, ge=1)
    service: str | None = None
    split: list[_SplitEntry] | None = None


class _ServiceSpec(BaseModel):
    model_config = ConfigDict(extra="ignore")

    health_path: str = "/health"


class _LimitsSpec(BaseModel):
    model_config = ConfigDict(extra="ignore")

    max_header_bytes: int = Field(default=16384, gt=0)
    max_body_bytes: int = Field(default=64 * 1024 * 1024, gt=0)
    header_timeout: str = "3000ms"
    idle_timeout: str = "15000ms"


def _parse_route(name: str, spec: _RouteSpec) -> MeshRoute:
    if spec.split:
        pools = tuple((entry.service, entry.weight) for entry in spec.split)
    elif spec.service:
        pools = ((spec.service, 1.0),)
    else:
        raise FormatError(f"route {name} has neither service nor split; add one")
    return MeshRoute(
        name=name,
        host=spec.host,
        prefix=spec.prefix,
        idempotent=spec.kind == "idempotent",
        timeout_s=parse_duration(spec.timeout, f"route {name} timeout"),
        objective_s=parse_duration(spec.slo, f"route {name} slo"),
        priority=spec.priority,
        attempts=spec.attempts,
        pools=pools,
    )


def _parse_limits(spec: _LimitsSpec) -> ServerLimits:
    return ServerLimits(
        spec.max_header_bytes,
        spec.max_body_bytes,
        parse_duration(spec.header_timeout, "header_timeout"),
        parse_duration(spec.idle_timeout, "idle_timeout"),
    )


def decode_desired_state(document: bytes) -> DesiredState:
    """Decode a desired state.

    Raises:
        FormatError: The document is malformed; the message names the field.
    """
    try:
        body: dict[str, Any] = json.loads(document)
        version = parse_version(body["version"])
        routes: list[MeshRoute] = []
        health_paths: dict[str, str] = {}
        limits = ServerLimits()
        for entry in body["resources"]:
            name = entry.get("metadata", {}).get("name", "")
            spec = entry.get("spec", {})
            if entry["type"] == "routes":
                routes.append(_parse_route(name, _RouteSpec.model_validate(spec)))
            elif entry["type"] == "services":
                health_paths[name] = _ServiceSpec.model_validate(spec).health_path
            elif entry["type"] == "limits":
                limits = _parse_limits(_LimitsSpec.model_validate(spec))
    except (ValidationError, ValueError, KeyError, TypeError, AttributeError) as exc:
        raise FormatError(f"desired state is malformed: {exc!r}") from exc
    return DesiredState(version, tuple(routes), health_paths, limits, document)
