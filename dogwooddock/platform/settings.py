"""Settings file that the platform writes for each node process."""

__all__ = ["SettingsFile", "listen_addresses", "read_settings"]

import os
from dataclasses import replace
from ipaddress import IPv4Address
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from ..errors import InvalidSettings, UnreadableSettings
from ..jsontext import parse_json
from ..listening import ListenAddress
from ..mesh.environment import Bounds, NodeEnvironment
from ..policy.descriptors import MIN_DESCRIPTORS
from ..policy.heldbytes import MIN_MEMORY_MB
from .values import FormatError, parse_address, parse_duration

_Port = Annotated[int, Field(ge=0, le=65535)]


class _Listen(BaseModel):
    """Listen addresses; ``outbound`` is for requests of local callers."""

    outbound: str
    ready: str
    control: str


class _Store(BaseModel):
    address: str


class _Limits(BaseModel):
    memory_mb: float = Field(default=256, gt=0)
    max_fds: int = Field(default=4096, ge=MIN_DESCRIPTORS)


class _SettingsSchema(BaseModel):
    model_config = ConfigDict(extra="ignore")

    node: str = Field(min_length=1)
    ip: IPv4Address
    zone: str = Field(min_length=1)
    listen: _Listen
    port_range: tuple[_Port, _Port]
    seeds: list[str] = []
    limits: _Limits = _Limits()
    heartbeat: str = "1500ms"
    bounds: list[str] = []
    app_addr: str
    service: str = Field(min_length=1)
    provider: _Store

    @field_validator("heartbeat")
    @classmethod
    def _check_heartbeat(cls, text: str) -> str:
        parse_duration(text, "heartbeat")
        return text


def _parse_flag(text: str, field: str) -> bool:
    if text not in ("true", "false"):
        raise FormatError(f"{field}: {text!r} is neither true nor false")
    return text == "true"


def _parse_bounds(entries: list[str]) -> Bounds:
    values = dict(entry.partition("=")[::2] for entry in entries)
    kwargs: dict[str, Any] = {}
    for name, field in (
        ("drain", "drain_s"),
        ("grace", "grace_s"),
        ("config", "config_s"),
        ("budget_window", "retry_window_s"),
        ("quota_window", "quota_window_s"),
    ):
        if name in values:
            kwargs[field] = parse_duration(values[name], f"bounds {name}")
    for name, field in (
        ("budget_ratio", "retry_ratio"),
        ("budget_extra", "retry_extra"),
        ("quota_excess", "quota_excess"),
        ("quota_slack", "quota_slack"),
    ):
        if name in values:
            kwargs[field] = float(values[name])
    if _parse_flag(values.get("strict_revoke", "false"), "bounds strict_revoke"):
        if "revoke" not in values:
            raise FormatError("bounds strict_revoke needs the bound revoke; add it")
        kwargs["revoke_s"] = parse_duration(values["revoke"], "bounds revoke")
        if not kwargs["revoke_s"]:
            raise FormatError("bounds revoke is 0; write a longer time")
    return Bounds(**kwargs)


def _check_memory(memory_mb: float) -> float:
    if memory_mb < MIN_MEMORY_MB:
        raise FormatError(
            f"limits.memory_mb is {memory_mb:g}, too little for the largest answer; "
            f"allow at least {MIN_MEMORY_MB:g}"
        )
    return memory_mb


def read_settings(path: str) -> NodeEnvironment:
    """Read and validate a settings file.

    Raises:
        UnreadableSettings: The file is missing or not JSON.
        InvalidSettings: The file is invalid; the message names the field and says
            how to correct it.
    """
    try:
        with open(path, "rb") as stream:
            document = parse_json(stream.read())
    except (OSError, ValueError) as exc:
        raise UnreadableSettings(f"settings file {path}: {exc}; correct it") from exc
    try:
        return _build_environment(_SettingsSchema.model_validate(document))
    except ValidationError as exc:
        error = exc.errors()[0]
        name = ".".join(str(part) for part in error["loc"])
        raise InvalidSettings(
            f"settings file {path}, field {name}: {error['msg']}; correct it"
        ) from exc
    except (ValueError, FormatError) as exc:
        raise InvalidSettings(f"settings file {path}: {exc}; correct it") from exc


def listen_addresses(env: NodeEnvironment) -> list[ListenAddress]:
    """Return the addresses that a node listens on, with the settings that name them."""
    addresses = [
        ListenAddress("peer", "ip and port_range", env.peer_listen),
        ListenAddress("heartbeat", "listen.control", env.heartbeat_listen),
        ListenAddress("ready", "listen.ready", env.ready_listen),
        ListenAddress("caller", "listen.outbound", env.caller_listen),
    ]
    if env.operator_listen is not None:
        operator = ListenAddress("operator", "--operator-port", env.operator_listen)
        addresses.append(operator)
    return addresses


class SettingsFile:
    """Read the settings file of this process and detect changes to it.

    Args:
        path: Path of the file.
        operator_port: Port for metrics and the state dump; 0 for none.
        chain_levels: Whether to refuse requests whose runs could not be completed.
    """

    def __init__(self, path: str, operator_port: int = 0, chain_levels: bool = False):
        self._path = path
        self._operator_port = operator_port
        self._chain_levels = chain_levels
        self._last_stat = ""

    def read(self) -> NodeEnvironment:
        """Read and validate the file.

        Raises:
            InvalidSettings: The file is invalid; the message names the field and
                says how to correct it.
        """
        self._last_stat = self._stat()
        env = replace(read_settings(self._path), chain_levels=self._chain_levels)
        if not self._operator_port:
            return env
        return replace(env, operator_listen=(env.ip, self._operator_port))

    def changed(self) -> bool:
        """Report whether the file changed since the last ``read``."""
        return self._stat() != self._last_stat

    def _stat(self) -> str:
        """Return modification time, size and inode; empty if the file is missing."""
        try:
            status = os.stat(self._path)
        except OSError:
            return ""
        return f"{status.st_mtime_ns}/{status.st_size}/{status.st_ino}"


def _build_environment(parsed: _SettingsSchema) -> NodeEnvironment:
    return NodeEnvironment(
        name=parsed.node,
        ip=str(parsed.ip),
        zone=parsed.zone,
        pool=parsed.service,
        target=parse_address(parsed.app_addr, "app_addr"),
        caller_listen=parse_address(parsed.listen.outbound, "listen.outbound"),
        ready_listen=parse_address(parsed.listen.ready, "listen.ready"),
        heartbeat_listen=parse_address(parsed.listen.control, "listen.control"),
        peer_listen=(str(parsed.ip), parsed.port_range[0]),
        contacts=tuple(
            (parse_address(seed, "seeds")[0], parsed.port_range[0])
            for seed in parsed.seeds
        ),
        store=parse_address(parsed.provider.address, "provider.address"),
        bounds=_parse_bounds(parsed.bounds),
        memory_mb=_check_memory(parsed.limits.memory_mb),
        max_fds=parsed.limits.max_fds,
    )
