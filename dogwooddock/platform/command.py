"""The command that runs a node on the platform."""

__all__ = ["app"]

import asyncio
import os
import signal
from random import Random
from typing import Annotated

import structlog
import typer

from ..errors import InvalidSettings
from ..logs import configure_rate_limited_logs
from ..mesh.node import MeshNode
from .adapter import platform_adapter
from .names import SETTINGS_VARIABLE
from .settings import SettingsFile
from .startup import NodeStart

EXIT_INVALID_SETTINGS = 2
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

# Without rich, whose import costs each node some megabytes.
app = typer.Typer(
    add_completion=False, rich_markup_mode=None, pretty_exceptions_enable=False
)


async def _run(settings_file: SettingsFile) -> None:
    try:
        await _serve(settings_file)
    finally:
        # The event loop restores the default actions, which end the process.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


async def _serve(settings_file: SettingsFile) -> None:
    started = await NodeStart(settings_file).run()
    if started is None:
        return
    env, seed = started.env, int.from_bytes(os.urandom(8), "big")
    node = MeshNode(env, platform_adapter(env, settings_file), Random(seed))
    await node.run(started.sockets)


@app.command()
def main(
    settings: Annotated[
        str, typer.Option(envvar=SETTINGS_VARIABLE, help="Path of the settings file.")
    ],
    operator_port: Annotated[
        int,
        typer.Option(
            envvar="DOGWOODDOCK_OPERATOR_PORT",
            min=0,
            max=65535,
            help="Port for metrics and the state dump; 0 for none.",
        ),
    ] = 0,
    chain_levels: Annotated[
        bool,
        typer.Option(
            envvar="DOGWOODDOCK_CHAIN_LEVELS",
            help="Refuse requests early whose calls would find no room.",
        ),
    ] = False,
    log_level: Annotated[
        str,
        typer.Option(envvar="DOGWOODDOCK_LOG_LEVEL", help="Lowest level to log."),
    ] = "info",
) -> None:
    """Serve until SIGTERM."""
    configure_rate_limited_logs(log_level)
    try:
        asyncio.run(_run(SettingsFile(settings, operator_port, chain_levels)))
    except InvalidSettings as exc:
        structlog.get_logger().error("settings_refused", error=str(exc))
        raise typer.Exit(EXIT_INVALID_SETTINGS) from exc
