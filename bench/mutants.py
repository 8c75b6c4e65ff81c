"""Mutation test of the soak test: each injected defect must be detected.

Run with ``python -m bench.mutants [NAME ...]``. Each mutant is applied to a copy of the
sources and must be detected by the soak test with one of a few seeds.
"""

__all__ = ["MUTANTS", "Mutant", "write_mutated_copy"]

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SEEDS = range(500, 504)
SOAK_DURATION_S = 10


@dataclass(frozen=True, slots=True)
class Mutant:
    """A defect injected into the sources of the product.

    Args:
        name: Short name of the defect.
        edits: Triples of file, text to replace and replacement; the first occurrence
            of the text is replaced.
    """

    name: str
    edits: tuple[tuple[str, str, str], ...]


MUTANTS = (
    Mutant(
        "non-idempotent-retry",
        (
            (
                "policy/resends.py",
                "if not idempotent or reason is Reason.FAILED_BELOW:",
                "if reason is Reason.FAILED_BELOW:",
            ),
        ),
    ),
    Mutant(
        "executed-reported-not-run",
        (("mesh/errorresponses.py", "if pending.unconfirmed:", "if pending is None:"),),
    ),
    Mutant(
        "drain-not-enforced",
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
        "configuration-rollback",
        (
            (
                "mesh/config.py",
                "        self.table = RouteTable(state, self.table)\n",
                "        older = self.table\n"
                "        self.table = RouteTable(state, self.table)\n"
                "        if older is not None:\n"
                "            import asyncio\n"
                "            loop = asyncio.get_running_loop()\n"
                "            loop.call_later(2.5, setattr, self, 'table', older)\n",
            ),
        ),
    ),
    Mutant(
        "configuration-not-updated",
        (
            (
                "mesh/config.py",
                "if self.table is not None and state.version <= self.version:",
                "if self.table is not None:",
            ),
        ),
    ),
    Mutant(
        "unmatched-answer-accepted",
        (
            (
                "platform/headers.py",
                "return echoed == call.request_id",
                "return True",
            ),
        ),
    ),
    Mutant(
        "truncated-answer-accepted",
        (
            (
                "http1/responseparser.py",
                "if not (self.in_message and self._in_body) or has_framing:",
                "if not (self.in_message and self._in_body):",
            ),
        ),
    ),
    Mutant(
        "404-without-configuration",
        (
            (
                "mesh/errorresponses.py",
                "self._send(exchange, fields.request_id, 503, text, retry_s)",
                "self._send(exchange, fields.request_id, 404, text, retry_s)",
            ),
        ),
    ),
    Mutant(
        "grace-period-exceeded",
        (
            (
                "policy/shutdown.py",
                "finished = not work.requests and not work.unwritten_bytes",
                "finished = work.requests < 0",
            ),
            ("policy/shutdown.py", "EXIT_MARGIN_S = 0.6", "EXIT_MARGIN_S = -9.0"),
        ),
    ),
    Mutant(
        "stop-cuts-what-it-took",
        (
            (
                "policy/shutdown.py",
                "return now + wait_s <= self.last_deadline",
                "return True",
            ),
            (
                "policy/shutdown.py",
                "return min(deadline, self.last_deadline)",
                "return deadline",
            ),
            (
                "policy/shutdown.py",
                "return now >= self.exit_at - LAST_ANSWERS_S",
                "return False",
            ),
        ),
    ),
    Mutant(
        "resent-on-the-connection-of-a-refusal",
        (
            (
                "mesh/targetruns.py",
                "if not self._refused.contains(call.request_id, self._loop.time()):",
                "if call is not None:",
            ),
        ),
    ),
    Mutant(
        "incomplete-heartbeat-accepted",
        (
            (
                "platform/heartbeats.py",
                "    born: _UnixMs\n",
                "    born: _WholeNumber = MAX_WHOLE_NUMBER\n",
            ),
        ),
    ),
    Mutant(
        "held-address-ends-the-start",
        (
            (
                "listening.py",
                "if remedy is None:",
                "if exc is not None:",
            ),
        ),
    ),
    Mutant(
        "stop-cuts-slow-readers",
        (
            (
                "policy/shutdown.py",
                "return self.closes_listener(now, work) and finished",
                "return self.closes_listener(now, work) and not work.requests",
            ),
        ),
    ),
    Mutant(
        "stop-ends-with-an-error",
        (
            (
                "mesh/node.py",
                "        await self.stop()\n",
                "        await self.stop()\n        raise SystemExit(1)\n",
            ),
        ),
    ),
    Mutant(
        "no-recovery-from-store-loss",
        (
            ("mesh/follower.py", "await self._regain(exc, called_at)", "return"),
            ("mesh/statesync.py", "if update.document:", "if update is None:"),
        ),
    ),
    Mutant(
        "withdrawn-key-kept",
        (
            (
                "policy/accounts.py",
                "self._by_digest: dict[bytes, ClientAccount] = {}",
                "self._by_digest: dict[bytes, ClientAccount] = _KEPT",
            ),
            (
                "policy/accounts.py",
                "class AccountTable:",
                "_KEPT: dict[bytes, ClientAccount] = {}\n\n\nclass AccountTable:",
            ),
        ),
    ),
    Mutant(
        "keys-used-without-proof",
        (
            (
                "policy/configage.py",
                "return self.age_s(now) <= self._limit_s",
                "return True",
            ),
        ),
    ),
    Mutant(
        "new-key-denied-without-proof",
        (
            (
                "policy/configage.py",
                "return self.age_s(now) <= self._config_s",
                "return True",
            ),
        ),
    ),
    Mutant(
        "unknown-key-accepted",
        (
            (
                "policy/accounts.py",
                "account = accounts.find(api_keys[0])",
                "account = accounts.find(api_keys[0]) or accounts._by_name['plain']",
            ),
        ),
    ),
    Mutant(
        "key-forwarded",
        (("platform/headers.py", "{API_KEY, ACCOUNT}", "{ACCOUNT}"),),
    ),
    Mutant(
        "account-of-the-caller-kept",
        (("platform/headers.py", "{API_KEY, ACCOUNT}", "{API_KEY}"),),
    ),
    Mutant(
        "quota-counted-per-node",
        (
            (
                "policy/clusterview.py",
                "return self._owners[account_id]",
                "return self.own",
            ),
        ),
    ),
    Mutant(
        "account-within-its-limit-refused",
        (
            (
                "mesh/quotas.py",
                "QuotaLimit(account.rate_per_s, account.burst)",
                "QuotaLimit(account.rate_per_s / 50, account.burst / 50)",
            ),
        ),
    ),
)


