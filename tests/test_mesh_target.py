"""Heartbeats and leaves of the local target.

An acknowledged drain or leave must hold, also after a restart of the node.
"""

import asyncio
from dataclasses import replace

import pytest

from bench.mesh_standin import TargetMode
from dogwooddock.http1.client import ConnectionPool
from dogwooddock.mesh.targetconnections import TargetConnections
from dogwooddock.policy.lifetimes import Heartbeat, LifetimeTracker, TargetState

from .mesh_helpers import restart_node, running_fleet, status_of, wait_until
from .virtual_time import run

READY, DRAINING, GONE = TargetState.READY, TargetState.DRAINING, TargetState.GONE


def beat(target_id="a", born_ms=100, sequence=1, state=READY):
    return Heartbeat(
        target_id, "shop", ("127.0.0.1", 1), 4, state, 0, sequence, born_ms
    )


@pytest.mark.parametrize(
    ("messages", "expected"),
    [
        ([beat(), beat(sequence=2)], ("a", READY)),
        ([beat(), beat(sequence=2, state=DRAINING)], ("a", DRAINING)),
        # A late message does not bring a draining target back.
        ([beat(sequence=3, state=DRAINING), beat(sequence=2)], ("a", DRAINING)),
        ([beat(sequence=3, state=DRAINING), beat(sequence=4)], ("a", DRAINING)),
        # A new lifetime replaces the old one, with a new target id or the same one.
        ([beat(state=DRAINING), beat("b", 200)], ("b", READY)),
        ([beat(sequence=9, state=DRAINING), beat(born_ms=200)], ("a", READY)),
        # A late message of an older lifetime is ignored.
        ([beat("b", 200), beat(sequence=50)], ("b", READY)),
        # A target that left stays gone; late messages of its lifetime are ignored.
        ([beat(), ("a", 100, 2), beat(sequence=3)], ("a", GONE)),
        ([("a", 100, 2), beat()], None),
        ([("a", 100, 2), beat(born_ms=300)], ("a", READY)),
        ([beat(), ("a", 50, 2)], ("a", READY)),
        ([beat(), ("b", 100, 2)], ("a", READY)),
    ],
)
def test_tracker_keeps_the_newest_lifetime_and_ignores_stale_messages(
    messages, expected
):
    tracker = LifetimeTracker()
    for message in messages:
        if isinstance(message, tuple):
            tracker.observe_leave(*message)
        else:
            tracker.observe(message)
    accepted = tracker.current
    assert (accepted and (accepted.target_id, accepted.state)) == expected


@pytest.mark.parametrize("how", ["draining", "leave"])
def test_no_request_reaches_the_target_after_an_acknowledged_drain_or_leave(how):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, stock = fleet.vms
            shop.target.mode = TargetMode(work_s=0.2)
            running = asyncio.create_task(stock.send_request("/read/1", "early"))
            await wait_until(lambda: len(shop.target.runs) == 1)
            if how == "draining":
                assert await shop.target.send_heartbeat("draining") == 200
            else:
                assert await shop.target.leave() == 200
            answer = await stock.send_request("/read/1", "late")
            assert answer.status == 503
            assert (await running).status == 200
            assert [item.request_id for item in fleet.runs] == ["early"]
            # The state was written to the store before it was acknowledged.
            assert shop.node.announcer.synced

    run(scenario())


@pytest.mark.parametrize("store_available", [True, False])
@pytest.mark.parametrize("late_sequence", [1, 99])
def test_acknowledged_drain_holds_after_a_node_restart(store_available, late_sequence):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop = fleet.vms[0]
            assert await shop.target.send_heartbeat("draining") == 200
            if not store_available:
                fleet.store.faults.silent = True
            await restart_node(shop)
            await wait_until(lambda: shop.node.target_monitor._recovered)
            # A READY heartbeat arrives after the drain.
            shop.target.state = "draining"
            body_state = "ready"
            await _late_heartbeat(shop, body_state, late_sequence)
            await asyncio.sleep(0.3)
            assert not shop.node.gate.accepting

    run(scenario())


async def _late_heartbeat(vm, state, sequence):
    original_state = vm.target.state
    await vm.target.send_heartbeat(state, sequence)
    vm.target.state = original_state


