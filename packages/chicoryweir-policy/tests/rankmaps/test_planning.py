"""Tests of demand estimates and of proposed maps when the demand shifts."""

import dataclasses
import random

import pytest

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.maps import popularity
from chicoryweir_policy.rankmaps import digests
from chicoryweir_policy.rankmaps import planning

LAYOUT = configuration.ExpertLayout(4, 64, 5, 2, 2.5e9, 0.85)
EVEN = (1.0,) * 16
# Copying two experts takes 0.22 s.
LINK_BYTES_PER_S = 22.5e9
# One more than the changes that a constant demand may need.
MAX_CHANGES = 5
LARGE_LAYOUT = configuration.ExpertLayout(2, 144, 3, 2, 2.5e9, 0.85)


def _draw_shares(layout, rng, exponent=1.1):
    shares = []
    for _ in range(layout.sets):
        weights = [
            1.0 / (position + 1) ** exponent for position in range(layout.experts)
        ]
        rng.shuffle(weights)
        shares.append(tuple(weight / sum(weights) for weight in weights))
    return shares


def _apply_proposals(maps, shares, layout, slowdowns):
    """Applies proposals until there are none; yields old maps and proposals."""
    for _ in range(MAX_CHANGES):
        proposal = planning.propose_maps(
            maps, shares, layout, slowdowns, LINK_BYTES_PER_S
        )
        if proposal is None:
            return
        yield maps, proposal
        maps = proposal.maps


@pytest.mark.parametrize(("layout", "ranks"), [(LAYOUT, 16), (LARGE_LAYOUT, 72)])
def test_changes_stay_within_rank_bounds_and_balance_the_load(layout, ranks):
    even = (1.0,) * ranks
    for seed in range(3 if ranks > 16 else 10):
        rng = random.Random(seed)
        maps = planning.create_initial_maps(layout, ranks)
        for _ in range(2):
            shares = _draw_shares(layout, rng)
            changed = list(_apply_proposals(maps, shares, layout, even))
            assert 1 <= len(changed) < MAX_CHANGES
            for before, proposal in changed:
                _check_bounds(before, proposal, layout)
                short = (
                    proposal.max_copies_per_rank * layout.expert_bytes
                    <= 0.23 * LINK_BYTES_PER_S
                )
                assert short or proposal is changed[-1][1]
            maps = changed[-1][1].maps
            step = planning.compute_relative_step_time(maps, shares, layout.share, even)
            assert step < 1.25


def _check_bounds(before, proposal, layout):
    copied = [0] * before[0].rank_count
    for old, new in zip(before, proposal.maps, strict=True):
        assert all(new.replicas)
        pairs = zip(old.list_experts(), new.list_experts(), strict=True)
        for rank, (held, wanted) in enumerate(pairs):
            assert len(set(wanted)) <= layout.slots_per_rank
            assert len(set(wanted) - set(held)) <= layout.max_copies_per_rank
            copied[rank] += len(set(wanted) - set(held))
    assert proposal.max_copies_per_rank == max(copied)
    assert proposal.copies == sum(copied)


@pytest.mark.parametrize(
    ("expert_bytes", "link"), [(0.0, LINK_BYTES_PER_S), (2.5e9, 0.0)]
)
def test_maps_are_proposed_without_expert_size_or_link_speed(expert_bytes, link):
    layout = dataclasses.replace(LAYOUT, expert_bytes=expert_bytes)
    shares = _draw_shares(layout, random.Random(7))
    maps = planning.create_initial_maps(layout, 16)
    proposal = planning.propose_maps(maps, shares, layout, EVEN, link)
    assert proposal is not None
    assert planning.compute_copy_s(proposal.max_copies_per_rank, layout, link) <= 0.23


def test_even_demand_causes_no_change():
    even = [tuple([1 / 64] * 64)] * 4
    maps = planning.create_initial_maps(LAYOUT, 16)
    assert planning.propose_maps(maps, even, LAYOUT, EVEN, LINK_BYTES_PER_S) is None


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(("slow", "slowdown", "bound"), [(1, 1.6, 1.25), (2, 6.0, 1.4)])
def test_experts_leave_slow_ranks_in_one_change(seed, slow, slowdown, bound):
    rng = random.Random(seed)
    shares = _draw_shares(LAYOUT, rng)
    maps = planning.create_initial_maps(LAYOUT, 16)
    for _, proposal in _apply_proposals(maps, shares, LAYOUT, EVEN):
        maps = proposal.maps
    slowdowns = [1.0] * 16
    for rank in rng.sample(range(16), slow):
        slowdowns[rank] = slowdown
    unchanged = planning.compute_relative_step_time(
        maps, shares, LAYOUT.share, slowdowns
    )
    proposal = planning.propose_maps(maps, shares, LAYOUT, slowdowns, LINK_BYTES_PER_S)
    assert proposal is not None
    assert proposal.before == unchanged > 1.4
    assert proposal.after < bound
    _check_bounds(maps, proposal, LAYOUT)


