"""Admission levels: how they fade at the edges."""

import pytest

from dogwooddock.policy.levels import LEVEL_SCALE, LevelTable


@pytest.mark.parametrize("level", [250, 413, 700, 10 * LEVEL_SCALE - 1])
def test_callers_are_served_within_a_second_after_an_interruption(level):
    """Load that stops for half a second meets no old level half a second later."""
    table = LevelTable()
    table.update("gate", level, now=10.0)
    assert table.level("gate", now=10.4) == level
    callers_rank = 2 * LEVEL_SCALE
    assert table.level("gate", now=11.0) < callers_rank


def test_fading_is_steady():
    table = LevelTable()
    table.update("gate", 600, now=0.0)
    seen = [table.level("gate", now=0.05 * step) for step in range(100)]
    assert seen == sorted(seen, reverse=True)
    assert seen[-1] == 0
    assert table.snapshot(now=5.0) == {}
