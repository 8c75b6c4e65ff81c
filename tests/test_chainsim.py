"""Call chains under overload, in the simulation with the product's decisions."""

import pytest

from bench.chainsim import ChainSimulation, Surge, deep_chain_loads, deep_chain_pools

MIN_UTILIZATION = 0.9
MAX_FAILED_SHARE = 0.05


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("factor", [0.75, 1.0])
def test_overloaded_deepest_pool_stays_utilized_and_few_chains_fail(factor, seed):
    pools = deep_chain_pools()
    simulation = ChainSimulation(pools, deep_chain_loads(factor), seed=seed)
    simulation.run(until_s=6.0)
    assert simulation.slot_utilization(pools[-1], since_s=2.0) > MIN_UTILIZATION
    chains = [simulation.counts[name] for name in ("status", "book")]
    failed = sum(item.failed for item in chains)
    assert failed < MAX_FAILED_SHARE * sum(item.sent for item in chains)
    book = simulation.counts["book"]
    assert book.refused == 0  # The most important requests are never refused.
    assert book.in_time > 0.95 * (book.sent - book.failed) * 0.9


@pytest.mark.parametrize("seed", [1, 2])
def test_goodput_recovers_within_two_seconds_after_a_surge(seed):
    surge = Surge(factor=3.0, start_s=1.0, end_s=3.0)
    simulation = ChainSimulation(deep_chain_pools(), deep_chain_loads(0.5), surge, seed)
    simulation.run(until_s=8.0)
    before = simulation.goodput_share(0.2, 1.0)
    assert simulation.goodput_share(5.0, 6.0) > 0.95 * before