def test_experts_return_to_recovered_ranks():
    shares = _draw_shares(LAYOUT, random.Random(4))
    maps = planning.create_initial_maps(LAYOUT, 16)
    slowdowns = [6.0, 6.0, 6.0, *[1.0] * 13]
    for current_slowdowns in (slowdowns, EVEN):
        for _, proposal in _apply_proposals(maps, shares, LAYOUT, current_slowdowns):
            maps = proposal.maps
    assert planning.compute_relative_step_time(maps, shares, LAYOUT.share, EVEN) < 1.25


def test_small_gain_is_not_proposed():
    shares = _draw_shares(LAYOUT, random.Random(1))
    maps = planning.create_initial_maps(LAYOUT, 16)
    gains = [
        1.0 - proposal.after / proposal.before
        for _, proposal in _apply_proposals(maps, shares, LAYOUT, EVEN)
    ]
    assert 1 <= len(gains) < MAX_CHANGES
    assert min(gains) >= planning.MIN_GAIN


def test_maps_survive_encoding_and_decoding():
    shares = _draw_shares(LAYOUT, random.Random(2))
    first = planning.propose_maps(
        planning.create_initial_maps(LAYOUT, 16), shares, LAYOUT, EVEN, LINK_BYTES_PER_S
    )
    assert first is not None
    encoded = planning.encode_maps(first.maps)
    assert planning.decode_maps(encoded, LAYOUT) == first.maps


class Ranks:
    """Agents of a group's ranks; turns their counts into digests."""

    def __init__(self):
        self._sources = {}
        self._numbers = {}

    def create_digests(self, counts, now):
        """Returns a digest of each rank in `counts` since its digest before."""
        created = []
        for rank, rank_counts in counts.items():
            source = self._sources.setdefault(rank, digests.DigestSource(1))
            after = self._numbers.get(rank, digests.NO_BASE)
            digest = source.create_digest(1, rank_counts, after, now)
            self._numbers[rank] = digest.sequence
            created.append(digest)
        return created


class Tracker(planning.DemandTracker):
    """Tracker that reads the counts of ranks through their digests."""

    def __init__(self, layout, now):
        super().__init__(layout, now)
        self._ranks = Ranks()

    def add_counts(self, counts, now):
        self.add_digests(self._ranks.create_digests(counts, now), now)


# Guards against the reported experts of one rank ending the control of all maps.
@pytest.mark.parametrize(
    "change",
    [
        lambda experts: experts[:-1],
        lambda experts: [*experts, experts[0]],
        lambda experts: [[(*experts[0][0], 10_000), *experts[0][1:]], *experts[1:]],
        lambda experts: [[(), *experts[0][1:]], *experts[1:]],
        lambda experts: [[(-1,), *experts[0][1:]], *experts[1:]],
    ],
    ids=["a set less", "a set more", "unknown expert", "expert missing", "negative"],
)
def test_experts_of_another_layout_are_refused(change):
    layout = LAYOUT
    maps = planning.create_initial_maps(layout, 16)
    experts = [list(by_rank) for by_rank in planning.encode_maps(maps)]
    assert planning.decode_maps(experts, layout) == maps
    with pytest.raises(ValueError, match="expert"):
        planning.decode_maps(change(experts), layout)


def test_popularity_follows_a_shift_within_two_seconds():
    tracker = Tracker(LAYOUT, 0.0)
    total = [0] * 256
    now = 0.0
    for hot in (3, 40):
        for _ in range(8):
            now += 0.25
            for index in range(4):
                total[index * 64 + hot] += 4000
                total[index * 64 + 1] += 1000
            tracker.add_counts({0: tuple(total)}, now)
        shares = tracker.compute_shares()
        assert shares is not None
        assert all(max(set_shares) == set_shares[hot] for set_shares in shares)


def _count(shares, selections, rng, noise=0.2):
    """Returns the counts of one sample, with noise like that of varying requests."""
    counts = []
    for set_shares in shares:
        noisy = [share * rng.uniform(1.0 - noise, 1.0 + noise) for share in set_shares]
        counts += [int(selections * share / sum(noisy)) for share in noisy]
    return counts


def _add_sample(tracker, shares, total, now, rng, selections=20_000, noise=0.2):
    for index, count in enumerate(_count(shares, selections, rng, noise)):
        total[index] += count
    tracker.add_counts({0: tuple(total)}, now)


