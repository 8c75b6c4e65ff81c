"""Simulated call chains under overload, with the package's real decision functions."""

import pytest

from bench.chainplay import ChainPlay, Surge, deep_loads, deep_pools

MIN_USED_SHARE = 0.9
MAX_FAILED_SHARE = 0.05


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("factor", [0.75, 1.0])
def test_the_deepest_pool_is_kept_full_and_runs_are_not_wasted(factor, seed):
    pools = deep_pools()
    play = ChainPlay(pools, deep_loads(factor), seed=seed)
    play.play(until_s=6.0)
    assert play.used_share(pools[-1], since_s=2.0) > MIN_USED_SHARE
    chains = [play.tallies[name] for name in ("status", "book")]
    failed = sum(tally.failed for tally in chains)
    assert failed < MAX_FAILED_SHARE * sum(tally.asked for tally in chains)
    book = play.tallies["book"]
    # Requests of the highest importance are not rejected in favor of others.
    assert book.refused == 0
    assert book.good > 0.95 * (book.asked - book.failed) * 0.9


@pytest.mark.parametrize("seed", [1, 2])
def test_service_returns_within_two_seconds_of_a_surge(seed):
    surge = Surge(factor=3.0, start_s=1.0, end_s=3.0)
    play = ChainPlay(deep_pools(), deep_loads(0.5), surge, seed)
    play.play(until_s=8.0)
    before = play.credit_share(0.2, 1.0)
    assert play.credit_share(5.0, 6.0) > 0.95 * before