def test_drain_is_acknowledged_in_time_while_the_store_is_unavailable():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, _ = fleet.vms
            fleet.store.faults.refuse = 503
            loop = asyncio.get_running_loop()
            started = loop.time()
            status = 0
            while status != 200 and loop.time() - started < 4:
                status = await shop.target.send_heartbeat("draining")
                assert not shop.node.gate.accepting
            assert status == 200

    run(scenario())


@pytest.mark.parametrize("fault", ["lose_answers", "refuse", "garble"])
def test_record_reaches_the_store_despite_store_faults(fault):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, _ = fleet.vms
            setattr(fleet.store.faults, fault, 503)
            await asyncio.gather(
                shop.target.send_heartbeat("draining"), asyncio.sleep(0.3)
            )
            setattr(fleet.store.faults, fault, 0)
            await wait_until(lambda: shop.node.announcer.synced)
            page = await fleet.store.rows.read("members", "zone-a")
            assert b'"DRAINING"' in page.rows[0].value

    run(scenario())


def test_node_serves_its_target_again_after_a_restart():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, stock = fleet.vms
            await restart_node(shop)
            await wait_until(lambda: shop.node.target_monitor._recovered)
            assert await shop.target.send_heartbeat() == 200
            await wait_until(lambda: shop.node.gate.accepting)
            await asyncio.sleep(0.3)
            assert (await stock.send_request("/read/1")).status == 200

    run(scenario())


@pytest.mark.parametrize(
    "change",
    [
        {"state": "sleeping"},
        {"slots": "many"},
        {"slots": None},
        {"address": "nowhere"},
        {"seq": -1},
        {"service": 7},
    ],
)
def test_malformed_heartbeat_is_rejected_and_starts_no_target(change):
    async def scenario():
        async with running_fleet("shop", send_heartbeats=False) as fleet:
            (vm,) = fleet.vms
            await wait_until(lambda: vm.node.target_monitor._recovered)
            body = {
                "service": "shop",
                "address": "127.0.0.1:1",
                "zone": "zone-a",
                "version": "v1",
                "slots": 4,
                "state": "ready",
                "cold_left": "0ms",
                "seq": 1,
                "born": 5,
                **change,
            }
            assert await vm.target._post("instances.heartbeat", body) == 400
            assert not vm.node.gate.accepting

    run(scenario())


WHOLE_HEARTBEAT = {
    "service": "shop",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left": "0ms",
}
OTHER_WRITERS = {
    **{f"no {name}": {name: None} for name in (*WHOLE_HEARTBEAT, "address", "born")},
    "whole": {},
}


@pytest.mark.parametrize("change", OTHER_WRITERS.values(), ids=list(OTHER_WRITERS))
def test_drain_is_in_force_after_a_heartbeat_of_another_writer(change):
    """Its sequence number is far ahead of the target's own."""

    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            vm = fleet.vms[0]
            host, port = vm.target.address
            body = {
                **WHOLE_HEARTBEAT,
                "address": f"{host}:{port}",
                "seq": 1000,
                "born": vm.target.born_ms,
                **change,
            }
            body = {name: value for name, value in body.items() if value is not None}
            status = await vm.target._post("instances.heartbeat", body)
            assert status == (400 if change else 200)
            assert await vm.target.send_heartbeat("draining") == 200
            assert not vm.node.gate.accepting
            answer = await fleet.vms[1].send_request()
            assert answer.status == 503 and not fleet.runs

    run(scenario())


@pytest.mark.parametrize(
    ("body", "status"),
    [
        ({}, 400),
        ({"seq": 5}, 400),
        ({"born": 7}, 400),
        ({"seq": 5, "born": "x"}, 400),
        ({"seq": 5, "born": 7}, 503),
    ],
)
def test_leave_of_another_writer_is_not_acknowledged_and_ends_no_target(body, status):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            vm = fleet.vms[0]
            assert await vm.target._post("instances.deregister", body) == status
            assert vm.node.gate.accepting
            assert (await fleet.vms[1].send_request()).status == 200

    run(scenario())


@pytest.mark.parametrize("state", ["draining", "leave"])
def test_drain_of_another_lifetime_is_not_acknowledged(state):
    """Another writer named a later lifetime than the target has."""

    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            vm = fleet.vms[0]
            host, port = vm.target.address
            born_ms = vm.target.born_ms + 60_000
            body = {**WHOLE_HEARTBEAT, "address": f"{host}:{port}", "seq": 1}
            body["born"] = born_ms
            assert await vm.target._post("instances.heartbeat", body) == 200
            await wait_until(lambda: vm.node.gate.accepting)
            if state == "leave":
                assert await vm.target.leave() == 503
            else:
                assert await vm.target.send_heartbeat(state) == 503

    run(scenario())


