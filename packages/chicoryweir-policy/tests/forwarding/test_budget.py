"""Shares of the budget for repeats."""

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
def test_all_entries_together_keep_the_bound_in_every_window(entries, events):
    shares = [budget.SharedBudget(RATIO, SLACK, WINDOW_S) for _ in range(entries)]
    now = 0.0
    requests, spent = [], []
    for gap_s, index, repeats in events:
        now += gap_s
        share = shares[index % entries]
        share.note_request(now)
        requests.append(now)
        if repeats and share.withdraw(entries, now):
            spent.append(now)
        allowed = RATIO * sum(t > now - WINDOW_S for t in requests) + SLACK
        assert sum(t > now - WINDOW_S for t in spent) <= allowed


def test_share_comes_back_after_the_window():
    share = budget.SharedBudget(RATIO, SLACK, WINDOW_S)
    while share.withdraw(7, 1.0):
        pass
    assert not share.withdraw(7, 5.0)
    assert share.withdraw(7, 1.0 + WINDOW_S * 1.2)


def test_fewer_entries_leave_more_for_each():
    share = budget.SharedBudget(RATIO, SLACK, WINDOW_S)
    assert share.count_left(2, 0.0) > share.count_left(7, 0.0)
