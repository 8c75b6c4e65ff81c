"""Selection of the nodes that read the store for their availability zone."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwooddock.policy.polling import lead_timing
from dogwooddock.policy.readers import (
    LEAD_READERS,
    READERS_PER_ZONE,
    LinkedPeer,
    is_lead_reader,
    is_store_reader,
)

# Of the bound: left for the way from a reader to the other nodes.
CROSS_ZONE_SHARE = 0.3


def address(number):
    return f"node-{number:04d}", 7000


def linked_peers(numbers, lost=()):
    return [LinkedPeer(address(number), number in lost) for number in numbers]


@pytest.mark.parametrize(
    ("own", "peers", "lost", "reads"),
    [
        pytest.param(5, [], [], True, id="no-peers"),
        pytest.param(5, [1], [], True, id="one-lower-peer"),
        pytest.param(5, [1, 2], [], False, id="two-lower-peers"),
        pytest.param(
            5, [1, 2, 3], [2], False, id="two-lower-peers-besides-one-without-store"
        ),
        pytest.param(5, [1, 2], [2], True, id="one-of-two-lower-peers-without-store"),
        pytest.param(5, [6, 7, 8], [], True, id="only-higher-peers"),
        pytest.param(5, [1, 2, 3], [1, 2, 3], True, id="all-lower-peers-without-store"),
    ],
)
def test_first_nodes_that_reach_the_store_read_it(own, peers, lost, reads):
    assert is_store_reader(address(own), linked_peers(peers, lost)) is reads


@given(
    nodes=st.sets(st.integers(0, 400), min_size=1, max_size=40),
    lost=st.sets(st.integers(0, 400), max_size=10),
    cut=st.sets(st.tuples(st.integers(0, 400), st.integers(0, 400)), max_size=60),
)
def test_node_reads_or_is_linked_to_enough_lower_nodes_that_can(nodes, lost, cut):
    """Cut arbitrary links; a node without enough such links would miss changes."""
    cut |= {(second, first) for first, second in cut}
    reading = {}
    for own in nodes:
        linked = [peer for peer in nodes if peer != own and (own, peer) not in cut]
        reading[own] = is_store_reader(address(own), linked_peers(linked, lost))
    for own in nodes - lost:
        candidates = [
            peer
            for peer in nodes - lost
            if peer != own and (own, peer) not in cut and peer < own
        ]
        assert reading[own] or len(candidates) >= READERS_PER_ZONE
    connected = sorted(nodes - lost)
    if not cut and connected:
        readers = [node for node in connected if reading[node]]
        assert readers == connected[:READERS_PER_ZONE]
        assert all(first < second for first, second in pairwise(readers))


@given(
    nodes=st.sets(st.integers(0, 400), min_size=1, max_size=40),
    lost=st.sets(st.integers(0, 400), max_size=40),
)
def test_first_nodes_that_reach_the_store_lead(nodes, lost):
    leads = [
        own
        for own in sorted(nodes)
        if is_lead_reader(address(own), own in lost, linked_peers(nodes - {own}, lost))
    ]
    able = sorted(nodes - lost)
    assert set(leads) >= set(able[:LEAD_READERS])
    assert set(leads) - set(able[:LEAD_READERS]) <= set(sorted(nodes)[:LEAD_READERS])


@pytest.mark.parametrize("bound_s", [0.5, 1.0, 2.0, 4.0, 60.0])
def test_lead_reader_notices_a_forgotten_call_within_the_bound(bound_s):
    timing = lead_timing(bound_s)
    assert timing.wait_s + timing.answer_s + CROSS_ZONE_SHARE * bound_s <= bound_s
