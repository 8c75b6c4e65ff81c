"""Run a node on the platform."""

import asyncio
import os
import sys
from random import Random

import structlog

from ..errors import InvalidSettings
from ..logs import configure_bounded_logs
from ..mesh.node import MeshNode
from .names import SETTINGS_VARIABLE
from .parts import platform_parts
from .settings import read_settings

EXIT_SETTINGS = 2


async def _serve() -> None:
    env = read_settings(os.environ.get(SETTINGS_VARIABLE, ""))
    configure_bounded_logs("info", node=env.name)
    seed = int.from_bytes(os.urandom(8), "big")
    await MeshNode(env, platform_parts(env), Random(seed)).run()


def main() -> int:
    """Serve until SIGTERM; return the exit code."""
    try:
        asyncio.run(_serve())
    except InvalidSettings as exc:
        structlog.get_logger().error("settings_refused", error=str(exc))
        return EXIT_SETTINGS
    return 0


if __name__ == "__main__":
    sys.exit(main())
