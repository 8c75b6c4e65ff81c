"""Reads of a table part over several pages, between which rows change."""

import pytest

from dogwooddock.platform.store import StoreClient

from .virtual_time import run


def _row(key, version):
    return {"table": "members", "part": "", "key": key, "value": "", "ver": version}


class PagedStore(StoreClient):
    """Answers reads from prepared pages, in order."""

    def __init__(self, pages):
        super().__init__(("127.0.0.1", 1))
        self._pages = list(pages)

    async def _get(self, path, query, timeout_s=1.0):
        return self._pages.pop(0)


@pytest.mark.parametrize("versions", [(7,), (7, 7), (7, 9), (7, 9, 12), (7, 12, 9)])
def test_read_over_pages_names_the_version_up_to_which_it_has_all_changes(versions):
    """A row of the first page may change before the last page is read."""
    pages = [
        {"rows": [_row(f"k{number}", 5)], "ver": version, "has_more": True}
        for number, version in enumerate(versions)
    ]
    pages[-1]["has_more"] = False

    async def scenario():
        page = await PagedStore(pages).read("members", "")
        assert page.version == 7
        assert len(page.rows) == len(versions)

    run(scenario())