def test_stopping_node_finishes_a_running_request_and_its_downstream_calls():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, stock = fleet.vms
            calls = (("app.example", "/stock/1"), ("app.example", "/stock/2"))
            shop.target.mode = TargetMode(calls=calls, call_gap_s=1.6)
            response_task = asyncio.create_task(
                stock.send_request("/read/1", "slow", wait_ms=8000)
            )
            await wait_until(lambda: len(shop.target.runs) == 1)
            stopping = asyncio.create_task(shop.node.stop())
            await wait_until(lambda: shop.node.gate.stopping)
            refused = await stock.send_request("/read/1", "late")
            assert refused.status == 503
            assert "late" not in {seen.request_id for seen in fleet.runs}
            assert (await response_task).status == 200
            await stopping

    run(scenario())


def test_stored_record_of_another_pool_at_the_same_address_is_ignored():
    async def scenario():
        async with running_fleet("shop") as fleet:
            (vm,) = fleet.vms
            record = vm.node.target_monitor.record
            other = replace(record, pool="other", state=TargetState.DRAINING)
            vm.node.announcer.announce(other)
            await wait_until(lambda: vm.node.announcer.synced)
            await restart_node(vm)
            await wait_until(lambda: vm.node.target_monitor._recovered)
            assert vm.node.target_monitor._tracker.current is None

    run(scenario())


def test_stopping_node_still_forwards_requests_of_other_nodes_during_its_drain():
    """The target stays healthy while its node stops, so calls to it must not fail."""

    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, stock = fleet.vms
            shop.target.mode = TargetMode(work_s=0.1)
            loop = asyncio.get_running_loop()
            started = loop.time()
            stopping = asyncio.create_task(shop.node.stop())
            listen_s = shop.env.bounds.drain_s
            served_until = 0.0
            while not stopping.done():
                answer = await stock.send_request("/order/1", "o-1", method="POST")
                assert answer.status in (200, 503)
                if answer.status == 200:
                    served_until = loop.time() - started
            await stopping
            assert served_until > 0.5 * listen_s
            assert loop.time() - started < shop.env.bounds.grace_s

    run(scenario())


@pytest.mark.parametrize(
    ("error", "ended"),
    [
        (ConnectionRefusedError("refused"), True),
        (ConnectionResetError("too many connections"), False),
        (TimeoutError("slow to accept"), False),
    ],
    ids=["refused", "reset", "timeout"],
)
def test_only_a_refused_connect_shows_the_end_of_a_target(error, ended):
    class FailingPool(ConnectionPool):
        async def open(self):
            raise error

    async def scenario():
        connections = TargetConnections()
        reports = []
        connections.on_target_ended = lambda: reports.append(error)
        with pytest.raises(OSError):
            await connections.open(FailingPool(("127.0.0.1", 1)))
        assert bool(reports) is ended
        assert connections.target_down

    run(scenario())


def test_peers_use_a_target_again_that_was_taken_for_ended():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            vm, peer = fleet.vms
            vm.node.gate.losses.target_ended()
            refused = await peer.send_request("/read/1", "r-1")
            assert status_of(refused) == 503
            assert await vm.target.send_heartbeat() == 200
            await wait_until(lambda: vm.node.gate.accepting)
            await asyncio.sleep(0.2)
            answer = await peer.send_request("/read/1", "r-2")
            assert status_of(answer) == 200

    run(scenario())


def test_health_check_without_an_answer_leaves_no_connection_open():
    opened, closed = [], []

    async def keep_silent(reader, writer):
        opened.append(writer)
        while await reader.read(1000):
            pass
        closed.append(writer)

    async def scenario():
        silent = await asyncio.start_server(keep_silent, "127.0.0.1", 0)
        async with running_fleet("shop") as fleet:
            monitor = fleet.vms[0].node.target_monitor
            address = silent.sockets[0].getsockname()[:2]
            beat = replace(monitor._tracker.current, address=address)
            assert await monitor._request_health(beat) == ""
            await wait_until(lambda: closed)
            assert len(opened) == len(closed) == 1

    run(scenario())
