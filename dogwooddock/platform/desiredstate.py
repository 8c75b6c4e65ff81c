"""Decoder of the desired state that operators write to the platform's store."""

__all__ = ["decode_desired_state", "decode_in_steps"]

import re
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..http1.server import ServerLimits
from ..jsontext import Steps, parse_json_in_steps, run_steps
from ..mesh.routing import DesiredState, MeshRoute
from ..policy.accounts import ClientAccount
from .values import FormatError, parse_duration, parse_version

# Text that a header carries unchanged: printable ASCII without spaces at its ends.
_HEADER_SAFE = r"^[!-~]([ -~]*[!-~])?$"


class _Spec(BaseModel):
    """Part of the desired state; errors never show the input, which may hold keys."""

    model_config = ConfigDict(extra="ignore", hide_input_in_errors=True)


class _SplitEntry(_Spec):
    service: str = Field(min_length=1)
    weight: float = Field(ge=0, allow_inf_nan=False)


class _RouteSpec(_Spec):
    """A route; ``slo`` is its latency objective."""

    host: str = Field(min_length=1)
    prefix: str = Field(pattern=r"^/(.*/)?$")
    kind: str
    timeout: str
    slo: str
    priority: int = 0
    attempts: int = Field(default=1, ge=1)
    service: str | None = None
    split: list[_SplitEntry] | None = None
    public: bool = False


class _ServiceSpec(_Spec):
    health_path: str = "/health"


class _AccountSpec(_Spec):
    """A client account; a rate of 0 is no limit."""

    api_keys: list[Annotated[str, Field(pattern=_HEADER_SAFE)]]
    priority: int | None = Field(default=None, ge=0)
    rate_per_s: float | None = Field(default=None, ge=0, allow_inf_nan=False)
    burst: float | None = Field(default=None, ge=0, allow_inf_nan=False)


class _LimitsSpec(_Spec):
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
        public=spec.public,
    )


def _parse_account(name: str, spec: _AccountSpec) -> ClientAccount:
    if not re.fullmatch(_HEADER_SAFE, name):
        raise FormatError(
            f"account name {name!r} cannot be sent in a header; rename it"
        )
    return ClientAccount(
        name,
        tuple(spec.api_keys),
        spec.priority,
        spec.rate_per_s or 0.0,
        spec.burst or 0.0,
    )


def _check_accounts(accounts: list[ClientAccount]) -> None:
    """Check that names are unique and that no key is held by two accounts."""
    holders: dict[str, str] = {}
    names: set[str] = set()
    for account in accounts:
        if account.name in names:
            raise FormatError(f"account {account.name} is listed twice; drop one")
        names.add(account.name)
        for key in account.api_keys:
            holder = holders.setdefault(key, account.name)
            if holder != account.name:
                raise FormatError(
                    f"accounts {holder} and {account.name} hold the same API key; "
                    "take it away from one of them"
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
    return run_steps(decode_in_steps(document))


def decode_in_steps(document: bytes) -> Steps[DesiredState]:
    """Decode a desired state; each step reads one of its resources.

    Raises:
        FormatError: The document is malformed; the message names the field.
    """
    try:
        body: dict[str, Any] = yield from parse_json_in_steps(document)
        version = parse_version(body["version"])
        routes: list[MeshRoute] = []
        health_paths: dict[str, str] = {}
        accounts: list[ClientAccount] = []
        limits = ServerLimits()
        for entry in body["resources"]:
            yield
            name = entry.get("metadata", {}).get("name", "")
            spec = entry.get("spec", {})
            if entry["type"] == "routes":
                routes.append(_parse_route(name, _RouteSpec.model_validate(spec)))
            elif entry["type"] == "services":
                health_paths[name] = _ServiceSpec.model_validate(spec).health_path
            elif entry["type"] == "tenants":
                account_spec = _AccountSpec.model_validate(spec)
                accounts.append(_parse_account(name, account_spec))
            elif entry["type"] == "limits":
                limits = _parse_limits(_LimitsSpec.model_validate(spec))
        _check_accounts(accounts)
    except UnicodeDecodeError as exc:
        # The text of this error has the whole document, with its API keys.
        raise FormatError(
            f"desired state is malformed at byte {exc.start}; write it as UTF-8"
        ) from None
    except (ValidationError, ValueError, KeyError, TypeError, AttributeError) as exc:
        raise FormatError(f"desired state is malformed: {exc!r}") from exc
    return DesiredState(
        version, tuple(routes), health_paths, limits, document, tuple(accounts)
    )
