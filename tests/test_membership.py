"""Failure detection and spread of configuration versions on a virtual clock."""

import pytest

from bench.membershipsim import MembershipSimulation
from dogwooddock.errors import PeerError
from dogwooddock.peers.codec import decode_gossip, encode_gossip
from dogwooddock.policy.members import Member, MemberState, Message, MessageKind
from dogwooddock.policy.membership import BUDGET_BURST_BYTES, BUDGET_BYTES_PER_S
from dogwooddock.policy.quarantine import Mark, MarkKind

SIZE = 26
CONFIG_SPREAD_BOUND_S = 4.0


@pytest.fixture
def fleet():
    running = MembershipSimulation(SIZE, seed=4)
    running.run(3.0)
    return running


def test_stopped_node_is_declared_dead_by_all_others(fleet):
    stopped = fleet.live_nodes()[3]
    fleet.stopped.add(stopped)
    fleet.run(30.0)
    assert fleet.count_declaring_dead(stopped) == SIZE - 1
    assert fleet.count_false_deaths() == 0


@pytest.mark.parametrize("loss", [0.0, 0.05, 0.15])
def test_datagram_loss_causes_no_false_deaths(fleet, loss):
    fleet.loss = loss
    fleet.run(60.0)
    assert fleet.count_false_deaths() == 0


def test_resumed_node_is_alive_again_and_declares_nobody_dead(fleet):
    paused = fleet.live_nodes()[5]
    fleet.paused.add(paused)
    fleet.run(30.0)
    assert fleet.count_declaring_dead(paused) == SIZE - 1
    fleet.paused.clear()
    fleet.run(40.0)
    assert fleet.count_false_deaths() == 0


def test_new_node_on_the_address_of_a_stopped_one_is_a_new_member(fleet):
    stopped = fleet.live_nodes()[2]
    old = fleet.nodes[stopped].local
    fleet.stopped.add(stopped)
    successor = fleet.replacement_member(old)
    contact = fleet.nodes[fleet.live_nodes()[0]].local
    joined = fleet.add(successor, [successor])
    fleet.deliver(successor.node_id, joined.join([contact.address]))
    fleet.run(15.0)
    for node_id in fleet.live_nodes():
        members = fleet.nodes[node_id].members
        assert members[successor.node_id].state is MemberState.ALIVE
        assert stopped not in members or members[stopped].state is MemberState.DEAD


def test_no_false_deaths_early_in_a_region_partition_or_after_it_heals(fleet):
    for node_id in fleet.live_nodes():
        if int(fleet.nodes[node_id].local.zone[-2:]) < 6:
            fleet.partitioned.add(node_id)
    fleet.run(45.0)
    assert fleet.count_false_deaths() == 0
    fleet.run(120.0)
    fleet.partitioned.clear()
    fleet.run(120.0)
    assert fleet.count_false_deaths() == 0


def test_leave_is_known_to_all_others_within_three_seconds(fleet):
    leaving = fleet.live_nodes()[1]
    fleet.deliver(leaving, fleet.nodes[leaving].leave())
    fleet.stopped.add(leaving)
    fleet.run(3.0)
    assert fleet.count_declaring_dead(leaving) == SIZE - 1


@pytest.mark.parametrize("cut_s", [1.0, 2.0, 10.0])
def test_pool_change_is_learned_by_a_node_that_was_cut_off_when_it_was_told(
    fleet, cut_s
):
    changing, absent = fleet.live_nodes()[:2]
    fleet.partitioned.add(absent)
    fleet.nodes[changing].set_pool("other")
    fleet.run(cut_s)
    fleet.partitioned.clear()
    fleet.run(60.0)
    assert fleet.nodes[absent].members[changing].pool == "other"


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_config_version_reaches_all_nodes_within_the_bound(fleet, loss):
    fleet.loss = loss
    reached = {}
    fleet.on_version = lambda node_id, _: reached.setdefault(node_id, fleet.now)
    started_at = fleet.now
    fleet.set_version(fleet.live_nodes()[0], 1)
    fleet.run(CONFIG_SPREAD_BOUND_S)
    assert len(reached) == SIZE
    assert max(reached.values()) - started_at <= CONFIG_SPREAD_BOUND_S


def test_sent_bytes_stay_within_the_byte_budget(fleet):
    node = fleet.nodes[fleet.live_nodes()[0]]
    before = node.sent_bytes
    started_at = fleet.now
    for index in range(3000):
        node.merge(
            fleet.now,
            [Member(index + 1, f"m{index}", "10.9.9.9", 1 + index, "z", "p")],
        )
    fleet.run(20.0)
    allowed = BUDGET_BURST_BYTES + BUDGET_BYTES_PER_S * (fleet.now - started_at)
    assert node.sent_bytes - before <= allowed * 1.1


def test_gossip_codec_round_trip():
    member = Member((1 << 64) - 5, "n", "10.0.0.1", 7400, "z", "p", 3, MemberState(1))
    mark = Mark("abc", (1 << 63) + 1, 60, MarkKind.RELEASED, 7)
    message = Message(MessageKind.UPDATE, (1 << 64) - 1, 7, 9, 12, (member,), (mark,))
    assert decode_gossip(encode_gossip(message)) == message


@pytest.mark.parametrize("data", [b"", b"\xff" * 40, b"GET / HTTP/1.1\r\n\r\n"])
def test_datagram_that_is_not_gossip_is_rejected(data):
    with pytest.raises(PeerError):
        decode_gossip(data)
