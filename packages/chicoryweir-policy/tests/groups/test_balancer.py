"""Tests of map proposals from a group's load."""

from chicoryweir_policy.groups import balancer
from chicoryweir_policy.maps import gates
from chicoryweir_policy.maps import rebalancers

EVEN_MAP = ((0,), (0,), (1,), (1,))
SKEWED_LOAD = (400, 400, 100, 100)


def create_balancer(bytes_per_s: float = 1e9) -> balancer.MapBalancer:
    rebalancer = rebalancers.GatedRepair(
        gates.GateSettings(), rebalancers.RepairSettings()
    )
    settings = balancer.BalancerSettings(bytes_per_s=bytes_per_s, moves_per_batch=2)
    return balancer.MapBalancer(2, 4, rebalancer, settings, 0.0)


def run(
    map_balancer: balancer.MapBalancer, *patterns: tuple[int, ...]
) -> list[tuple[tuple[int, ...], ...]]:
    """Returns the maps proposed while the load follows the patterns in turn."""
    replicas, proposals = EVEN_MAP, []
    for number in range(1, 100 * len(patterns)):
        now = number * 5.0
        map_balancer.record_load(patterns[number // 100], now)
        proposed = map_balancer.propose_map(replicas, now)
        if proposed is not None:
            proposals.append(proposed)
            replicas = proposed
    return proposals


def test_sustained_skew_yields_one_better_map() -> None:
    (proposed,) = run(create_balancer(), SKEWED_LOAD)
    assert set(proposed[:2]) == {(0,), (1,)}


def test_even_load_yields_no_proposal() -> None:
    assert run(create_balancer(), (100, 100, 100, 100)) == []


def test_counts_for_another_number_of_experts_are_ignored() -> None:
    assert run(create_balancer(), (1, 2, 3)) == []


def test_weight_store_bandwidth_limits_proposals() -> None:
    patterns = (SKEWED_LOAD, (400, 100, 400, 100), (400, 100, 100, 400)) * 3
    assert len(run(create_balancer(), *patterns)) > 2
    assert len(run(create_balancer(bytes_per_s=1.0), *patterns)) <= 2
