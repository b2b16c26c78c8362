"""Tests of the budget of loads."""

from chicoryweir_policy.orders import rates


def test_loads_keep_the_rate_over_time() -> None:
    budget = rates.create_budget(10.0, 50.0, 0.0)
    started = 0
    for second in range(1001):
        budget = rates.refill(budget, float(second))
        loads = rates.count_loads(budget, 100.0)
        budget = rates.take(budget, 100.0, loads)
        started += loads
    assert 95 <= started <= 101


def test_no_load_starts_in_debt() -> None:
    budget = rates.take(rates.create_budget(10.0, 50.0, 0.0), 100.0, 1)
    assert rates.count_loads(rates.refill(budget, 4.0), 100.0) == 0
    assert rates.count_loads(rates.refill(budget, 6.0), 100.0) == 1
