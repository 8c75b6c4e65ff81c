"""Find the log lines about a request and its call chain."""

__all__ = ["TRUE", "LogLine", "explain_request", "lines_left_out", "parse_lines"]

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

# A key without a value has the value TRUE; logfmt writes true this way.
KEY_VALUE_PAIR = re.compile(r'(?<!\S)([A-Za-z_]\w*)(?:=("(?:[^"\\]|\\.)*"|\S*)|(?!\S))')
TRUE = "true"
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
CONTEXT_WINDOW_S = 2.0


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed log line.

    Args:
        at: Time of day, in seconds since midnight.
        event: Name of the event.
        text: The line as written.
        source: Name of the log that holds the line; one log has lines of one node.
        fields: Values of the line by their keys.
    """

    at: float
    event: str
    text: str
    source: str
    fields: dict[str, str] = field(repr=False)

    @property
    def request(self) -> str:
        """Return the id of the request that the line is about, or an empty string."""
        return self.value("request")

    def value(self, key: str) -> str:
        """Return a value of the line; an empty string without it."""
        return self.fields.get(key, "")


def parse_lines(texts: Iterable[str], source: str = "") -> list[LogLine]:
    """Parse lines of key=value pairs; leave out those that have no event.

    Args:
        texts: Lines of one log.
        source: Name of the log.
    """
    parsed = (_parse_line(text, source) for text in texts)
    return [line for line in parsed if line is not None]


def _parse_line(text: str, source: str) -> LogLine | None:
    fields = {
        name: TRUE if value is None else value.strip('"')
        for name, value in (pair.groups() for pair in KEY_VALUE_PAIR.finditer(text))
    }
    event = fields.get("event")
    if event is None:
        return None
    at = _seconds_of_day(fields.get("timestamp", ""))
    return LogLine(at, event, text.strip(), source, fields)


def _seconds_of_day(timestamp: str) -> float:
    clock = timestamp.partition("T")[2].rstrip("Z").split(":")
    if len(clock) != 3:
        return 0.0
    hours, minutes, seconds = (float(part) for part in clock)
    return hours * 3600 + minutes * 60 + seconds


def explain_request(request_id: str, lines: list[LogLine]) -> list[LogLine]:
    """Return the log lines about a request, in order of time.

    These are the lines about the request, its downstream calls and the requests
    upstream of it. Lines with one of CONTEXT_EVENTS are added if they lie between
    CONTEXT_WINDOW_S before the first of these lines and CONTEXT_WINDOW_S after the
    last.

    Args:
        request_id: Id of the request.
        lines: Log lines of any number of nodes, in any order.
    """
    related = [line for line in lines if _same_chain(request_id, line.request)]
    if not related:
        return []
    first = min(line.at for line in related) - CONTEXT_WINDOW_S
    last = max(line.at for line in related) + CONTEXT_WINDOW_S
    context = [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS and first <= line.at <= last
    ]
    return sorted([*related, *context], key=lambda line: line.at)


def lines_left_out(lines: list[LogLine]) -> int:
    """Return the number of lines that the nodes dropped at their rate limit."""
    counts = [line.value("count") for line in lines if line.event == "lines_left_out"]
    return sum(int(count) for count in counts if count.isdigit())


def _same_chain(request_id: str, other: str) -> bool:
    """Report whether the ids are equal or one is a dotted prefix of the other."""
    if not other:
        return False
    return (
        other == request_id
        or other.startswith(request_id + ".")
        or request_id.startswith(other + ".")
    )
