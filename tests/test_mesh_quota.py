"""Quotas of accounts over a few nodes with links, and what their callers get.

Guards against quotas that count per node, tokens that are lost with requests that never
ran, and a burst that is refused after a change of owner.
"""

import asyncio
import time

import pytest
import structlog

from dogwooddock.mesh.quotas import LOG_PERIOD_S
from dogwooddock.policy.quota import QuotaLimit, QuotaRule

from .mesh_helpers import (
    account_entry,
    config_document,
    cut_links,
    restart_node,
    route_entry,
    running_fleet,
    status_of,
    wait_until,
)
from .virtual_time import run

LIMIT = QuotaLimit(5, 5)
ROUTES = [
    route_entry("read", "shop", "/read/"),
    route_entry("empty", "front", "/empty/"),
    account_entry("acme", "key-a", rate_per_s=5, burst=5),
    account_entry("tiny", "key-t", rate_per_s=1, burst=1),
    account_entry("free", "key-f"),
]


async def send_many(fleet, key, count, path="/read/"):
    """Send requests at all nodes at once and return the responses."""
    headers = b"X-Api-Key: " + key + b"\r\n"
    sends = [
        fleet.vms[index % len(fleet.vms)].send_request(
            f"{path}{index}", f"r{index}", headers=headers
        )
        for index in range(count)
    ]
    return await asyncio.gather(*sends)


@pytest.mark.parametrize("cut", [False, True])
def test_a_hot_account_gets_its_quota_over_all_nodes_and_429_beyond(cut):
    async def scenario():
        async with running_fleet("shop", "shop", "shop", routes=ROUTES) as fleet:
            if cut:
                for other in fleet.vms[1:]:
                    cut_links(fleet.vms[0], other)
            answers = await send_many(fleet, b"key-a", 120)
            statuses = [status_of(answer) for answer in answers]
            assert LIMIT.burst <= statuses.count(200) <= QuotaRule().bound(LIMIT)
            assert len(fleet.runs) == statuses.count(200)
            assert statuses.count(200) + statuses.count(429) == len(statuses)
            refused = next(answer for answer in answers if answer.status == 429)
            assert b"quota" in refused.body
            assert b"retry-after" in {name.lower() for name, _ in refused.headers}

    run(scenario())


def test_a_burst_right_after_a_change_of_owner_is_served_at_once():
    """The quotas' clocks stand still until the burst has run: nothing is earned."""

    async def scenario():
        async with running_fleet("shop", "shop", "shop", routes=ROUTES) as fleet:
            clock = fleet.vms[0].node.quotas._clock
            all_quotas = [vm.node.quotas for vm in fleet.vms]
            for quotas in all_quotas:
                now = clock()
                quotas._members.refreshed_at = float("-inf")
                quotas._refresh_view(now)
                quotas._granter._settled_at = now
                quotas._clock = lambda now=now: now
            sends = asyncio.create_task(send_many(fleet, b"key-a", 120))
            await wait_until(lambda: len(fleet.runs) >= LIMIT.burst)
            for quotas in all_quotas:
                quotas._clock = clock
            statuses = [status_of(answer) for answer in await sends]
            assert LIMIT.burst <= statuses.count(200) <= QuotaRule().bound(LIMIT)
            assert statuses.count(200) + statuses.count(429) == len(statuses)

    run(scenario())


def test_members_are_listed_only_after_a_change():
    async def scenario():
        async with running_fleet("shop", "shop", "shop", routes=ROUTES) as fleet:
            first, *others = fleet.vms
            quotas, members = first.node.quotas, first.node.fleet
            listings = []
            list_members = members.granting_members
            members.granting_members = lambda: listings.append(1) or list_members()
            now = quotas._clock()
            quotas._members.refreshed_at = float("-inf")
            quotas._tick(now)
            del listings[:]
            for step in range(100):
                quotas._tick(now + 0.5 * step)
            assert not listings
            assert len(quotas._members.view.reached) == 3
            quotas._members.refreshed_at = now
            cut_links(first, others[0])
            await wait_until(lambda: len(quotas._members.view.reached) == 2)
            assert listings

    run(scenario())


def test_a_node_that_knows_many_more_members_does_not_grant_on_its_old_view():
    async def scenario():
        async with running_fleet("shop", "shop", "shop", routes=ROUTES) as fleet:
            answers = await send_many(fleet, b"key-t", 30)
            served = [status_of(answer) for answer in answers].count(200)
            assert sum(vm.node.quotas._granter.owned for vm in fleet.vms) == 1
            assert served <= QuotaRule().bound(QuotaLimit(1, 1)) / 2

    run(scenario())


@pytest.mark.parametrize("restarted", [1, 3])
def test_quota_has_one_owner_after_a_route_was_dropped_and_nodes_restarted(restarted):
    """Guards against nodes that remember pools which others have never used."""

    async def scenario():
        pools = ["shop"] * 3 + ["stock"] * 3
        extra = route_entry("stock", "stock", "/stock/")
        async with running_fleet(*pools, routes=[*ROUTES, extra]) as fleet:
            await fleet.store.put("op", "config", config_document(2, ROUTES))
            nodes = [vm.node for vm in fleet.vms]
            await wait_until(lambda: all(node.config.version == 2 for node in nodes))
            for vm in fleet.vms[:restarted]:
                await restart_node(vm)
            nodes = [vm.node for vm in fleet.vms]
            await wait_until(lambda: all(node.ready for node in nodes))
            await asyncio.sleep(3.0)
            views = [node.quotas._members.view for node in nodes]
            assert len({view.known for view in views}) == 1
            account_id = nodes[0].quotas._ids["acme"]
            assert len({view.owner(account_id) for view in views}) == 1
            answers = await send_many(fleet, b"key-a", 240)
            served = [status_of(answer) for answer in answers].count(200)
            assert LIMIT.burst <= served <= QuotaRule().bound(LIMIT)

    run(scenario())


def test_refusals_have_one_line_a_second_and_account_at_a_node():
    async def scenario():
        async with running_fleet("shop", "shop", routes=ROUTES) as fleet:
            started_at = time.monotonic()
            with structlog.testing.capture_logs() as lines:
                answers = await send_many(fleet, b"key-t", 80)
            periods = 1 + int((time.monotonic() - started_at) / LOG_PERIOD_S)
            refused = {
                f"r{index}"
                for index, answer in enumerate(answers)
                if status_of(answer) == 429
            }
            assert len(refused) > 40
            about = [line for line in lines if line.get("request") in refused]
            assert 1 <= len(about) <= periods * len(fleet.vms)
            assert {line["event"] for line in about} == {"quota_exceeded"}

    run(scenario())


def test_an_account_without_a_rate_needs_no_tokens():
    async def scenario():
        async with running_fleet("shop", "shop", routes=ROUTES) as fleet:
            answers = await send_many(fleet, b"key-f", 16)
            assert {status_of(answer) for answer in answers} == {200}
            assert not any(vm.node.quotas.messages for vm in fleet.vms)

    run(scenario())


def test_a_request_that_does_not_run_gives_its_token_back():
    async def scenario():
        async with running_fleet("shop", routes=ROUTES) as fleet:
            statuses = set()
            for _ in range(40):
                (answer,) = await send_many(fleet, b"key-t", 1, "/empty/")
                statuses.add(answer.status)
            assert statuses == {503}

    run(scenario())
