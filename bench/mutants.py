"""Show that the soak can fail: break the product on purpose and play seeds.

Run with ``python -m bench.mutants [NAME ...]``. Each mutant is made in a copy of the
sources and must be caught by one of a few seeds.
"""

__all__ = ["MUTANTS", "Mutant", "make_copy"]

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SEEDS = range(500, 504)
SECONDS = 10


@dataclass(frozen=True, slots=True)
class Mutant:
    """A fault put into the product.

    Args:
        name: Short name.
        edits: Triples of file, text and what replaces it.
    """

    name: str
    edits: tuple[tuple[str, str, str], ...]


MUTANTS = (
    Mutant(
        "unsafe-retry",
        (
            (
                "policy/resends.py",
                "if not idempotent or reason is Reason.FAILED_BELOW:",
                "if reason is Reason.FAILED_BELOW:",
            ),
        ),
    ),
    Mutant(
        "false-refusal",
        (("mesh/ingress.py", "if pending.unconfirmed:", "if pending is None:"),),
    ),
    Mutant(
        "drain-does-not-bind",
        (
            ("mesh/heartbeats.py", "self._gate.refuse_all()", "pass"),
            (
                "mesh/heartbeats.py",
                "            beat.state,",
                "            TargetState.READY,",
            ),
        ),
    ),
    Mutant(
        "configuration-goes-back",
        (
            (
                "mesh/config.py",
                "        previous = self.version\n",
                "        previous = self.version\n"
                "        if self.table is not None:\n"
                "            import asyncio\n"
                "            loop = asyncio.get_running_loop()\n"
                "            older = self.table\n"
                "            loop.call_later(2.5, setattr, self, 'table', older)\n",
            ),
        ),
    ),
    Mutant(
        "configuration-not-followed",
        (
            (
                "mesh/config.py",
                "if self.table is not None and state.version <= self.version:",
                "if self.table is not None:",
            ),
        ),
    ),
    Mutant(
        "foreign-answer",
        (
            (
                "platform/headers.py",
                "return echoed == call.request_id",
                "return True",
            ),
        ),
    ),
    Mutant(
        "short-answer",
        (
            (
                "http1/messages.py",
                "if not (self.in_message and self._in_body) or has_framing:",
                "if not (self.in_message and self._in_body):",
            ),
        ),
    ),
    Mutant(
        "denied-without-configuration",
        (
            (
                "mesh/ingress.py",
                "self._send_error(exchange, fields.request_id, 503, text, retry_s)",
                "self._send_error(exchange, fields.request_id, 404, text, retry_s)",
            ),
        ),
    ),
    Mutant(
        "outlives-its-grace",
        (
            (
                "mesh/node.py",
                "if not self.ingress.in_flight:",
                "if self.ingress.in_flight < 0:",
            ),
            ("mesh/node.py", "EXIT_MARGIN_S = 0.6", "EXIT_MARGIN_S = -9.0"),
        ),
    ),
    Mutant(
        "store-loss-is-final",
        (
            ("mesh/follower.py", "await self._back_off(exc)", "return"),
            ("mesh/node.py", "if update.document:", "if update is None:"),
        ),
    ),
)


def make_copy(mutant: Mutant, folder: Path) -> None:
    """Copy the sources into a folder and put the fault in.

    Raises:
        ValueError: A text to replace is not there; correct the mutant.
    """
    ignored = shutil.ignore_patterns("__pycache__")
    for name in ("dogwooddock", "bench"):
        shutil.copytree(ROOT / name, folder / name, ignore=ignored)
    for file, text, replacement in mutant.edits:
        path = folder / "dogwooddock" / file
        source = path.read_text()
        if text not in source:
            raise ValueError(f"mutant {mutant.name}: {file} does not hold {text!r}")
        path.write_text(source.replace(text, replacement, 1))


def _is_caught(mutant: Mutant) -> str:
    """Return what a seed found, or an empty string."""
    with tempfile.TemporaryDirectory() as name:
        make_copy(mutant, Path(name))
        for seed in SEEDS:
            command = [sys.executable, "-m", "bench.soak"]
            command += ["--seed", str(seed), "--seconds", str(SECONDS)]
            done = subprocess.run(
                command, cwd=name, capture_output=True, text=True, check=False
            )
            if done.returncode == 1 and "violations=" in done.stdout:
                return " ".join(done.stdout.split())[:150]
            if done.returncode:
                return f"did not run: {done.stderr[-150:]}"
    return ""


def main() -> int:
    """Play the named mutants, or all; return 1 if one was not caught."""
    missed = 0
    for mutant in MUTANTS:
        if sys.argv[1:] and mutant.name not in sys.argv[1:]:
            continue
        found = _is_caught(mutant)
        print(f"{mutant.name}: {found or 'NOT CAUGHT'}", flush=True)
        missed += not found
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
