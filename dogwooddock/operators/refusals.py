"""Find why a request was answered 401 or 429, from the log lines of the nodes."""

__all__ = ["explain_refusal"]

from .explain import TRUE, LogLine

# A node writes at most one line a second about the quota of an account, so the line
# that covers a refusal may be this much earlier or later.
QUOTA_LINE_PERIOD_S = 1.5


def explain_refusal(
    request_id: str, lines: list[LogLine], account: str = ""
) -> tuple[str, ...]:
    """Return the cause of a 401 or a 429, one line per finding.

    Args:
        request_id: Id of the request.
        lines: Log lines of any number of nodes, in any order.
        account: Client account of the request, used if no line names it.

    Returns:
        The findings; empty if it was answered with another status.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.request == request_id]
    for line in own:
        if line.event == "request_unauthenticated" and line.value("status") == "401":
            return _explain_key(line, ordered)
    refused = [line for line in own if line.value("reason") == "quota"]
    named = [line for line in own if line.event == "quota_exceeded"]
    if named:
        return _explain_quota(named[0], ordered)
    if refused:
        return _explain_unnamed(refused[0], ordered, account)
    return _explain_account(request_id, ordered, account) if not own else ()


# API keys.


def _explain_key(line: LogLine, ordered: list[LogLine]) -> tuple[str, ...]:
    if line.value("keys_sent") == "0":
        return (f"401: no API key was sent to a route that asks for one{_at(line)}",)
    version = line.value("config")
    return (
        f"401: no account of version {version} holds the key that was sent{_at(line)}",
        *_explain_versions(line, ordered),
    )


def _explain_versions(line: LogLine, ordered: list[LogLine]) -> tuple[str, ...]:
    """Tell which versions may have added or removed the key, and where they were."""
    version = _number(line.value("config"))
    in_force = [each for each in ordered if each.event == "config_in_force"]
    newer = [
        each
        for each in in_force
        if _number(each.value("version")) > version and each.at <= line.at
    ]
    if newer:
        return (_describe_newer(newer[0], line), _describe_arrival(in_force, line))
    findings = ["no newer version was in force in these logs by then"]
    here = [
        each
        for each in in_force
        if each.source == line.source and _number(each.value("version")) == version
    ]
    if here and here[-1].value("keys_added"):
        findings.append(f"version {version} {_describe_keys(here[-1])}")
    return tuple(findings)


def _describe_newer(newer: LogLine, line: LogLine) -> str:
    keys = f", which {_describe_keys(newer)}," if newer.value("keys_added") else ""
    return (
        f"version {newer.value('version')}{keys} was in force on {newer.source} "
        f"{line.at - newer.at:.2f} s before; this node did not have it yet"
    )


def _describe_keys(in_force: LogLine) -> str:
    added, removed = in_force.value("keys_added"), in_force.value("keys_removed")
    return f"added {added} and removed {removed} keys"


def _describe_arrival(in_force: list[LogLine], line: LogLine) -> str:
    """Tell when the node of a line took up a newer version."""
    version = _number(line.value("config"))
    for each in in_force:
        is_newer = _number(each.value("version")) > version
        if each.source == line.source and each.at > line.at and is_newer:
            return (
                f"version {each.value('version')} was in force there "
                f"{each.at - line.at:.2f} s after the refusal"
            )
    return "no newer version came into force there in these logs"


# Quotas.


def _explain_quota(line: LogLine, ordered: list[LogLine]) -> tuple[str, ...]:
    """Return what a line about an account's quota says."""
    part = "and its own part of the limit, since it reached no owner of the quota"
    findings = [
        f"429: account {line.value('account')} was beyond its limit of "
        f"{line.value('rate_per_s')} requests/s, burst {line.value('burst')}"
        f"{_at(line)}",
        f"the node had {line.value('tokens')} tokens in hand, "
        f"{line.value('tokens_age_s')} s old"
        + (f", {part}" if line.value("own_part") == TRUE else ""),
        f"it refused {line.value('refused')} requests of the account since the line "
        f"before; room again in {line.value('retry_s')} s",
    ]
    in_force = [
        each
        for each in ordered
        if each.event == "config_in_force"
        and each.source == line.source
        and each.at <= line.at
    ]
    if in_force:
        version, since_s = in_force[-1].value("version"), line.at - in_force[-1].at
        findings.append(f"version {version} was in force there for {since_s:.2f} s")
    return tuple(findings)


def _explain_unnamed(
    line: LogLine, ordered: list[LogLine], account: str
) -> tuple[str, ...]:
    """Explain a refused request by the nearest line about its account's quota."""
    account = line.value("account") or account
    if not account:
        return (
            "429: the request's line names no account; pass --account to see the "
            f"lines about its quota{_at(line)}",
        )
    near = [
        each
        for each in ordered
        if each.event == "quota_exceeded"
        and each.source == line.source
        and each.value("account") == account
        and abs(each.at - line.at) <= QUOTA_LINE_PERIOD_S
    ]
    if not near:
        return (
            f"429: account {account} was beyond its limit{_at(line)}; the line about "
            "its quota was left out",
        )
    nearest = min(near, key=lambda each: abs(each.at - line.at))
    return (
        *_explain_quota(nearest, ordered),
        "the request has no line of its own about tokens: this is the line of the "
        f"same account and node {_describe_offset(nearest, line)}",
    )


def _explain_account(
    request_id: str, ordered: list[LogLine], account: str
) -> tuple[str, ...]:
    """Return the refusals of an account, for a request without any line."""
    findings: list[str] = []
    for line in ordered:
        if line.event == "quota_exceeded" and account == line.value("account"):
            findings += _explain_quota(line, ordered)
    if findings:
        findings.append(
            f"{request_id} has no line: each line above stands for all refusals of "
            "the account at that node in the second before"
        )
    return tuple(findings)


def _describe_offset(other: LogLine, line: LogLine) -> str:
    seconds = other.at - line.at
    return f"{abs(seconds):.2f} s {'after' if seconds > 0 else 'before'} it"


def _at(line: LogLine) -> str:
    return f" ({line.source}, {line.value('timestamp')})"


def _number(text: str) -> int:
    return int(text) if text.isdigit() else 0
