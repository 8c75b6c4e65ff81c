"""Find what became of one request in a pile of logs."""

__all__ = ["LogLine", "explain_request", "parse_line"]

import re
from collections.abc import Iterable
from dataclasses import dataclass

PAIR = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
CONTEXT_EVENTS = frozenset(
    {
        "config_in_force",
        "lines_left_out",
        "node_draining",
        "node_started",
        "node_stopped",
        "peer_lost",
        "peer_silent",
        "store_lost",
        "store_regained",
        "target_crashed",
        "target_heartbeat",
        "target_left",
        "target_unreachable",
    }
)
CONTEXT_S = 2.0


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Args:
        at: Time of day, in seconds of that day.
        event: Name of the event.
        request: Identity of the request that it is about, or an empty string.
        text: The line as written.
    """

    at: float
    event: str
    request: str
    text: str


def parse_line(text: str) -> LogLine | None:
    """Read a line of key=value pairs, or return None if it is no such line."""
    fields = {name: value.strip('"') for name, value in PAIR.findall(text)}
    event = fields.get("event")
    if event is None:
        return None
    at = _seconds(fields.get("timestamp", ""))
    return LogLine(at, event, fields.get("request", ""), text.strip())


def _seconds(timestamp: str) -> float:
    clock = timestamp.partition("T")[2].rstrip("Z").split(":")
    if len(clock) != 3:
        return 0.0
    hours, minutes, seconds = (float(part) for part in clock)
    return hours * 3600 + minutes * 60 + seconds


def explain_request(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return what the logs say about a request, in order of time.

    That is every line about the request itself, the calls of its run, and the
    requests that it is a call of; and around them what the processes noticed.

    Args:
        request_id: Identity of the request.
        lines: Lines of the logs of any number of processes.
    """
    parsed = [line for line in map(parse_line, lines) if line is not None]
    own = [line for line in parsed if _related(request_id, line.request)]
    if not own:
        return []
    first = min(line.at for line in own) - CONTEXT_S
    last = max(line.at for line in own) + CONTEXT_S
    around = [
        line
        for line in parsed
        if line.event in CONTEXT_EVENTS and first <= line.at <= last
    ]
    return sorted([*own, *around], key=lambda line: line.at)


def _related(request_id: str, other: str) -> bool:
    if not other:
        return False
    return (
        other == request_id
        or other.startswith(request_id + ".")
        or request_id.startswith(other + ".")
    )
