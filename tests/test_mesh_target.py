"""Heartbeats of the local target: acknowledgements bind, also after a restart."""

import asyncio
from dataclasses import replace

import pytest

from bench.mesh_standin import TargetMode
from dogwooddock.policy.lifetimes import Heartbeat, LifetimeTracker, TargetState

from .mesh_helpers import restart_node, running_fleet, until

READY, DRAINING, GONE = TargetState.READY, TargetState.DRAINING, TargetState.GONE


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


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
        # A new lifetime counts, with a new identity or the same one.
        ([beat(state=DRAINING), beat("b", 200)], ("b", READY)),
        ([beat(sequence=9, state=DRAINING), beat(born_ms=200)], ("a", READY)),
        # A late message of an older lifetime does not.
        ([beat("b", 200), beat(sequence=50)], ("b", READY)),
        # A target that left stays gone, whatever arrives late.
        ([beat(), ("a", 100, 2), beat(sequence=3)], ("a", GONE)),
        ([("a", 100, 2), beat()], None),
        ([("a", 100, 2), beat(born_ms=300)], ("a", READY)),
        ([beat(), ("a", 50, 2)], ("a", READY)),
        ([beat(), ("b", 100, 2)], ("a", READY)),
    ],
)
def test_newest_lifetime_counts_and_only_moves_forward(messages, expected):
    tracker = LifetimeTracker()
    for message in messages:
        if isinstance(message, tuple):
            tracker.leave(*message)
        else:
            tracker.observe(message)
    held = tracker.current
    assert (held and (held.target_id, held.state)) == expected


@pytest.mark.parametrize("how", ["draining", "leave"])
def test_acknowledged_leave_keeps_new_work_away(how):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, stock = fleet.places
            shop.target.mode = TargetMode(work_s=0.2)
            running = asyncio.create_task(stock.ask("/read/1", "early"))
            await until(lambda: len(shop.target.runs) == 1)
            if how == "draining":
                assert await shop.target.send_heartbeat("draining") == 200
            else:
                assert await shop.target.leave() == 200
            answer = await stock.ask("/read/1", "late")
            assert answer.status == 503
            assert (await running).status == 200
            assert [item.request_id for item in fleet.runs] == ["early"]
            # The acknowledgement is in the store already.
            assert shop.node.announcer.settled

    run(scenario())


@pytest.mark.parametrize("store_back", [True, False])
@pytest.mark.parametrize("late_sequence", [1, 99])
def test_acknowledged_drain_binds_a_restarted_node(store_back, late_sequence):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop = fleet.places[0]
            assert await shop.target.send_heartbeat("draining") == 200
            if not store_back:
                fleet.store.faults.silent = True
            await restart_node(shop)
            await until(lambda: shop.node.watch._recovered)
            # A heartbeat from before the drain arrives late.
            shop.target.state = "draining"
            body_state = "ready"
            await _late_heartbeat(shop, body_state, late_sequence)
            await asyncio.sleep(0.3)
            assert not shop.node.gate.accepting

    run(scenario())


async def _late_heartbeat(place, state, sequence):
    kept = place.target.state
    await place.target.send_heartbeat(state, sequence)
    place.target.state = kept


def test_drain_is_acknowledged_in_time_while_the_store_is_away():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, _ = fleet.places
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
def test_record_reaches_the_store_through_its_faults(fault):
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, _ = fleet.places
            setattr(fleet.store.faults, fault, 503)
            await asyncio.gather(
                shop.target.send_heartbeat("draining"), asyncio.sleep(0.3)
            )
            setattr(fleet.store.faults, fault, 0)
            await until(lambda: shop.node.announcer.settled)
            page = await fleet.store.rows.read("members", "zone-a")
            assert b'"DRAINING"' in page.rows[0].value

    run(scenario())


def test_node_takes_its_target_up_again_after_a_restart():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, stock = fleet.places
            await restart_node(shop)
            await until(lambda: shop.node.watch._recovered)
            assert await shop.target.send_heartbeat() == 200
            await until(lambda: shop.node.gate.accepting)
            await asyncio.sleep(0.3)
            assert (await stock.ask("/read/1")).status == 200

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
def test_malformed_heartbeats_name_no_target(change):
    async def scenario():
        async with running_fleet("shop", check_in=False) as fleet:
            (place,) = fleet.places
            await until(lambda: place.node.watch._recovered)
            body = {
                "service": "shop",
                "address": "127.0.0.1:1",
                "slots": 4,
                "state": "ready",
                "seq": 1,
                "born": 5,
                **change,
            }
            assert await place.target._post("instances.heartbeat", body) == 400
            assert not place.node.gate.accepting

    run(scenario())


def test_stopping_node_finishes_what_runs_with_the_calls_that_it_makes():
    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, stock = fleet.places
            calls = (("app.example", "/stock/1"), ("app.example", "/stock/2"))
            shop.target.mode = TargetMode(calls=calls, call_gap_s=1.6)
            asked = asyncio.create_task(stock.ask("/read/1", "slow", wait_ms=8000))
            await until(lambda: len(shop.target.runs) == 1)
            stopping = asyncio.create_task(shop.node.stop())
            await until(lambda: shop.node.gate.stopping)
            refused = await stock.ask("/read/1", "late")
            assert refused.status == 503
            assert "late" not in {seen.request_id for seen in fleet.runs}
            assert (await asked).status == 200
            await stopping

    run(scenario())


def test_stored_record_of_another_pool_at_the_same_address_is_ignored():
    async def scenario():
        async with running_fleet("shop") as fleet:
            (place,) = fleet.places
            record = place.node.watch.record
            other = replace(record, pool="other", state=TargetState.DRAINING)
            place.node.announcer.announce(other)
            await until(lambda: place.node.announcer.settled)
            await restart_node(place)
            await until(lambda: place.node.watch._recovered)
            assert place.node.watch._tracker.current is None

    run(scenario())


def test_stopping_node_serves_its_target_while_it_waits_for_callers():
    """The target is as good as before; its calls must not fail for the restart."""

    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            shop, stock = fleet.places
            shop.target.mode = TargetMode(work_s=0.1)
            loop = asyncio.get_running_loop()
            started = loop.time()
            stopping = asyncio.create_task(shop.node.stop())
            listen_s = shop.env.bounds.drain_s
            served_until = 0.0
            while not stopping.done():
                answer = await stock.ask("/order/1", "o-1", method="POST")
                assert answer.status in (200, 503)
                if answer.status == 200:
                    served_until = loop.time() - started
            await stopping
            assert served_until > 0.5 * listen_s
            assert loop.time() - started < shop.env.bounds.grace_s

    run(scenario())
