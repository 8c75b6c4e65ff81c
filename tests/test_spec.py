"""Model checking of the specification with small bounds."""

from spec.check import check


def test_invariants_hold_and_every_mutant_violates_one():
    assert check(small=True, report=False) == []
