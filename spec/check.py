"""Explore the specification exhaustively and catch every mutant.

``python -m spec.check`` uses the full bounds, ``--small`` those of the tests.
"""

import argparse
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import maude

FOLDER = Path(__file__).resolve().parent
FILES = ("keys", "tickets", "allowance", "mutants", "drains", "versions")


@dataclass(frozen=True)
class Invariant:
    """A configuration that must not be reachable."""

    name: str
    pattern: str
    condition: str = ""


@dataclass(frozen=True)
class Model:
    """A module, its initial states, its invariants and its mutants."""

    module: str
    small: tuple[str, ...]
    full: tuple[str, ...]
    hunting: tuple[str, ...]
    invariants: tuple[Invariant, ...]
    mutants: tuple[str, ...]


def _keys(duplicates: int, crashes: int, retries: int) -> str:
    budget = f"budget({duplicates}, {crashes}, {retries})"
    requests = "req(r1, start) req(r2, start)"
    gates = "gate(r1, 1, false) gate(r2, 1, false)"
    return f"row(0, free, r1, 0) {requests} {gates} {budget}"


def _chain(depth: int, allowance: int, calls: int, duplicates: int) -> str:
    return (
        f"held({depth}, 0, {allowance}) limit({allowance}) first(0, {calls}) spent(0) "
        f"serial(1) budget({duplicates})"
    )


def _drain(heartbeats: int, crashes: int, outages: int, lies: int) -> str:
    budget = f"budget({heartbeats}, {crashes}, {outages}, {lies})"
    return (
        "target(1, 1, up) node(0, 0, up, false) row(0, up) store(reachable) "
        f"unacked(1) {budget}"
    )


def _versions(changes: int, documents: int) -> str:
    budget = f"budget({changes}, {documents})"
    return f"store(1) node(1, 0, 0) node(2, 0, 0) {budget}"


MODELS = (
    Model(
        "DRAINS",
        (_drain(2, 1, 1, 0), _drain(2, 1, 0, 1)),
        (_drain(3, 2, 1, 0), _drain(3, 1, 2, 0), _drain(3, 2, 0, 2)),
        (_drain(2, 1, 1, 0), _drain(2, 1, 0, 1)),
        (Invariant("acknowledged-drain-binds", "C:Conf late"),),
        (
            "LATE-HEARTBEAT-REVIVES",
            "SERVE-WITHOUT-CHECK",
            "ACKNOWLEDGE-WHILE-SERVING",
            "ACKNOWLEDGE-BEFORE-THE-ROW",
            "FORGET-THE-ROW",
        ),
    ),
    Model(
        "VERSIONS",
        (_versions(2, 3),),
        (_versions(2, 4), _versions(3, 3)),
        (_versions(2, 3),),
        (
            Invariant(
                "never-goes-back",
                "C:Conf node(I:Nat, V:Nat, H:Nat)",
                "V:Nat < H:Nat = true",
            ),
        ),
        ("ADOPT-WHATEVER-ARRIVES",),
    ),
    Model(
        "KEYS",
        (_keys(0, 1, 0),),
        (_keys(1, 1, 0), _keys(0, 1, 1), _keys(1, 0, 1)),
        (_keys(0, 0, 0), _keys(1, 0, 0), _keys(0, 0, 1)),
        (
            Invariant("at-most-once", "C:Conf ran(R:Req) ran(Q:Req)"),
            Invariant("not-run-is-true", "C:Conf req(R:Req, notrun) ran(R:Req)"),
            Invariant("not-run-is-final", "C:Conf fenced(R:Req) ran(R:Req)"),
        ),
        (
            "DISPATCH-BEFORE-CLAIM",
            "NOT-RUN-ON-TIME-OUT",
            "RELEASE-AFTER-DISPATCH",
            "DISPATCH-AFTER-REFUSAL",
            "UNVERSIONED-CLAIM",
            "ACCEPT-FOREIGN-RELEASE",
            "DISPATCH-ON-LOST-ANSWER",
            "LAPSED-LEASE",
            "DUPLICATE-ATTEMPT",
            "RETRY-FROM-FRESH-READ",
        ),
    ),
    Model(
        "TICKETS",
        ("req(r1, start) req(r2, start) gate(1, fresh) budget(1, 1)",),
        ("req(r1, start) req(r2, start) gate(1, fresh) budget(3, 1)",),
        ("req(r1, start) req(r2, start) gate(1, fresh) budget(1, 1)",),
        (
            Invariant("at-most-once", "C:Conf ran(R:Req) ran(Q:Req)"),
            Invariant("not-run-is-true", "C:Conf req(R:Req, notrun) ran(R:Req)"),
            Invariant("not-run-is-final", "C:Conf fenced(R:Req) ran(R:Req)"),
        ),
        (
            "HONOURED-BY-NEW-INCARNATION",
            "NOT-RUN-ON-TIME-OUT",
            "REUSED-AFTER-REFUSAL",
            "RUNNING-CALLED-NOT-RUN",
        ),
    ),
    Model(
        "ALLOWANCE",
        (_chain(1, 2, 2, 1),),
        (_chain(1, 3, 2, 1), _chain(0, 1, 1, 1)),
        (_chain(1, 2, 2, 1), _chain(0, 1, 1, 0)),
        (
            Invariant(
                "bounded-retries",
                "C:Conf spent(X:Nat) limit(N:Nat)",
                "X:Nat > N:Nat = true",
            ),
        ),
        (
            "LEND-WITHOUT-DEBIT",
            "CREDIT-LOST-CALL",
            "CREDIT-DUPLICATE-REPLY",
            "FREE-RETRY",
        ),
    ),
)


