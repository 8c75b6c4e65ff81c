"""Configuration: racing operators, lost answers, versions that only rise."""

import threading

import pytest

from dogwooddock.config.store import SNAPSHOT_EVERY, ConfigStore
from dogwooddock.errors import ConfigConflict, PlatformTimeout, PlatformUnavailable
from dogwooddock.policy.configlog import (
    LOG_CAPACITY,
    ConfigReplica,
    LogSlice,
    poller_rank,
)
from dogwooddock.store.memory import MemoryObjectStore, MemoryTableService
from dogwooddock.tables import Pool, build_tables


def tables(slots):
    return build_tables([], [Pool("p", "s", slots, 1000)])


class LossyTables(MemoryTableService):
    """Tables that lose the answers of some commits, before or after the write."""

    def __init__(self, plan):
        super().__init__()
        self.plan = list(plan)

    def commit(self, table, writes, atomic=False):
        fault = self.plan.pop(0) if self.plan else ""
        if fault == "down":
            raise PlatformUnavailable("down")
        if fault == "before":
            raise PlatformTimeout("lost before the write")
        results = super().commit(table, writes, atomic)
        if fault == "after":
            raise PlatformTimeout("lost after the write")
        return results


@pytest.mark.parametrize(
    "plan", [["after"], ["before"], ["before", "after"], ["after", "after"]]
)
def test_lost_answer_applies_exactly_once(plan):
    service = LossyTables(plan)
    store = ConfigStore(service, MemoryObjectStore())
    after = store.apply(tables(5), 0, "edit-1", "ann")
    assert after.version == 1
    assert [edit.edit_id for edit in store.edits_after(0)] == ["edit-1"]


def test_down_store_writes_nothing():
    store = ConfigStore(LossyTables(["down"]), MemoryObjectStore())
    with pytest.raises(PlatformUnavailable):
        store.apply(tables(5), 0, "edit-1", "ann")
    assert store.head().version == 0


def test_lost_answer_and_a_later_edit_is_still_ones_own():
    service = LossyTables([])
    store = ConfigStore(service, MemoryObjectStore())
    store.apply(tables(5), 0, "edit-1", "ann")
    store.apply(tables(6), 1, "edit-2", "bob")
    assert store.apply(tables(5), 0, "edit-1", "ann").version == 2


def test_racing_operators_get_one_winner_and_typed_conflicts():
    store = ConfigStore(MemoryTableService(), MemoryObjectStore())
    store.apply(tables(1), 0, "first", "ann")
    told = []

    def edit(index):
        try:
            store.apply(tables(10 + index), 1, f"edit-{index}", f"op-{index}")
            told.append("won")
        except ConfigConflict as exc:
            told.append(exc.changed)

    threads = [threading.Thread(target=edit, args=(index,)) for index in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert told.count("won") == 1
    assert told.count(["pools/p"]) == 7
    assert store.head().version == 2


@pytest.mark.parametrize("keep_snapshots", [True, False])
def test_load_with_and_without_snapshots(keep_snapshots):
    objects = MemoryObjectStore()
    store = ConfigStore(MemoryTableService(), objects)
    for version in range(SNAPSHOT_EVERY + 3):
        store.apply(tables(version + 1), version, f"e{version}", "ann")
    if not keep_snapshots:
        objects._blobs.clear()
    loaded = store.load()
    assert (loaded.version, loaded.pools[0].slots) == (SNAPSHOT_EVERY + 3,) * 2


def history(count):
    store = ConfigStore(MemoryTableService(), MemoryObjectStore())
    for version in range(count):
        store.apply(tables(version + 1), version, f"e{version}", "ann")
    return store


def test_replica_never_moves_back_whatever_arrives_late():
    edits = [edit.dumps() for edit in history(6).edits_after(0)]
    replica = ConfigReplica()
    seen = []
    for order in ([0, 1], [0], [4], [1, 2, 3], [0, 1, 2], [2], [4, 5], [5]):
        part = LogSlice(order[0], tuple(edits[index] for index in order), "", 0)
        replica.apply(part)
        seen.append(replica.version)
    assert seen == sorted(seen)
    assert replica.version == 6
    old = history(2).load()
    assert not replica.adopt(old)
    assert replica.version == 6


@pytest.mark.parametrize(
    ("position", "snapshot"), [(0, True), (1, False), (5, False), (9, False)]
)
def test_log_from_a_position(position, snapshot):
    source = ConfigReplica()
    store = history(9)
    source.adopt(history(1).load())
    for edit in store.edits_after(1):
        source.apply(LogSlice(0, (edit.dumps(),), "", 0))
    part = source.log_since(position)
    assert bool(part.snapshot) == snapshot
    reader = ConfigReplica()
    if position:
        reader.adopt(history(position).load())
    reader.apply(part)
    assert reader.version == 9
    assert LOG_CAPACITY > 9


def test_poller_ranks_are_a_permutation():
    ids = [7, 99, 12345, 2**63, 5]
    assert sorted(poller_rank(node_id, ids) for node_id in ids) == list(range(5))
