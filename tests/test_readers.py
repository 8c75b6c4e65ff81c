"""Which nodes read the store for their availability zone."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwooddock.policy.readers import READERS_PER_ZONE, PeerSight, reads_store


def address(number):
    return f"node-{number:04d}", 7000


def sights(numbers, lost=()):
    return [PeerSight(address(number), number in lost) for number in numbers]


@pytest.mark.parametrize(
    ("own", "peers", "lost", "reads"),
    [
        pytest.param(5, [], [], True, id="alone"),
        pytest.param(5, [1], [], True, id="second"),
        pytest.param(5, [1, 2], [], False, id="third"),
        pytest.param(5, [1, 2, 3], [2], False, id="enough-besides-one-without-store"),
        pytest.param(5, [1, 2], [2], True, id="in-place-of-one-without-store"),
        pytest.param(5, [6, 7, 8], [], True, id="first"),
        pytest.param(5, [1, 2, 3], [1, 2, 3], True, id="store-lost-for-all-others"),
    ],
)
def test_first_nodes_with_a_store_read(own, peers, lost, reads):
    assert reads_store(address(own), sights(peers, lost)) is reads


@given(
    nodes=st.sets(st.integers(0, 400), min_size=1, max_size=40),
    lost=st.sets(st.integers(0, 400), max_size=10),
    cut=st.sets(st.tuples(st.integers(0, 400), st.integers(0, 400)), max_size=60),
)
def test_a_node_that_can_read_does_or_sees_one_that_does(nodes, lost, cut):
    """Whatever links are cut, news reach each node from the store or over a link."""
    cut |= {(second, first) for first, second in cut}
    reading = {}
    for own in nodes:
        seen = [peer for peer in nodes if peer != own and (own, peer) not in cut]
        reading[own] = reads_store(address(own), sights(seen, lost))
    for own in nodes - lost:
        able = [
            peer
            for peer in nodes - lost
            if peer != own and (own, peer) not in cut and peer < own
        ]
        assert reading[own] or len(able) >= READERS_PER_ZONE
    connected = sorted(nodes - lost)
    if not cut and connected:
        readers = [node for node in connected if reading[node]]
        assert readers == connected[:READERS_PER_ZONE]
        assert all(first < second for first, second in pairwise(readers))
