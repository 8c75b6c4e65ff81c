"""Repeated arrivals at targets, which the ratio and the extra of the fleet bound."""

import asyncio
from collections import Counter

import pytest

from bench.mesh_standin import TargetMode

from .mesh_helpers import restart_node, running_fleet, send_first_heartbeat
from .virtual_time import run

RATIO = 0.2
EXTRA = 2.0
WORK_S = 0.05
RESET_ALL = TargetMode(reset_after_idle_s=-1.0)


async def _send_all(fleet, name, count):
    answers = [
        fleet.vms[index % len(fleet.vms)].send_request("/read/1", f"{name}-{index}")
        for index in range(count)
    ]
    return await asyncio.gather(*answers)


def _repeats(fleet, pool):
    """Return the arrivals beyond the first of each request at a pool."""
    arrivals = Counter()
    for vm in fleet.vms:
        if vm.target.pool == pool:
            arrivals.update(vm.target.arrivals)
    return arrivals.total() - len(arrivals)


@pytest.mark.parametrize("targets", [1, 2, 4])
def test_requests_reset_on_kept_connections_are_repeated_within_the_budget(targets):
    async def scenario():
        pools = ["shop"] * targets + ["stock"]
        bounds = {"retry_ratio": RATIO, "retry_extra": EXTRA}
        async with running_fleet(*pools, bounds=bounds) as fleet:
            count = 8 * targets
            for vm in fleet.vms[:targets]:
                vm.target.mode = TargetMode(work_s=WORK_S)
            await _send_all(fleet, "kept", count)
            for vm in fleet.vms[:targets]:
                vm.target.mode = RESET_ALL
            await _send_all(fleet, "reset", count)
            assert _repeats(fleet, "shop") <= RATIO * 2 * count + EXTRA

    run(scenario())


def test_one_reset_of_an_idle_connection_spares_the_requests_after_it():
    count = 6

    async def scenario():
        async with running_fleet("shop", "stock") as fleet:
            target = fleet.vms[0].target
            target.mode = TargetMode(work_s=WORK_S, reset_after_idle_s=0.3)
            await _send_all(fleet, "kept", count)
            await asyncio.sleep(0.35)
            for index in range(count):
                answer = await fleet.vms[1].send_request("/read/1", f"later-{index}")
                assert answer.status == 200
            assert _repeats(fleet, "shop") == 1

    run(scenario())


@pytest.mark.parametrize("restarts", [1, 3])
def test_nodes_that_restart_have_no_extra_retries_until_a_window_has_passed(restarts):
    async def scenario():
        bounds = {"retry_ratio": RATIO, "retry_extra": EXTRA}
        async with running_fleet("shop", "shop", bounds=bounds) as fleet:
            sent = 0
            for number in range(restarts):
                for vm in fleet.vms:
                    vm.target.mode = TargetMode()
                    await restart_node(vm)
                    await send_first_heartbeat(vm)
                for vm in fleet.vms:
                    vm.target.mode = TargetMode(shed=True)
                await _send_all(fleet, f"shed-{number}", 2)
                sent += 2
            assert _repeats(fleet, "shop") <= RATIO * sent + EXTRA

    run(scenario())
