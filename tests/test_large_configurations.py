"""Large versions of the configuration.

Guards against a node that answers nothing while it decodes a version, that falls back
behind a newer version, or that counts on a version that is not in force yet.
"""

import asyncio
import json
from collections import Counter
from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwooddock.jsontext import parse_json, parse_json_in_steps, run_steps
from dogwooddock.mesh import config
from dogwooddock.mesh.bootclock import boot_time_s
from dogwooddock.platform import desiredstate

from .mesh_helpers import (
    DEFAULT_ROUTES,
    config_document,
    route_entry,
    running_fleet,
    wait_until,
)
from .virtual_time import run

MAX_ROUTES_PER_TURN = 250
LARGE = 1_500


def large_document(version, routes=LARGE, **last):
    entries = [
        route_entry(f"r{index}", "shop", f"/{version}/{index}/")
        for index in range(routes)
    ]
    last_entry = route_entry("last", "shop", f"/last-{version}/", **last)
    return config_document(version, [*DEFAULT_ROUTES, *entries, last_entry])


class TurnCounter:
    """Count the routes that are decoded in one turn of the event loop."""

    def __init__(self, monkeypatch):
        self._decode = desiredstate._parse_route
        self._routes = 0
        self.longest = 0
        monkeypatch.setattr(desiredstate, "_parse_route", self._count)

    def _count(self, name, spec):
        self._routes += 1
        self.longest = max(self.longest, self._routes)
        return self._decode(name, spec)

    async def run(self):
        while True:
            self._routes = 0
            await asyncio.sleep(0)


@pytest.mark.parametrize("routes", [20, 400, 4_000])
@pytest.mark.parametrize("source", ["store", "peer", "start"])
def test_node_answers_while_it_decodes_a_version(routes, source, monkeypatch):
    async def scenario():
        async with running_fleet("shop") as fleet:
            vm = fleet.vms[0]
            counter = TurnCounter(monkeypatch)
            counting = asyncio.ensure_future(counter.run())
            if source == "start":
                vm.node.config.table = None
            if source == "peer":
                vm.node.config.apply_if_newer(large_document(5, routes), "peer")
            else:
                await fleet.store.put("op", "config", large_document(5, routes))
            statuses = Counter()
            while vm.node.config.version < 5:
                answer = await vm.send_request(request_id=f"req-{statuses.total()}")
                statuses[answer.status] += 1
            answer = await vm.send_request("/last-5/1", request_id="last")
            counting.cancel()
            assert answer.status == 200
            assert set(statuses) <= ({200, 503} if source == "start" else {200})
            assert counter.longest <= MAX_ROUTES_PER_TURN

    run(scenario())


def _invalid(version):
    return large_document(version, kind=7)


@pytest.mark.parametrize(
    ("documents", "in_force"),
    [
        ([large_document(5), large_document(4)], [5]),
        ([large_document(4), large_document(5)], [4, 5]),
        ([large_document(5), large_document(6, 1)], [5, 6]),
        ([large_document(5), large_document(4, 1)], [5]),
        ([large_document(3), large_document(4), large_document(5)], [3, 5]),
        ([large_document(5), large_document(5), large_document(5)], [5]),
        ([large_document(5), _invalid(9)], [5]),
        ([_invalid(9), large_document(5)], [5]),
        ([_invalid(9), _invalid(10)], []),
        ([large_document(5), large_document(9)[:-9]], [5]),
    ],
)
def test_no_older_or_invalid_version_displaces_a_newer(documents, in_force):
    async def scenario():
        changes = []
        holder = config.ConfigHolder(
            desiredstate.decode_in_steps, lambda state: changes.append(state.version)
        )
        holder.apply_if_newer(large_document(2, 1), "store")
        for document in documents:
            holder.apply_if_newer(document, "peer")
            assert holder.version == 2
            await asyncio.sleep(0)
        settled = asyncio.Event()
        holder.when_settled(settled.set)
        await settled.wait()
        assert changes == [2, *in_force]
        assert holder.table.find("app.example", f"/last-{changes[-1]}/1") is not None

    run(scenario())


def test_fault_in_decoding_does_not_stop_later_versions():
    def decode(document):
        if document == b"fault":
            raise ZeroDivisionError
        return (yield from desiredstate.decode_in_steps(document))

    holder = config.ConfigHolder(decode, lambda state: None)
    holder.apply_if_newer(b"fault", "store")
    assert holder.is_settled
    assert holder.apply_if_newer(large_document(2, 1), "store")


