"""The specification, explored within the bounds of the tests."""

from spec.check import check


def test_small_bounds_hold_and_mutants_are_caught():
    assert check(small=True, report=False) == []
