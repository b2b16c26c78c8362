"""Tests of the shares of the retry budget."""

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.forwarding import budget

RATIO, SLACK, WINDOW_S = 0.2, 90.0, 10.0


@hypothesis.given(
    strategies.integers(1, 7),
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 0.2),
            strategies.integers(0, 6),
            strategies.booleans(),
        ),
        max_size=400,
    ),
)
def test_all_entries_together_stay_within_budget_in_every_window(entries, events):
    budget_shares = [budget.RetryBudget(RATIO, SLACK, WINDOW_S) for _ in range(entries)]
    now = 0.0
    requests, retries = [], []
    for pause_s, index, wants_retry in events:
        now += pause_s
        budget_share = budget_shares[index % entries]
        budget_share.record_request(now)
        requests.append(now)
        if wants_retry and budget_share.try_spend(entries, now):
            retries.append(now)
        allowed = RATIO * sum(at > now - WINDOW_S for at in requests) + SLACK
        assert sum(at > now - WINDOW_S for at in retries) <= allowed


def test_budget_is_restored_after_the_window():
    budget_share = budget.RetryBudget(RATIO, SLACK, WINDOW_S)
    while budget_share.try_spend(7, 1.0):
        pass
    assert not budget_share.try_spend(7, 5.0)
    assert budget_share.try_spend(7, 1.0 + WINDOW_S * 1.2)


def test_share_is_larger_with_fewer_entries():
    budget_share = budget.RetryBudget(RATIO, SLACK, WINDOW_S)
    assert budget_share.count_remaining(2, 0.0) > budget_share.count_remaining(7, 0.0)
