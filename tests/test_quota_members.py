"""Whether a node that was suspended may grant quotas.

Guards against a node that takes itself for in touch since its own clock stood still.
"""

from random import Random

import pytest

from dogwooddock.mesh.quotamembers import QuotaMembers
from dogwooddock.policy.quota import QuotaLimit, QuotaRule
from dogwooddock.policy.quotagranter import QuotaGranter

ADDRESSES = [(f"10.0.0.{number}", 7000) for number in range(1, 9)]
ACCOUNT_ID = 1
LIMIT = QuotaLimit(100, 100)


class _Fleet:
    """Links on whose clock a suspension takes no time."""

    address = ADDRESSES[0]
    changes = 1

    def __init__(self):
        self.silence = 0.1
        self.probed = set()

    def granting_members(self):
        return ADDRESSES

    def granting_count(self):
        return len(ADDRESSES)

    def reaches(self, address):
        return True

    def silence_s(self, address):
        return self.silence

    def probe(self, address):
        self.probed.add(address)


def _refresh_until(members, start, end):
    now = start
    while now <= end:
        members.refresh(now)
        now += 0.1
    return now


@pytest.mark.parametrize("suspended_s", [1.5, 4.0, 60.0])
def test_suspended_node_does_not_grant_until_it_has_heard_from_peers(suspended_s):
    fleet = _Fleet()
    members = QuotaMembers(fleet, Random(1))
    now = _refresh_until(members, 100.0, 102.0)
    assert members.view.can_grant
    now += suspended_s
    members.refresh(now)
    assert not members.view.can_grant
    assert fleet.probed
    fleet.silence = 0.0
    now = _refresh_until(members, now + 0.1, now + 0.5)
    assert members.view.can_grant


def test_node_that_was_not_suspended_grants_on():
    fleet = _Fleet()
    members = QuotaMembers(fleet, Random(1))
    fleet.silence = 0.4
    _refresh_until(members, 100.0, 110.0)
    assert members.view.can_grant


@pytest.mark.parametrize("excess", [0.0, 0.5])
def test_bounds_that_are_read_again_hold_for_accounts_in_use(excess):
    members = QuotaMembers(_Fleet(), Random(1))
    members.refresh(100.0)
    granter = QuotaGranter(QuotaRule(5.0, 0.1, 20), members.view, 100.0)
    granter.set_limits(100.0, {ACCOUNT_ID: LIMIT})
    bucket = granter._buckets[ACCOUNT_ID] = granter._new_bucket(LIMIT)
    bucket.tokens = bucket.capacity
    rule = QuotaRule(5.0, excess, 20)
    granter.set_rule(100.1, rule)
    assert bucket.margin == rule.margin(LIMIT)
    assert bucket.tokens <= bucket.capacity
