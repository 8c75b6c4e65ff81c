"""Command line interface.

Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid tables, 4 conflict with
another edit, 5 platform unavailable.
"""

__all__ = ["app", "main"]

import getpass
import json
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import typer

from .. import __version__, porcelain
from ..errors import (
    ConfigConflict,
    DogwooddockError,
    InvalidSettings,
    InvalidTables,
    PlatformError,
)
from ..logs import configure_logs
from ..settings import ENVIRONMENT_PREFIX, NodeSettings, validate_settings
from ..tables import RowChange, Tables

EXIT_CODES: tuple[tuple[type[DogwooddockError], int], ...] = (
    (InvalidSettings, 2),
    (InvalidTables, 3),
    (ConfigConflict, 4),
    (PlatformError, 5),
    (DogwooddockError, 1),
)

app = typer.Typer(
    help="Overload control layer for service call graphs.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
quarantine_app = typer.Typer(
    help="Requests that make targets crash.", no_args_is_help=True
)
app.add_typer(quarantine_app, name="quarantine")

Folder = Annotated[Path, typer.Argument(help="Folder with routes.toml and pools.toml.")]
PlatformUrl = Annotated[
    str,
    typer.Option("--platform-url", envvar="DOGWOODDOCK_PLATFORM_URL", help="Base URL."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Address = Annotated[str, typer.Argument(help="IP:PORT of a node's admin port.")]


def _setting_option(name: str, help_text: str) -> Any:
    flag = "--" + name.replace("_", "-")
    return typer.Option(flag, envvar=ENVIRONMENT_PREFIX + name.upper(), help=help_text)


@app.command()
def node(
    name: Annotated[str, _setting_option("name", "Name of the node.")],
    zone: Annotated[str, _setting_option("zone", "Availability zone.")],
    router_listen: Annotated[
        str, _setting_option("router_listen", "IP:PORT for routers.")
    ] = "127.0.0.1:0",
    local_listen: Annotated[
        str, _setting_option("local_listen", "IP:PORT for the local target.")
    ] = "127.0.0.1:0",
    peer_listen: Annotated[
        str, _setting_option("peer_listen", "IP:PORT for nodes, TCP and UDP.")
    ] = "127.0.0.1:0",
    admin_listen: Annotated[
        str, _setting_option("admin_listen", "IP:PORT for operators.")
    ] = "127.0.0.1:0",
    platform_url: Annotated[
        str, _setting_option("platform_url", "Base URL of the platform.")
    ] = "",
    contacts: Annotated[
        str, _setting_option("contacts", "Peer addresses, separated by commas.")
    ] = "",
    threads: Annotated[
        int, _setting_option("threads", "Requests served at once.")
    ] = 128,
    max_body_bytes: Annotated[
        int, _setting_option("max_body_bytes", "Largest body in bytes.")
    ] = 8 * 1024 * 1024,
    idle_timeout_s: Annotated[
        float,
        _setting_option("idle_timeout_s", "Longest silence of a sender, seconds."),
    ] = 10.0,
    max_connections: Annotated[
        int,
        _setting_option("max_connections", "Open connections of a port at most."),
    ] = 4096,
    memory_mb: Annotated[
        float, _setting_option("memory_mb", "Memory of the process, megabytes.")
    ] = 256.0,
    drain_timeout_s: Annotated[
        float, _setting_option("drain_timeout_s", "Longest planned stop, seconds.")
    ] = 30.0,
    poll_period_s: Annotated[
        float,
        _setting_option("poll_period_s", "Pause between reads of the store, seconds."),
    ] = 1.0,
    limit_mode: Annotated[
        str, _setting_option("limit_mode", "adaptive or static.")
    ] = "adaptive",
    log_level: Annotated[
        str, _setting_option("log_level", "debug, info, warning or error.")
    ] = "info",
    seed: Annotated[
        int, _setting_option("seed", "Seed of random choices; 0: any.")
    ] = 0,
) -> None:
    """Run a node beside a target until SIGTERM."""
    values = {key: value for key, value in locals().items()}
    settings = _run_or_exit(lambda: validate_settings(values))
    _run_node(settings)


def _run_node(settings: NodeSettings) -> None:
    from ..node import Node
    from .signals import NodeSignals
    from .startup import NodeStart

    configure_logs(settings.log_level, name=settings.name)
    signals = NodeSignals()
    try:
        start = _run_or_exit(lambda: NodeStart(settings, signals))
        sockets = _run_or_exit(start.reserve_addresses)
        if sockets is None:
            return
        running_node = _run_or_exit(lambda: Node(settings, sockets=sockets))
        running_node.start()
        signals.wait_for_stop()
        running_node.stop()
    finally:
        signals.ignore()


@app.command()
def check(folder: Folder, as_json: AsJson = False) -> None:
    """Check the tables of a folder."""
    tables = _run_or_exit(lambda: porcelain.check_tables(folder))
    if as_json:
        print(tables.dumps())
    else:
        print(f"{len(tables.routes)} routes and {len(tables.pools)} pools are correct")


@app.command()
def diff(folder: Folder, platform_url: PlatformUrl, as_json: AsJson = False) -> None:
    """Show what an apply would change."""
    version, changes = _run_or_exit(lambda: porcelain.diff_tables(folder, platform_url))
    _print_changes(version, changes, as_json)


@app.command()
def apply(
    folder: Folder,
    platform_url: PlatformUrl,
    author: Annotated[str, typer.Option(help="Name of the operator.")] = "",
    base: Annotated[
        int | None, typer.Option(help="Version that was edited; default: newest.")
    ] = None,
    edit_id: Annotated[str, typer.Option(help="Repeat an earlier edit.")] = "",
    as_json: AsJson = False,
) -> None:
    """Make the tables of a folder the newest version."""
    applied = _run_or_exit(
        lambda: porcelain.apply_tables(
            folder, platform_url, author or getpass.getuser(), base, edit_id
        )
    )
    if as_json:
        print(json.dumps(asdict(applied)))
        return
    print(f"version {applied.version} is accepted (edit {applied.edit_id})")
    _print_changes(applied.version, applied.changes, False)


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Identity of the request.")],
    logs: Annotated[list[Path], typer.Argument(help="Logs, one of each node.")],
    account: Annotated[
        str, typer.Option(help="Client account, if the request has no line.")
    ] = "",
) -> None:
    """Show what the logs say about a request and the calls of its run."""
    found = _run_or_exit(lambda: porcelain.explain_from_logs(request_id, logs, account))
    for line in found.lines:
        print(line.text)
    for cause in found.causes:
        print(cause)
    if not found.lines and not found.causes:
        print(f"no line about {request_id}; look in the logs of more nodes")
        print("if it was answered 429, pass its client account with --account")
        if found.left_out:
            print(f"the nodes left {found.left_out} lines out")
        raise typer.Exit(1)


@app.command()
def show(platform_url: PlatformUrl, as_json: AsJson = False) -> None:
    """Show the newest tables."""
    tables = _run_or_exit(lambda: porcelain.show_tables(platform_url))
    if as_json:
        print(tables.dumps())
    else:
        _print_tables(tables)


@app.command()
def history(
    platform_url: PlatformUrl,
    after: Annotated[int, typer.Option(help="Show edits after this version.")] = 0,
    as_json: AsJson = False,
) -> None:
    """Show the accepted edits."""
    edits = _run_or_exit(lambda: porcelain.show_history(platform_url, after))
    for edit in edits:
        if as_json:
            print(edit.dumps())
            continue
        rows = ", ".join(f"{change.table}/{change.name}" for change in edit.changes)
        print(f"{edit.version:>6}  {edit.author:<16} {edit.edit_id[:12]:<12}  {rows}")


@app.command()
def state(address: Address) -> None:
    """Print the state dump of a node as JSON."""
    document = _run_or_exit(lambda: porcelain.fetch_state(address))
    print(json.dumps(document, indent=2))


@app.command()
def where(
    address: Address,
    host: Annotated[str, typer.Argument(help="Host that the request names.")],
    path: Annotated[str, typer.Argument(help="Path of the request.")],
    account: Annotated[str, typer.Option(help="Name of the client account.")] = "",
    as_json: AsJson = False,
) -> None:
    """Show where a node would send a request now, and why, without sending it."""
    answer = _run_or_exit(lambda: porcelain.where_to(address, host, path, account))
    if as_json:
        print(json.dumps(answer))
    else:
        _print_placement(answer)


@quarantine_app.command("list")
def quarantine_list(address: Address) -> None:
    """List marked requests."""
    statuses = _run_or_exit(lambda: porcelain.quarantine_list(address))
    for request, status in statuses.items():
        print(f"{request}  {status}")


@quarantine_app.command("release")
def quarantine_release(
    address: Address,
    request: Annotated[str, typer.Argument(help="Fingerprint from the list.")],
) -> None:
    """Release a request in the whole fleet."""
    released = _run_or_exit(lambda: porcelain.quarantine_release(address, request))
    print("released" if released else "not marked")


@app.command()
def version() -> None:
    """Print the version."""
    print(__version__)


def _print_changes(
    version_: int, changes: tuple[RowChange, ...], as_json: bool
) -> None:
    if as_json:
        rows = [asdict(change) for change in changes]
        print(json.dumps({"version": version_, "changes": rows}))
        return
    for change in changes:
        sign = "-" if change.row is None else "~"
        print(f"{sign} {change.table}/{change.name}")


def _print_placement(answer: dict[str, Any]) -> None:
    print(
        f"route {answer['route']} -> pool {answer['pool']} "
        f"-> target {answer['chosen'] or '(none)'}, version {answer['config_version']}"
    )
    quota = answer["quota"]
    if quota is not None:
        source = "own part" if quota["own_part"] else f"owner {quota['owner']}"
        print(
            f"account {quota['account']}: {quota['rate_per_s']:g} requests/s, "
            f"burst {quota['burst']:g}; {quota['tokens']} tokens here, "
            f"{quota['tokens_age_s']}s old, {source}"
        )
    refusal = answer["refusal"]
    if refusal is not None:
        print(
            f"refused now: {refusal['share']:.0%} of such requests, "
            f"{refusal['status']} {refusal['reason']}"
        )
    for target in answer["targets"]:
        age = "never" if target["age_s"] is None else f"{target['age_s']:.2f}s"
        print(
            f"{target['target'] or '(gone)':<16} {target['zone']:<10} age={age:<7} "
            f"load={target['load']}/{target['limit']} own={target['outstanding']} "
            f"share={target['share']} cost={target['cost_s']}s: {target['why']}"
        )


def _print_tables(tables: Tables) -> None:
    print(f"version {tables.version}")
    for pool in tables.pools:
        print(
            f"pool  {pool.name:<12} slots={pool.slots} connections={pool.connections}"
        )
    for route in tables.routes:
        print(
            f"route {route.name:<20} {route.caller:<14} {route.method:<5} "
            f"{route.path:<24} -> {route.pool} importance={route.importance} "
            f"idempotent={str(route.idempotent).lower()}"
        )


def _run_or_exit(function: Callable[[], Any]) -> Any:
    """Return the result; on an error print it and exit with its code."""
    try:
        return function()
    except DogwooddockError as exc:
        print(f"dogwooddock: {exc}", file=sys.stderr)
        code = next(
            code for error_type, code in EXIT_CODES if isinstance(exc, error_type)
        )
        raise typer.Exit(code) from exc


def main() -> None:
    """Run the command line."""
    app()
