"""Division of the memory for bodies: who holds it, who waits, and in which order."""

import json

import pytest

from bench.settingsfile import write_settings
from dogwooddock.errors import InvalidSettings
from dogwooddock.platform.settings import read_settings
from dogwooddock.policy.heldbytes import (
    AnswerSizes,
    Held,
    HeldBytes,
    budget_bytes,
)

REQUEST, EXPECTED, ANSWER = Held.REQUEST, Held.EXPECTED, Held.ANSWER


class Budget:
    """Budget of 100 bytes whose claims are numbered from 0 in the order of asking."""

    def __init__(self, limit=100):
        self.held = HeldBytes(limit)
        self.claims = []
        self.granted = []

    def ask(self, kind, size):
        number = len(self.claims)
        grant = lambda: self.granted.append(number)  # noqa: E731
        self.claims.append(self.held.ask(kind, size, grant))

    def waiting(self):
        return [n for n, claim in enumerate(self.claims) if not claim.granted]


@pytest.mark.parametrize(
    ("asked", "waiting"),
    [
        ([(REQUEST, 75)], []),
        ([(REQUEST, 40), (REQUEST, 40)], [1]),
        ([(REQUEST, 40), (REQUEST, 40), (REQUEST, 1)], [1, 2]),  # in order
        ([(REQUEST, 400)], []),  # alone, however large
        ([(REQUEST, 75), (EXPECTED, 25)], []),  # no side can use the whole budget
        ([(REQUEST, 75), (EXPECTED, 25), (EXPECTED, 1)], [2]),
        ([(EXPECTED, 75), (REQUEST, 25), (EXPECTED, 1)], [2]),
        ([(REQUEST, 60), (REQUEST, 60), (EXPECTED, 30)], [1]),  # sides do not block
    ],
)
def test_claims_beyond_the_budget_wait(asked, waiting):
    budget = Budget()
    for kind, size in asked:
        budget.ask(kind, size)
    assert budget.waiting() == waiting
    assert budget.held.waiting == len(waiting)


@pytest.mark.parametrize(
    ("end", "granted"),
    [
        (lambda b: b.held.release(b.claims[0]), [1, 2]),
        (lambda b: b.held.resize(b.claims[0], 30), [1]),
        (lambda b: b.held.release(b.claims[1]), [2]),  # gave up its wait
    ],
)
def test_freed_bytes_go_to_those_that_wait_in_order(end, granted):
    budget = Budget()
    for size in (60, 40, 15):
        budget.ask(REQUEST, size)
    end(budget)
    assert budget.granted == granted


def test_bytes_that_are_there_count_beyond_the_budget():
    budget = Budget()
    unwritten = budget.held.hold(ANSWER, 150)
    budget.ask(EXPECTED, 10)
    budget.ask(REQUEST, 10)  # one at a time in any case
    budget.ask(REQUEST, 10)
    assert budget.waiting() == [0, 2]
    budget.held.release(unwritten)
    assert budget.waiting() == []
    assert budget.held.total_bytes == 30


def test_nothing_is_held_once_all_claims_are_released():
    budget = Budget()
    for kind, size in [(REQUEST, 50), (REQUEST, 50), (EXPECTED, 60), (EXPECTED, 20)]:
        budget.ask(kind, size)
    for claim in [*budget.claims, *budget.claims]:
        budget.held.release(claim)
    assert budget.held.total_bytes == budget.held.waiting == 0


def test_expected_size_rises_soon_and_falls_slowly():
    sizes = AnswerSizes()
    sizes.record("read", 100)
    sizes.record("read", 1_000_000)
    risen = sizes.expected("read")
    sizes.record("read", 100)
    assert risen > 400_000
    assert risen > sizes.expected("read") > 0.8 * risen


@pytest.mark.parametrize(("memory_mb", "is_valid"), [(90, False), (114, True)])
def test_memory_that_holds_no_answer_is_refused_at_the_start(
    tmp_path, memory_mb, is_valid
):
    path = tmp_path / "node.json"
    address = ("127.0.0.1", 8000)
    limits = {"memory_mb": memory_mb}
    write_settings(path, 0, "127.0.0.1", 9000, address, "shop", address, limits=limits)
    assert json.loads(path.read_text())["limits"] == limits
    if is_valid:
        assert budget_bytes(read_settings(str(path)).memory_mb) > 16 * 1024 * 1024
        return
    with pytest.raises(InvalidSettings, match="allow at least 114"):
        read_settings(str(path))
