"""Large bodies between two nodes: whole, each its own, and refused cleanly."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.mesh_standin import TargetMode
from dogwooddock.errors import PeerError
from dogwooddock.mesh.calls import MeshReply
from dogwooddock.peers import links
from dogwooddock.peers.linkbodies import (
    MAX_BODY_BYTES,
    PART_BYTES,
    IncomingBodies,
    OutgoingBodies,
)
from dogwooddock.peers.linkcodec import PartFrame, ReplyFrame
from dogwooddock.policy.heldbytes import Held
from dogwooddock.policy.outcomes import Outcome

from .mesh_helpers import running_fleet, status_of, wait_until

SIZES = st.lists(st.integers(1, 5 * PART_BYTES), min_size=1, max_size=5)


def _announce(call_id, size):
    return ReplyFrame(call_id, MeshReply(Outcome.ANSWERED), 1, size)


@given(SIZES, st.sets(st.integers(0, 4)), st.integers(0, 12))
def test_each_body_arrives_whole_unless_it_was_dropped(sizes, dropped, drop_after):
    bodies = {n: bytes([n + 1]) * size for n, size in enumerate(sizes)}
    outgoing, incoming, arrived = OutgoingBodies(), IncomingBodies(), {}
    for call_id, body in bodies.items():
        incoming.begin(_announce(call_id, len(body)))
        outgoing.add(call_id, body)
    count = 0
    while (part := outgoing.next_part()) is not None:
        frame = incoming.add(part)
        if frame is not None:
            arrived[frame.call_id] = frame.reply.body
        count += 1
        if count == drop_after:
            for call_id in dropped:
                outgoing.drop(call_id)
    kept = set(bodies) - dropped if count >= drop_after > 0 else set(bodies)
    assert kept <= set(arrived)
    assert all(arrived[call_id] == bodies[call_id] for call_id in arrived)
    assert outgoing.unsent_bytes == 0


def test_small_body_waits_for_one_part_of_a_large_one():
    outgoing = OutgoingBodies()
    outgoing.add(1, b"x" * 100 * PART_BYTES)
    outgoing.add(2, b"y")
    assert [outgoing.next_part().call_id for _ in range(3)] == [1, 2, 1]


@pytest.mark.parametrize(
    ("size", "data"), [(3, b"four"), (MAX_BODY_BYTES + 1, b""), (-1, b"")]
)
def test_body_of_another_size_than_announced_closes_the_link(size, data):
    incoming = IncomingBodies()
    with pytest.raises(PeerError):
        incoming.begin(_announce(1, size))
        incoming.add(PartFrame(1, data))


def _upload(vm, request_id, size):
    options = {"method": "POST", "body": b"u" * size, "wait_ms": 20_000}
    return vm.send_request("/stock/1", request_id, **options)


def test_large_answer_is_counted_until_the_link_has_taken_it():
    async def scenario():
        async with running_fleet("stock", "shop") as fleet:
            first, second = fleet.vms
            await wait_until(lambda: second.node.fleet.has_members("stock"))
            first.target.mode = TargetMode(body_bytes=900_000)
            most = []
            first.node.memory.hold = _recording(first.node.memory.hold, most)
            answer = await second.send_request("/stock/1", "large")
            assert len(answer.body) == 900_000
            for node in (first.node, second.node):
                await wait_until(lambda node=node: node.memory.total_bytes == 0)
            return most

    assert (Held.ANSWER, 900_000) in asyncio.run(scenario())


def _recording(hold, calls):
    def record(kind, size):
        calls.append((kind, size))
        return hold(kind, size)

    return record


def test_peer_of_the_release_before_gets_no_body_that_closes_its_link(monkeypatch):
    monkeypatch.setattr(links, "MAX_UNDIVIDED_BODY_BYTES", 600_000)

    async def scenario():
        async with running_fleet("stock", "shop") as fleet:
            ingress = fleet.vms[1]
            await wait_until(lambda: ingress.node.fleet.has_members("stock"))
            assert status_of(await _upload(ingress, "parts", 1_000_000)) == 200
            (outbound,) = ingress.node.fleet._links.values()
            link = outbound._link
            link.peer_takes_parts = False
            assert status_of(await _upload(ingress, "large", 1_000_000)) == 503
            assert status_of(await _upload(ingress, "whole", 500_000)) == 200
            assert outbound._link is link
            memory = fleet.vms[0].node.memory
            await wait_until(lambda: memory.held_bytes(Held.CALL) == 0)
            return [(run.request_id, len(run.body)) for run in fleet.runs]

    runs = asyncio.run(scenario())
    assert runs == [("parts", 1_000_000), ("whole", 500_000)]
