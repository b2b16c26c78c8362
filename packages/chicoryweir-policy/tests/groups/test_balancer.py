"""Tests of the proposals that follow a group's load."""

from chicoryweir_policy.groups import balancer
from chicoryweir_policy.maps import gates
from chicoryweir_policy.maps import rebalancers

EVEN = ((0,), (0,), (1,), (1,))
HOT = (400, 400, 100, 100)


def create_balancer(bytes_per_s: float = 1e9) -> balancer.MapBalancer:
    way = rebalancers.GatedRepair(gates.GateSettings(), rebalancers.RepairSettings())
    settings = balancer.BalancerSettings(bytes_per_s=bytes_per_s, moves_per_step=2)
    return balancer.MapBalancer(2, 4, way, settings, 0.0)


def run(
    found: balancer.MapBalancer, *patterns: tuple[int, ...]
) -> list[tuple[tuple[int, ...], ...]]:
    """Returns the maps proposed, over loads that follow one another."""
    replicas, proposals = EVEN, []
    for number in range(1, 100 * len(patterns)):
        now = number * 5.0
        found.record_load(patterns[number // 100], now)
        proposed = found.propose_map(replicas, now)
        if proposed is not None:
            proposals.append(proposed)
            replicas = proposed
    return proposals


def test_sustained_skew_gives_one_better_map() -> None:
    (proposed,) = run(create_balancer(), HOT)
    assert set(proposed[:2]) == {(0,), (1,)}


def test_even_load_gives_none() -> None:
    assert run(create_balancer(), (100, 100, 100, 100)) == []


def test_counts_of_another_model_are_left_out() -> None:
    assert run(create_balancer(), (1, 2, 3)) == []


def test_rate_of_weight_store_bounds_the_steps() -> None:
    pairs = (HOT, (400, 100, 400, 100), (400, 100, 100, 400)) * 3
    assert len(run(create_balancer(), *pairs)) > 2
    assert len(run(create_balancer(bytes_per_s=1.0), *pairs)) <= 2
