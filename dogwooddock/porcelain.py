"""Plain functions behind the command line.

Every function raises a ``DogwooddockError`` whose message names the remedy.
"""

__all__ = [
    "AppliedEdit",
    "apply_tables",
    "check_tables",
    "diff_tables",
    "explain_from_logs",
    "fetch_state",
    "quarantine_list",
    "quarantine_release",
    "show_history",
    "show_tables",
]

import json
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3

from .config.store import ConfigStore
from .errors import DogwooddockError, InvalidTables, RowProblem
from .operators.explain import LogLine, explain_request
from .store.http import HttpObjectStore, HttpTableService
from .tables import Edit, RowChange, Tables, changes_between, parse_tables

ADMIN_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class AppliedEdit:
    """Result of an edit.

    Args:
        version: Version in force in the store afterwards.
        edit_id: Identifier of the edit; repeat it to apply again after a failure.
        changes: Rows that the edit changed.
    """

    version: int
    edit_id: str
    changes: tuple[RowChange, ...]


def check_tables(folder: Path) -> Tables:
    """Read and check ``routes.toml`` and ``pools.toml`` of a folder.

    Raises:
        InvalidTables: A file is missing or a row is faulty.
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


def _store(platform_url: str) -> ConfigStore:
    return ConfigStore(HttpTableService(platform_url), HttpObjectStore(platform_url))


def diff_tables(folder: Path, platform_url: str) -> tuple[int, tuple[RowChange, ...]]:
    """Compare the files of a folder with the store.

    Returns:
        The version in the store and the rows that an apply would change.
    """
    wanted = check_tables(folder)
    current = _store(platform_url).load()
    return current.version, changes_between(current, wanted)


def apply_tables(
    folder: Path,
    platform_url: str,
    author: str,
    base: int | None = None,
    edit_id: str = "",
) -> AppliedEdit:
    """Check the files of a folder and make them the newest version.

    Args:
        folder: Folder with the two files.
        platform_url: Base URL of the platform.
        author: Name of the operator.
        base: Version that was edited; by default the newest one.
        edit_id: Identifier of an earlier try of the same edit.

    Raises:
        ConfigConflict: Another edit was accepted after ``base``.
    """
    wanted = check_tables(folder)
    store = _store(platform_url)
    identifier = edit_id or uuid.uuid4().hex
    current = store.load()
    position = current.version if base is None else base
    after = store.apply(wanted, position, identifier, author)
    return AppliedEdit(after.version, identifier, changes_between(current, wanted))


def show_tables(platform_url: str) -> Tables:
    """Return the newest tables in the store."""
    return _store(platform_url).load()


def show_history(platform_url: str, after: int) -> list[Edit]:
    """Return the edits after a version."""
    return _store(platform_url).edits_after(after)


def fetch_state(address: str) -> dict[str, Any]:
    """Return the state dump of the node whose admin port is given."""
    return _admin("GET", address, "/state")


def quarantine_list(address: str) -> dict[str, str]:
    """Return the requests that a node holds in quarantine or under suspicion."""
    return _admin("GET", address, "/quarantine")


def quarantine_release(address: str, request: str) -> bool:
    """Release a request everywhere; return whether it was marked."""
    return _admin("DELETE", address, f"/quarantine/{request}")["released"]


def _admin(method: str, address: str, path: str) -> Any:
    url = f"http://{address}{path}"
    pool = urllib3.PoolManager(retries=False, timeout=ADMIN_TIMEOUT_S)
    try:
        answer = pool.request(method, url)
    except urllib3.exceptions.HTTPError as exc:
        text = f"no answer from {address}; check that it is a node's admin port"
        raise DogwooddockError(text) from exc
    return json.loads(answer.data)


def explain_from_logs(request_id: str, logs: list[Path]) -> list[LogLine]:
    """Return what the logs of any nodes say about a request, in order of time.

    Raises:
        DogwooddockError: A log cannot be read.
    """
    lines: list[str] = []
    for path in logs:
        try:
            lines.extend(path.read_text(errors="replace").splitlines())
        except OSError as exc:
            raise DogwooddockError(f"{path} cannot be read: {exc}; name a log") from exc
    return explain_request(request_id, lines)
