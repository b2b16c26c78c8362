"""Tests of the token bucket that limits loads of weights."""

from chicoryweir_policy.orders import load_budgets


def test_average_load_rate_matches_refill_rate() -> None:
    budget = load_budgets.create_budget(10.0, 50.0, 0.0)
    started = 0
    for now_s in range(1001):
        budget = load_budgets.refill(budget, float(now_s))
        loads = load_budgets.count_loads(budget, 100.0)
        budget = load_budgets.spend(budget, 100.0, loads)
        started += loads
    assert 95 <= started <= 101


def test_no_load_starts_while_overdrawn() -> None:
    budget = load_budgets.spend(load_budgets.create_budget(10.0, 50.0, 0.0), 100.0, 1)
    assert load_budgets.count_loads(load_budgets.refill(budget, 4.0), 100.0) == 0
    assert load_budgets.count_loads(load_budgets.refill(budget, 6.0), 100.0) == 1
