"""Check the promises on what callers and targets of a soak saw."""

__all__ = ["Attempt", "SoakHistory", "find_violations"]

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from .mesh_standin import Run

PROMISE_STATUSES = frozenset({408, 421, 429, 503})
UNREPEATABLE = "order"
STABILITY_S = 3.0
SLACK_S = 0.3
RETRY_RATIO = 0.2
RETRY_EXTRA = 48
RETRY_WINDOW_S = 10.0
CALM_SHARE = 0.95


@dataclass
class Attempt:
    """One request of a client.

    Args:
        request_id: Its identity.
        route: Its route.
        node: Node that it was sent to.
        lifetime: Number of that node's process.
        sent_at: When it was sent, in seconds.
        status: Status of the answer; 0 if there was none.
        whole: Whether the body was the target's.
        own: Whether the answer bore its identity.
        target_id: Target that answered; empty if a node did.
        ended_at: When the answer came, in seconds.
    """

    request_id: str
    route: str
    node: int
    lifetime: int
    sent_at: float
    status: int = 0
    whole: bool = False
    own: bool = False
    target_id: str = ""
    ended_at: float = 0.0


@dataclass
class SoakHistory:
    """What was seen during a soak."""

    attempts: dict[str, Attempt] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    pools: dict[str, str] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)
    calm_from: float = 0.0
    ended_at: float = 0.0
    _drained: dict[str, float] = field(default_factory=dict)
    _configs: list[tuple[int, str, float]] = field(default_factory=list)
    _disturbed: dict[int, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _store_disturbed: list[float] = field(default_factory=list)

    def note_drained(self, target_id: str, at: float) -> None:
        """Note when the drain of a target was acknowledged first."""
        self._drained.setdefault(target_id, at)

    def note_config(self, version: int, pool: str, at: float) -> None:
        """Note when a version was acknowledged and where it moves the route."""
        self._configs.append((version, pool, at))

    def disturbed(self, node: int, at: float, store: bool = False) -> None:
        """Note a fault of a node, or between it and the store."""
        self._disturbed[node].append(at)

    def store_disturbed(self, at: float) -> None:
        """Note a fault of the store."""
        self._store_disturbed.append(at)

    @property
    def drained(self) -> dict[str, float]:
        """Return when the drain of each target was acknowledged."""
        return self._drained

    def pool_at(self, sent_at: float, bound_s: float) -> set[str]:
        """Return the pools that the moving route may go to."""
        allowed = {"shop"}
        for _, pool, at in self._configs:
            if at + bound_s < sent_at:
                allowed = {pool}
            elif at <= sent_at + STABILITY_S:
                allowed.add(pool)
        return allowed

    def in_touch(self, node: int, at: float) -> bool:
        """Report whether neither the node nor the store was at fault of late."""
        moments = self._disturbed[node] + self._store_disturbed
        return not any(at - STABILITY_S * 2 <= moment <= at for moment in moments)


def find_violations(history: SoakHistory, drain_s: float, config_s: float) -> list[str]:
    """Return the broken promises, each as a sentence."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs[run.request_id].append(run)
    found = list(history.notes)
    for attempt in history.attempts.values():
        found += _check_attempt(history, attempt, runs[attempt.request_id], config_s)
    found += _check_drains(history, drain_s)
    unknown = set(runs) - set(history.attempts)
    found += [f"request {name} ran though nobody sent it" for name in sorted(unknown)]
    found += _check_retries(history, runs)
    found += _check_calm(history)
    return found


def _check_attempt(
    history: SoakHistory, attempt: Attempt, runs: list[Run], config_s: float
) -> list[str]:
    found = []
    name = f"request {attempt.request_id} ({attempt.route}, {attempt.status})"
    if attempt.status == 200 and not (attempt.whole and attempt.own):
        found.append(f"{name} got an answer that is not its own or not whole")
    if attempt.route == UNREPEATABLE:
        if len(runs) > 1:
            found.append(f"{name} ran {len(runs)} times")
        if attempt.status in PROMISE_STATUSES and runs:
            found.append(f"{name} was said not to have run, but ran")
    if attempt.status == 404:
        found.append(f"{name} was denied")
    if attempt.route == "moving" and attempt.status == 200:
        pool = history.pools.get(attempt.target_id, "")
        allowed = history.pool_at(attempt.sent_at, config_s + SLACK_S)
        if pool not in allowed and history.in_touch(attempt.node, attempt.sent_at):
            found.append(f"{name} ran in pool {pool}, allowed were {sorted(allowed)}")
    return found


def _check_drains(history: SoakHistory, drain_s: float) -> list[str]:
    found = []
    for run in history.runs:
        drained_at = history.drained.get(run.target_id)
        if drained_at is not None and run.at > drained_at + drain_s:
            late_s = run.at - drained_at
            found.append(
                f"request {run.request_id} reached {run.target_id} {late_s:.2f} s "
                "after its drain was acknowledged"
            )
    return found


def _check_retries(history: SoakHistory, runs: dict[str, list[Run]]) -> list[str]:
    """Check the repeats of each pool in sliding windows."""
    firsts = sorted(group[0].at for group in runs.values() if group)
    repeats = sorted(run.at for group in runs.values() for run in group[1:])
    for start in repeats:
        end = start + RETRY_WINDOW_S
        count = sum(1 for at in repeats if start <= at < end)
        requests = sum(1 for at in firsts if start <= at < end)
        if count > RETRY_RATIO * requests + RETRY_EXTRA:
            return [f"{count} repeats for {requests} requests within the window"]
    return []


def _check_calm(history: SoakHistory) -> list[str]:
    """Check that everything is served again once the faults are over."""
    calm = [
        item
        for item in history.attempts.values()
        if history.calm_from <= item.sent_at < history.ended_at - 1.0
    ]
    served = Counter(item.status for item in calm)
    if not calm or served[200] < CALM_SHARE * len(calm):
        return [f"after the faults only {served[200]} of {len(calm)} were served"]
    return []
