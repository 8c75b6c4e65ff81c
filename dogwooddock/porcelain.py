"""Functions that implement the commands of the CLI.

On failure they raise a ``DogwooddockError`` whose message says what to correct.
"""

__all__ = [
    "AppliedEdit",
    "Explanation",
    "apply_tables",
    "check_tables",
    "diff_tables",
    "explain_from_logs",
    "fetch_state",
    "quarantine_list",
    "quarantine_release",
    "show_history",
    "show_tables",
    "where_to",
]

import json
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import urllib3

from .config.store import ConfigStore
from .errors import DogwooddockError, InvalidTables, RowProblem
from .operators.explain import (
    LogLine,
    explain_request,
    lines_left_out,
    parse_lines,
)
from .operators.refusals import explain_refusal
from .store.http import HttpObjectStore, HttpTableService
from .tablefiles import parse_tables
from .tables import Edit, RowChange, Tables, changes_between

ADMIN_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class AppliedEdit:
    """Result of an accepted edit.

    Args:
        version: Newest version in the store after the edit.
        edit_id: Identifier of the edit; a retry passes it again, so that an edit that
            was already accepted is not applied twice.
        changes: Rows that the edit changed.
    """

    version: int
    edit_id: str
    changes: tuple[RowChange, ...]


def check_tables(folder: Path) -> Tables:
    """Read and validate ``routes.toml`` and ``pools.toml`` in a folder.

    Raises:
        InvalidTables: A file is missing or unreadable, or a row is invalid.
    """
    texts = []
    for name in ("routes", "pools"):
        path = folder / f"{name}.toml"
        try:
            texts.append(path.read_text())
        except OSError as exc:
            remedy = f"create {path} and make it readable"
            raise InvalidTables([RowProblem(name, "-", "-", remedy)]) from exc
    return parse_tables(*texts)


def _open_store(platform_url: str) -> ConfigStore:
    return ConfigStore(HttpTableService(platform_url), HttpObjectStore(platform_url))


def diff_tables(folder: Path, platform_url: str) -> tuple[int, tuple[RowChange, ...]]:
    """Compare the tables in a folder with the newest version in the store.

    Returns:
        The newest version in the store and the rows that ``apply`` would change.
    """
    desired = check_tables(folder)
    current = _open_store(platform_url).load()
    return current.version, changes_between(current, desired)


def apply_tables(
    folder: Path,
    platform_url: str,
    author: str,
    base: int | None = None,
    edit_id: str = "",
) -> AppliedEdit:
    """Validate the tables in a folder and store them as the newest version.

    Args:
        folder: Folder with ``routes.toml`` and ``pools.toml``.
        platform_url: Base URL of the platform.
        author: Name of the operator.
        base: Version that was edited; by default the newest one.
        edit_id: Identifier of an earlier attempt at the same edit; by default a new
            one.

    Raises:
        InvalidTables: A file is missing or unreadable, or a row is invalid.
        ConfigConflict: Another edit was accepted after ``base``.
    """
    desired = check_tables(folder)
    store = _open_store(platform_url)
    identifier = edit_id or uuid.uuid4().hex
    current = store.load()
    base_version = current.version if base is None else base
    after = store.apply(desired, base_version, identifier, author)
    return AppliedEdit(after.version, identifier, changes_between(current, desired))


def show_tables(platform_url: str) -> Tables:
    """Return the newest tables in the store."""
    return _open_store(platform_url).load()


def show_history(platform_url: str, after: int) -> list[Edit]:
    """Return the accepted edits after a version, oldest first."""
    return _open_store(platform_url).edits_after(after)


def fetch_state(address: str) -> dict[str, Any]:
    """Return the state dump of the node whose admin port is at ``address``."""
    return _request_admin("GET", address, "/state")


def where_to(address: str, host: str, path: str, account: str) -> dict[str, Any]:
    """Return where a node would send a request now, and why; nothing is sent on.

    Raises:
        DogwooddockError: No route or account fits, or the node does not answer.
    """
    fields = {"host": host, "path": path, "account": account}
    answer = _request_admin("GET", address, f"/where?{urlencode(fields)}")
    if "error" in answer:
        raise DogwooddockError(answer["error"])
    return answer


def quarantine_list(address: str) -> dict[str, str]:
    """Return the suspected and quarantined requests by fingerprint."""
    return _request_admin("GET", address, "/quarantine")


def quarantine_release(address: str, request: str) -> bool:
    """Release a request on all nodes; return whether it was marked."""
    return _request_admin("DELETE", address, f"/quarantine/{request}")["released"]


def _request_admin(method: str, address: str, path: str) -> Any:
    url = f"http://{address}{path}"
    pool = urllib3.PoolManager(retries=False, timeout=ADMIN_TIMEOUT_S)
    try:
        response = pool.request(method, url)
    except urllib3.exceptions.HTTPError as exc:
        text = f"no response from {address}; check that it is a node's admin port"
        raise DogwooddockError(text) from exc
    try:
        return json.loads(response.data)
    except ValueError as exc:
        text = (
            f"{address} has no {path.partition('?')[0]}; update the node or ask another"
        )
        raise DogwooddockError(text) from exc


@dataclass(frozen=True, slots=True)
class Explanation:
    """Log lines about a request, and the causes found in them.

    Args:
        lines: Log lines about it and its call chain, in order of time.
        causes: Why it was answered 401 or 429; empty for other answers.
        left_out: Number of log lines that nodes dropped at their rate limit.
    """

    lines: tuple[LogLine, ...]
    causes: tuple[str, ...]
    left_out: int


def explain_from_logs(
    request_id: str, logs: list[Path], account: str = ""
) -> Explanation:
    """Explain a request from the logs of one or more nodes.

    Args:
        request_id: Id of the request.
        logs: Log files, one per node.
        account: Client account of the request, if no line of its own names it.

    Raises:
        DogwooddockError: A log file cannot be read.
    """
    lines: list[LogLine] = []
    for path in logs:
        try:
            texts = path.read_text(errors="replace").splitlines()
        except OSError as exc:
            raise DogwooddockError(
                f"{path} cannot be read: {exc}; pass a log file"
            ) from exc
        lines.extend(parse_lines(texts, path.name))
    return Explanation(
        tuple(explain_request(request_id, lines)),
        explain_refusal(request_id, lines, account),
        lines_left_out(lines),
    )
