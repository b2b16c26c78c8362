"""Tests of repacking a map for a new demand."""

import random

import pytest

from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import repacking
from chicoryweir_policy.maps import repair

TARGET_SKEW = 1.05


def _draw_shares(experts, exponent, rng):
    weights = [1.0 / (position + 1) ** exponent for position in range(experts)]
    rng.shuffle(weights)
    return tuple(weight / sum(weights) for weight in weights)


def _create_initial_map(experts, ranks):
    return placement.create_map(ranks, [(e % ranks,) for e in range(experts)])


def _check_bounds(before, after, bounds):
    assert all(after.replicas)
    for held, wanted, copies in zip(
        before.list_experts(), after.list_experts(), bounds.max_copies, strict=True
    ):
        assert len(wanted) == len(set(wanted)) <= bounds.slots
        assert len(set(wanted) - set(held)) <= copies


# Steps of lock-step groups of 16 to 384 ranks, whose demand moves to other experts.
@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(
    ("ranks", "experts", "slots", "exponent", "bound"),
    [
        (16, 64, 5, 1.1, 1.3),
        (72, 144, 3, 0.52, 1.15),
        (192, 384, 3, 0.43, 1.15),
        (384, 384, 3, 0.43, 1.15),
    ],
)
def test_one_change_evens_out_a_shift(ranks, experts, slots, exponent, bound, seed):
    rng = random.Random(seed)
    bounds = repair.RankBounds(slots, (2,) * ranks)
    even = (1.0,) * ranks
    current = _create_initial_map(experts, ranks)
    for _ in range(3):
        shares = _draw_shares(experts, exponent, rng)
        repacked = repacking.repack_map(current, shares, TARGET_SKEW, bounds, even)
        _check_bounds(current, repacked, bounds)
        assert repacked.compute_skew(shares) <= bound
        current = repacked


@pytest.mark.parametrize("seed", range(10))
def test_bounds_hold_for_random_maps_bounds_and_slow_ranks(seed):
    rng = random.Random(seed)
    for _ in range(20):
        ranks, slots = rng.randrange(2, 20), rng.randrange(1, 5)
        experts = rng.randrange(1, ranks * slots + 1)
        current = _create_initial_map(experts, ranks)
        for _ in range(4):
            bounds = repair.RankBounds(
                slots, tuple(rng.randrange(3) for _ in range(ranks))
            )
            slowdowns = [rng.choice((1.0, 1.0, 4.0)) for _ in range(ranks)]
            shares = _draw_shares(experts, rng.uniform(0.0, 2.0), rng)
            repacked = repacking.repack_map(
                current, shares, TARGET_SKEW, bounds, slowdowns
            )
            _check_bounds(current, repacked, bounds)
            current = repacked


def test_map_that_fits_the_demand_is_kept():
    rng = random.Random(3)
    bounds = repair.RankBounds(3, (2,) * 192)
    shares = _draw_shares(384, 0.43, rng)
    first = repacking.repack_map(
        _create_initial_map(384, 192), shares, 1.15, bounds, (1.0,) * 192
    )
    again = repacking.repack_map(first, shares, 1.15, bounds, (1.0,) * 192)
    assert placement.count_moves(first, again) <= 10


def test_experts_leave_slow_ranks():
    rng = random.Random(4)
    bounds = repair.RankBounds(3, (2,) * 192)
    shares = _draw_shares(384, 0.43, rng)
    slowdowns = [8.0 if rank < 4 else 1.0 for rank in range(192)]
    current = _create_initial_map(384, 192)
    repacked = repacking.repack_map(current, shares, 1.05, bounds, slowdowns)
    before = max(current.compute_times(shares, slowdowns))
    assert max(repacked.compute_times(shares, slowdowns)) < 0.4 * before


def test_expert_without_a_copy_allowed_stays_where_it_is():
    bounds = repair.RankBounds(2, (0, 0))
    current = placement.create_map(2, [(0,), (0,), (1,)])
    shares = (0.8, 0.1, 0.1)
    repacked = repacking.repack_map(current, shares, 1.0, bounds, (1.0, 1.0))
    assert repacked == current