@pytest.mark.parametrize("seed", range(10))
def test_shift_is_detected_after_one_sample(seed):
    rng = random.Random(seed)
    tracker = Tracker(LAYOUT, 0.0)
    decayed = [popularity.create_popularity(64, 0.0)] * 4
    total = [0] * 256
    now = 0.0
    for _ in range(3):
        shares = _draw_shares(LAYOUT, rng)
        for sample in range(25):
            now += 0.12
            before = tuple(total)
            _add_sample(tracker, shares, total, now, rng)
            new = [
                later - earlier for later, earlier in zip(total, before, strict=True)
            ]
            decayed = [
                popularity.add_counts(
                    counts, new[64 * index : 64 * index + 64], 1.5, now
                )
                for index, counts in enumerate(decayed)
            ]
            if sample == 1:
                estimated = tracker.compute_shares()
                slow = [estimate.compute_shares() for estimate in decayed]
                assert _measure_error(estimated, shares) < 0.1
                if now > 1.0:
                    assert _measure_error(slow, shares) > 0.3


def _shift_flat_shares(shares, rng):
    """Permutes the popularity of half of the experts."""
    shifted = []
    for set_shares in shares:
        moved = [e for e in range(len(set_shares)) if rng.random() < 0.5]
        targets = rng.sample(moved, len(moved))
        after = list(set_shares)
        for expert, target in zip(moved, targets, strict=True):
            after[expert] = set_shares[target]
        shifted.append(tuple(after))
    return shifted


# Guards against maps that stay those of the demand before a small shift.
@pytest.mark.parametrize("seed", range(5))
def test_shift_among_evenly_used_experts_is_followed(seed):
    rng = random.Random(seed)
    tracker = Tracker(LARGE_LAYOUT, 0.0)
    shares = _draw_shares(LARGE_LAYOUT, rng, exponent=0.53)
    total = [0] * (LARGE_LAYOUT.sets * LARGE_LAYOUT.experts)
    now = 0.0
    for _ in range(4):
        for sample in range(8):
            now += 0.3
            _add_sample(tracker, shares, total, now, rng, 1_000_000, noise=0.06)
            if sample >= 1:
                assert _measure_error(tracker.compute_shares(), shares) < 0.04
        shares = _shift_flat_shares(shares, rng)


# Guards against a holder on a slow machine that never has an estimate.
def test_demand_is_estimated_from_samples_that_are_far_apart():
    rng = random.Random(3)
    shares = _draw_shares(LAYOUT, rng)
    tracker = Tracker(LAYOUT, 0.0)
    total = [0] * 256
    for sample in range(3):
        _add_sample(tracker, shares, total, 4.0 * sample, rng)
    assert _measure_error(tracker.compute_shares(), shares) < 0.1


def test_rank_that_was_not_in_the_last_sample_shows_no_old_selections():
    rng = random.Random(4)
    before, after = (_draw_shares(LAYOUT, rng) for _ in range(2))
    tracker = Tracker(LAYOUT, 0.0)
    total = [0] * 256
    tracker.add_counts({1: (0,) * 256}, 0.0)
    old = _count(before, 1_000_000, rng)
    for sample in range(1, 8):
        _add_sample(tracker, after, total, 0.3 * sample, rng)
    tracker.add_counts({0: tuple(total), 1: tuple(old)}, 2.4)
    assert _measure_error(tracker.compute_shares(), after) < 0.1


def _measure_error(estimates, shares):
    errors = [
        sum(abs(a - b) for a, b in zip(estimate, exact, strict=True)) / 2
        for estimate, exact in zip(estimates, shares, strict=True)
    ]
    return sum(errors) / len(errors)


def test_noise_within_one_demand_is_averaged():
    rng = random.Random(5)
    shares = _draw_shares(LAYOUT, rng)
    tracker = Tracker(LAYOUT, 0.0)
    total = [0] * 256
    for sample in range(30):
        _add_sample(tracker, shares, total, 0.12 * sample, rng)
    assert _measure_error(tracker.compute_shares(), shares) < 0.03


def test_few_selections_are_not_a_shift():
    rng = random.Random(6)
    shares = _draw_shares(LAYOUT, rng)
    tracker = Tracker(LAYOUT, 0.0)
    total = [0] * 256
    for sample in range(10):
        _add_sample(tracker, shares, total, 0.12 * sample, rng)
    total[7] += 100
    tracker.add_counts({0: tuple(total)}, 1.3)
    assert _measure_error(tracker.compute_shares(), shares) < 0.05


@pytest.mark.parametrize("wrong", [(), (5,) * 3, (5,) * 300])
def test_counts_of_another_length_are_ignored(wrong):
    rng = random.Random(7)
    shares = _draw_shares(LAYOUT, rng)
    tracker = Tracker(LAYOUT, 0.0)
    total = [0] * 256
    for sample in range(4):
        now = 0.1 * sample
        for index, count in enumerate(_count(shares, 20_000, rng)):
            total[index] += count
        tracker.add_counts({0: tuple(total), 1: wrong}, now)
    assert _measure_error(tracker.compute_shares(), shares) < 0.1


def test_too_few_selections_give_no_shares():
    tracker = Tracker(LAYOUT, 0.0)
    tracker.add_counts({0: (0,) * 256}, 0.0)
    tracker.add_counts({0: (1,) * 256}, 0.1)
    assert tracker.compute_shares() is None
