"""Nodes of a zone share the reading of the store."""

import asyncio

from .mesh_helpers import (
    DEFAULT_ROUTES,
    config_document,
    kill_node,
    running_fleet,
    until,
)

POOLS = ("shop", "stock", "shop", "stock", "shop")
READERS = 4  # Two of the three nodes of one zone, and both of the other.


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def readers(places):
    return [place for place in places if place.node.reading.active]


async def change_config(fleet, version):
    document = config_document(version, DEFAULT_ROUTES)
    await fleet.store.put("op", "config", document)


def all_at(places, version):
    return all(place.node.config.version == version for place in places)


def test_two_nodes_of_a_zone_read_and_all_learn():
    async def scenario():
        async with running_fleet(*POOLS) as fleet:
            places = fleet.places
            await until(lambda: len(readers(places)) == READERS)
            before = fleet.store.calls["/rows-feed"]
            await change_config(fleet, 2)
            await until(lambda: all_at(places, 2))
            await asyncio.sleep(1.0)
            # Each reader waits again after the change; nobody else asks.
            assert fleet.store.calls["/rows-feed"] - before <= 2 * READERS

    run(scenario())


def test_others_read_once_the_readers_are_gone():
    async def scenario():
        async with running_fleet(*POOLS) as fleet:
            places = fleet.places
            await until(lambda: len(readers(places)) == READERS)
            learner = next(place for place in places if place not in readers(places))
            zone = learner.env.zone
            gone = [place for place in readers(places) if place.env.zone == zone]
            for place in gone:
                await kill_node(place.node)
            left = [place for place in places if place not in gone]
            await until(lambda: learner.node.reading.active)
            await change_config(fleet, 3)
            await until(lambda: all_at(left, 3))

    run(scenario())


def test_a_new_member_becomes_known_without_reading_the_store():
    async def scenario():
        async with running_fleet(*POOLS) as fleet:
            places = fleet.places
            await until(lambda: len(readers(places)) == READERS)
            learner = next(place for place in places if place not in readers(places))
            before = fleet.store.calls["/rows-get"]
            assert await places[0].target.send_heartbeat("draining") == 200
            address = places[0].env.peer_listen
            record = learner.node.fleet.members.find
            await until(lambda: record(address).state.name == "DRAINING")
            assert fleet.store.calls["/rows-get"] == before

    run(scenario())
