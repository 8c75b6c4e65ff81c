"""The bounded memory of identifiers."""

import pytest

from dogwooddock.policy.recentids import MAX_IDS, MIN_SWEPT, RecentIds


@pytest.mark.parametrize(
    ("now", "remembered"), [(0.0, True), (4.9, True), (5.0, False), (9.0, False)]
)
def test_identifier_is_remembered_until_its_time_has_passed(now, remembered):
    ids = RecentIds()
    ids.add(b"a", 0.0, 5.0)
    ids.add(b"a", 1.0, 4.0)
    assert ids.contains(b"a", now) is remembered
    assert not ids.contains(b"b", now)


@pytest.mark.parametrize("count", [MIN_SWEPT - 1, 4 * MIN_SWEPT, MAX_IDS + 10])
def test_no_identifier_is_forgotten_early_and_the_memory_is_bounded(count):
    ids = RecentIds()
    for number in range(count):
        ids.add(b"%d" % number, 0.0, 5.0)
    assert all(ids.contains(b"%d" % number, 4.0) for number in range(count))
    for number in range(3 * MIN_SWEPT):
        ids.add(b"later-%d" % number, 6.0 + number, 6.5 + number)
    assert len(ids._until) <= MAX_IDS
    assert not ids.contains(b"0", 6.0)


def test_memory_shrinks_when_the_times_have_passed():
    ids = RecentIds()
    for number in range(20 * MIN_SWEPT):
        ids.add(b"%d" % number, float(number), number + 1.0)
    assert len(ids._until) <= 2 * MIN_SWEPT