def write_mutated_copy(mutant: Mutant, folder: Path) -> None:
    """Copy the sources into a folder and apply the mutant to the copy.

    Raises:
        ValueError: A file does not contain a text to replace, so the mutant is out of
            date.
    """
    ignored = shutil.ignore_patterns("__pycache__")
    for name in ("dogwooddock", "bench"):
        shutil.copytree(ROOT / name, folder / name, ignore=ignored)
    for file, text, replacement in mutant.edits:
        path = folder / "dogwooddock" / file
        source = path.read_text()
        if text not in source:
            raise ValueError(f"mutant {mutant.name}: {file} does not contain {text!r}")
        path.write_text(source.replace(text, replacement, 1))


def _detect(mutant: Mutant) -> str:
    """Return the output of the first seed that found a violation, or an empty string.

    A soak test that fails in another way ends the search; its stderr is returned.
    """
    with tempfile.TemporaryDirectory() as name:
        write_mutated_copy(mutant, Path(name))
        for seed in SEEDS:
            command = [sys.executable, "-m", "bench.soak"]
            command += ["--seed", str(seed), "--seconds", str(SOAK_DURATION_S)]
            done = subprocess.run(
                command, cwd=name, capture_output=True, text=True, check=False
            )
            if done.returncode == 1 and "violations=" in done.stdout:
                return " ".join(done.stdout.split())[:150]
            if done.returncode:
                return f"did not run: {done.stderr[-150:]}"
    return ""


def main() -> int:
    """Test the mutants named as arguments, or all; return 1 if one was not detected."""
    undetected = 0
    for mutant in MUTANTS:
        if sys.argv[1:] and mutant.name not in sys.argv[1:]:
            continue
        found = _detect(mutant)
        print(f"{mutant.name}: {found or 'NOT DETECTED'}", flush=True)
        undetected += not found
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main())
