"""Tests of packing maps, repairing them and planning moves between them."""

import collections

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import plan
from chicoryweir_policy.maps import repair

SHARES = strategies.lists(strategies.floats(0.001, 1.0), min_size=12, max_size=12).map(
    tuple
)


def check_map(found: placement.ExpertMap, slots: int) -> None:
    """Checks that each expert has a replica and no rank exceeds its slots."""
    assert all(found.replicas)
    assert all(len(set(ranks)) == len(ranks) for ranks in found.replicas)
    assert all(len(experts) <= slots for experts in found.list_experts())


@hypothesis.given(SHARES)
def test_packed_map_is_complete_and_within_slots(shares: tuple[float, ...]) -> None:
    found = placement.pack_experts(shares, rank_count=4, slots_per_rank=4)
    check_map(found, 4)


def test_hot_expert_gets_most_replicas() -> None:
    shares = (0.5, *(0.5 / 11 for _ in range(11)))
    found = placement.pack_experts(shares, rank_count=4, slots_per_rank=4)
    counts = [len(ranks) for ranks in found.replicas]
    assert counts[0] == max(counts) == 4
    assert found.compute_skew(shares) < 1.1


@hypothesis.given(SHARES, SHARES, strategies.integers(0, 6))
def test_repair_stays_within_budget_and_never_increases_imbalance(
    before: tuple[float, ...], after: tuple[float, ...], budget: int
) -> None:
    start = placement.pack_experts(before, 4, 4)
    found = repair.repair_map(start, after, budget, 1.0)
    check_map(found, 4)
    assert placement.count_moves(start, found) <= budget
    old, new = start.compute_loads(after), found.compute_loads(after)
    assert sum(x * x for x in new) <= sum(x * x for x in old) + 1e-9


@hypothesis.given(SHARES, SHARES, strategies.integers(1, 4))
def test_every_intermediate_map_is_complete(
    before: tuple[float, ...], after: tuple[float, ...], limit: int
) -> None:
    start = placement.pack_experts(before, 4, 4)
    goal = placement.pack_experts(after, 4, 4)
    found = plan.plan_moves(start, goal, limit)
    current = start
    for batch in found.batches:
        assert found.find_batch(current) == batch
        ranks = collections.Counter(move.rank for move in batch.moves)
        assert max(ranks.values()) == 1
        assert len(batch.moves) <= max(limit, 2)
        assert placement.count_moves(batch.start, batch.end) == len(batch.moves)
        check_map(batch.end, 4)
        current = batch.end
    assert found.count_moves() <= placement.count_moves(start, goal)


def test_swap_of_experts_with_one_replica_is_one_batch() -> None:
    start = placement.create_map(2, [[0], [1]])
    goal = placement.create_map(2, [[1], [0]])
    found = plan.plan_moves(start, goal, 1)
    assert [batch.end for batch in found.batches] == [goal]
    assert found.estimate_duration_s(10, 5.0) == 4.0


def test_map_outside_the_plan_has_no_batch() -> None:
    start = placement.create_map(2, [[0], [1]])
    found = plan.plan_moves(start, placement.create_map(2, [[1], [0]]), 1)
    assert found.find_batch(placement.create_map(2, [[0, 1], [1]])) is None
