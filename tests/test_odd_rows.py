"""Odd rows among those that other processes write for the own interface.

Guards against nodes that end following the tables, or never join, because another
writer left a row that cannot be read.
"""

import pytest

from dogwooddock.config.store import CONFIG_TABLE, HEAD_KEY, ConfigStore
from dogwooddock.discovery.contacts import CONTACTS_TABLE, ContactRows
from dogwooddock.errors import PlatformError
from dogwooddock.store.base import Write
from dogwooddock.store.memory import MemoryObjectStore, MemoryTableService
from dogwooddock.tablefiles import build_tables

from .helpers import POOL, ROUTES, MiniFleet

DEEP = "[" * 100_000
HEADS = {
    "no JSON": "{",
    "nested deeply": DEEP,
    "list": "[]",
    "number": "7",
    "null": "null",
    "no fields": "{}",
    "other fields": '{"version": 9, "edit_id": "x", "more": 1}',
    "text for a number": '{"version": "x", "edit_id": "x"}',
    "number too large": '{"version": 1e999, "edit_id": "x"}',
    "lone surrogate": '{"version": 9, "edit_id": "\\ud800"}',
}
CONTACTS = [
    "",
    ":",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 30,
    "127.0.0.1:" + "9" * 5000,
    "256.0.0.1:7000",
    "host.example:7000",
    "127.0.0.1:²",
]


def _put(tables, table, key, value):
    row = tables.read(table, [key])[0]
    tables.commit(table, [Write(key, row.version, value)])


@pytest.mark.parametrize("value", HEADS.values(), ids=list(HEADS))
def test_head_that_cannot_be_read_is_an_error_of_the_platform(value):
    tables = MemoryTableService()
    _put(tables, CONFIG_TABLE, HEAD_KEY, value)
    with pytest.raises(PlatformError, match="head"):
        ConfigStore(tables, MemoryObjectStore()).head()


@pytest.mark.parametrize("value", HEADS.values(), ids=list(HEADS))
def test_edit_that_cannot_be_read_is_an_error_of_the_platform(value):
    tables = MemoryTableService()
    _put(tables, CONFIG_TABLE, "log/000000000001", value)
    with pytest.raises(PlatformError, match="log/000000000001"):
        ConfigStore(tables, MemoryObjectStore()).edits_after(0)


@pytest.mark.parametrize("value", CONTACTS)
def test_contact_that_cannot_be_read_is_left_out(value):
    tables = MemoryTableService()
    _put(tables, CONTACTS_TABLE, "zone-a/0", value)
    _put(tables, CONTACTS_TABLE, "zone-a/1", "127.0.0.1:7000")
    assert ContactRows(tables, "zone-a").read() == [("127.0.0.1", 7000)]


@pytest.mark.parametrize("key", [HEAD_KEY, "log/000000000002"])
def test_node_follows_the_tables_past_a_row_that_cannot_be_read(key):
    fleet = MiniFleet(1)
    try:
        tables = fleet.tables.inner
        head = tables.read(CONFIG_TABLE, [HEAD_KEY])[0].value
        _put(tables, CONFIG_TABLE, key, "{")
        if key != HEAD_KEY:
            _put(tables, CONFIG_TABLE, HEAD_KEY, '{"version": 2, "edit_id": "odd"}')
        reads = tables.reads
        fleet.wait(lambda: tables.reads > reads + 3)
        _put(tables, CONFIG_TABLE, HEAD_KEY, head)
        if key != HEAD_KEY:
            del tables._tables[CONFIG_TABLE][key]
        desired = build_tables(ROUTES[:2], [POOL])
        ConfigStore(tables, fleet.objects).apply(desired, 1, "second", "test")
        fleet.wait(lambda: fleet.nodes[0].config.version == 2)
    finally:
        fleet.close()