def load() -> None:
    """Start the engine and load the specification."""
    maude.init(advise=False)
    for name in FILES:
        if not maude.load(str(FOLDER / f"{name}.maude")):
            raise RuntimeError(f"{name}.maude cannot be loaded")


def search(module_name: str, state: str, invariant: Invariant) -> tuple[str, ...]:
    """Return the steps to a violation, or nothing if none is reachable."""
    module = maude.getModule(module_name)
    start = module.parseTerm(state)
    pattern = module.parseTerm(invariant.pattern)
    condition = []
    if invariant.condition:
        left, _, right = invariant.condition.partition(" = ")
        condition = [
            maude.EqualityCondition(module.parseTerm(left), module.parseTerm(right))
        ]
    for _, _, path, _ in start.search(maude.ANY_STEPS, pattern, condition):
        steps = path()
        return tuple(str(step.getLabel()) for step in steps[1::2]) or ("initial",)
    return ()


def count_states(module_name: str, state: str) -> int:
    """Return the number of reachable states."""
    module = maude.getModule(module_name)
    everything = module.parseTerm("C:Conf")
    found = module.parseTerm(state).search(maude.ANY_STEPS, everything, [])
    return sum(1 for _ in found)


def check(small: bool, report: bool = True) -> list[str]:
    """Check every model and mutant; return what is wrong."""
    load()
    wrong: list[str] = []
    for model in MODELS:
        for state in model.small if small else model.full:
            wrong.extend(_check_state(model, state, report))
        for name in model.mutants:
            wrong.extend(_check_mutant(model, name, report))
    return wrong


def _check_state(model: Model, state: str, report: bool) -> list[str]:
    started = time.monotonic()
    wrong = []
    for invariant in model.invariants:
        trace = search(model.module, state, invariant)
        if trace:
            wrong.append(f"{model.module} {invariant.name}: {' -> '.join(trace)}")
    if report:
        states = count_states(model.module, state)
        seconds = time.monotonic() - started
        verdict = "VIOLATED" if wrong else "holds"
        print(f"{model.module} {verdict}: {states} states, {seconds:.1f} s, {state}")
    return wrong


def _check_mutant(model: Model, name: str, report: bool) -> list[str]:
    module_name = f"{model.module}-{name}"
    for state in model.hunting:
        for invariant in model.invariants:
            trace = search(module_name, state, invariant)
            if trace:
                if report:
                    steps = " -> ".join(trace)
                    print(f"  mutant {name} caught by {invariant.name}: {steps}")
                return []
    return [f"mutant {module_name} was not caught"]


def main() -> int:
    """Check and report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--small", action="store_true")
    options = parser.parse_args()
    wrong = check(options.small)
    for line in wrong:
        print(f"wrong: {line}")
    print("specification holds" if not wrong else f"{len(wrong)} findings")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
