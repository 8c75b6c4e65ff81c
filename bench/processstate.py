"""What Linux tells about a process; elsewhere nothing is known."""

__all__ = ["cpu_time_s", "handles_signal"]

from pathlib import Path

NS_PER_S = 1e9
HANDLED_SIGNALS = "SigCgt:"


def cpu_time_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = _read(pid, "schedstat").split()
    return int(fields[0]) / NS_PER_S if fields else 0.0


def handles_signal(pid: int, signum: int) -> bool:
    """Report whether a process has a handler for a signal."""
    for line in _read(pid, "status").splitlines():
        name, _, mask = line.partition("\t")
        if name == HANDLED_SIGNALS:
            return bool(int(mask, 16) >> (signum - 1) & 1)
    return False


def _read(pid: int, name: str) -> str:
    try:
        return Path(f"/proc/{pid}/{name}").read_text()
    except OSError:
        return ""