def test_store_proves_a_version_only_once_it_is_in_force():
    async def scenario():
        async with running_fleet("shop", bounds={"revoke_s": 20.0}) as fleet:
            node = fleet.vms[0].node
            counted = []
            node.config_proofs.on_store_proof = lambda at, era: counted.append(
                node.config.version
            )
            node.config.apply_if_newer(large_document(5), "store")
            node._on_store_proof(boot_time_s(), 1)
            assert counted == []
            await wait_until(lambda: counted)
            assert counted[0] == 5

    run(scenario())


@pytest.mark.parametrize(("source", "documents"), [("peer", 1), ("store", 0)])
def test_node_asks_no_other_peer_while_it_decodes(source, documents, monkeypatch):
    async def scenario():
        async with running_fleet(*["shop"] * 5) as fleet:
            nodes = [vm.node for vm in fleet.vms if vm.env.zone == "zone-a"]
            fleet.store.faults.silent = True
            pushes = Counter()
            on_push = nodes[2].state_sync.on_push
            nodes[2].state_sync.on_push = partial(_count_documents, pushes, on_push)
            large = large_document(5, 4_000)
            monkeypatch.setattr(config, "STEPS_PER_TURN", 1_000_000)
            for node in nodes[:2]:
                assert node.config.apply_if_newer(large, "store")
            monkeypatch.setattr(config, "STEPS_PER_TURN", 1)
            if source == "store":
                nodes[2].config.apply_if_newer(large, "store")
            await wait_until(lambda: nodes[2].config.version == 5)
            await asyncio.sleep(1.0)
            assert pushes["documents"] == documents

    run(scenario())


def _count_documents(pushes, on_push, push):
    pushes["documents"] += bool(push.update.document)
    on_push(push)


TEXTS = [
    "", " ", "{", "}", "{}", " { } ", "[]", "[1, 2]", "7", '"a"', "null", "{}x",
    "{} {}", "{\t\n\r}",
    '{"a": 1}', '{"a": 1,}', '{"a" 1}', '{"a": }', '{a: 1}', '{"a": 1 "b": 2}', "{,}",
    '{"a": []}', '{"a": [ ]}', '{"a": [1 , 2]}', '{"a": [1, 2,]}', '{"a": [,]}',
    '{"a": [1 2]}', '{"a": [1, 2}', '{"a": [1], "a": [2]}', '{"a": [[1], {"b": [2]}]}',
    '{"a": [1]} ]', '{"a": NaN}', '{"a": [Infinity]}', '{"a": "\\ud800"}', "\ufeff{}",
    '{"\\ud800": 1}', '{"a": ["\\ud800"]}', '{"a": ["\\u00e4"]}', '{"a": [1]',
    '{"a": [' + "[" * 100_000 + "]" * 100_000 + "]}", "\x0b{}", '{"a": [\x0b1]}',
]  # fmt: skip


def _outcome(parse):
    try:
        return parse()
    except ValueError:
        return ValueError


def _assert_same(text):
    steps = _outcome(lambda: run_steps(parse_json_in_steps(text)))
    assert steps == _outcome(lambda: parse_json(text))


@pytest.mark.parametrize("text", TEXTS)
@pytest.mark.parametrize("encoding", ["utf-8", "utf-16", "latin-1"])
def test_text_is_parsed_in_steps_as_at_once(text, encoding):
    _assert_same(text.encode(encoding, "replace"))


_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@given(_VALUES, st.data())
def test_cut_or_changed_text_is_parsed_in_steps_as_at_once(value, data):
    text = json.dumps(
        {"a": value, "b": [value]}, indent=data.draw(st.none() | st.just(1))
    )
    _assert_same(text.encode())
    at = data.draw(st.integers(0, len(text)))
    _assert_same((text[:at] + data.draw(st.sampled_from('",:[]{} 1'))).encode())
    _assert_same((text[:at] + data.draw(st.text()) + text[at + 1 :]).encode())


def test_version_follows_one_whose_callback_failed():
    """Guards against a holder that decodes no further version."""
    states = []

    def on_change(state):
        states.append(state.version)
        if state.version == 1:
            raise ValueError("fault of a callback")

    async def scenario():
        holder = config.ConfigHolder(desiredstate.decode_in_steps, on_change)
        for version in (1, 2):
            holder.apply_if_newer(config_document(version, DEFAULT_ROUTES), "store")
        return holder.version, holder.is_settled

    assert run(scenario()) == (2, True)
    assert states == [1, 2]
