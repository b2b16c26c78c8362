"""Shifts of the experts in demand."""

import dataclasses
import random

import pytest

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.maps import popularity
from chicoryweir_policy.rankmaps import planning

LAYOUT = configuration.ExpertLayout(4, 64, 5, 2, 2.5e9, 0.85)
EVEN = (1.0,) * 16
# Two experts take 0.22 s.
LINK = 22.5e9
# Changes after which a demand that stays the same is evened out, and one more.
MOST_CHANGES = 5
LARGE = configuration.ExpertLayout(2, 144, 3, 2, 2.5e9, 0.85)


def _draw_shares(layout, rng):
    shares = []
    for _ in range(layout.sets):
        weights = [1.0 / (place + 1) ** 1.1 for place in range(layout.experts)]
        rng.shuffle(weights)
        shares.append(tuple(weight / sum(weights) for weight in weights))
    return shares


def _settle(maps, shares, layout, paces):
    """Makes changes until none pays any more; yields the maps before and after each."""
    for _ in range(MOST_CHANGES):
        proposal = planning.propose_maps(maps, shares, layout, paces, LINK)
        if proposal is None:
            return
        yield maps, proposal
        maps = proposal.maps


@pytest.mark.parametrize(("layout", "ranks"), [(LAYOUT, 16), (LARGE, 72)])
def test_changes_keep_the_bounds_of_every_rank_and_even_the_load(layout, ranks):
    even = (1.0,) * ranks
    for seed in range(3 if ranks > 16 else 10):
        rng = random.Random(seed)
        maps = planning.create_initial_maps(layout, ranks)
        for _ in range(2):
            shares = _draw_shares(layout, rng)
            changed = list(_settle(maps, shares, layout, even))
            assert 1 <= len(changed) < MOST_CHANGES
            for before, proposal in changed:
                _check_bounds(before, proposal, layout)
                short = (
                    proposal.max_copies_per_rank * layout.expert_bytes <= 0.23 * LINK
                )
                assert short or proposal is changed[-1][1]
            maps = changed[-1][1].maps
            step = planning.compute_relative_step_time(maps, shares, layout.share, even)
            assert step < 1.25


def _check_bounds(before, proposal, layout):
    arrived = [0] * before[0].rank_count
    for old, new in zip(before, proposal.maps, strict=True):
        assert all(new.replicas)
        pairs = zip(old.list_experts(), new.list_experts(), strict=True)
        for rank, (held, wanted) in enumerate(pairs):
            assert len(set(wanted)) <= layout.places
            assert len(set(wanted) - set(held)) <= layout.spare
            arrived[rank] += len(set(wanted) - set(held))
    assert proposal.max_copies_per_rank == max(arrived)
    assert proposal.copies == sum(arrived)


@pytest.mark.parametrize(("expert_bytes", "link"), [(0.0, LINK), (2.5e9, 0.0)])
def test_engine_that_does_not_tell_its_copies_gets_even_maps_too(expert_bytes, link):
    layout = dataclasses.replace(LAYOUT, expert_bytes=expert_bytes)
    shares = _draw_shares(layout, random.Random(7))
    maps = planning.create_initial_maps(layout, 16)
    proposal = planning.propose_maps(maps, shares, layout, EVEN, link)
    assert proposal is not None
    assert planning.compute_copy_s(proposal.max_copies_per_rank, layout, link) <= 0.23


def test_even_demand_changes_nothing():
    even = [tuple([1 / 64] * 64)] * 4
    maps = planning.create_initial_maps(LAYOUT, 16)
    assert planning.propose_maps(maps, even, LAYOUT, EVEN, LINK) is None


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize(("slow", "pace", "bound"), [(1, 1.6, 1.25), (2, 6.0, 1.4)])
def test_experts_leave_slow_ranks_in_one_change(seed, slow, pace, bound):
    rng = random.Random(seed)
    shares = _draw_shares(LAYOUT, rng)
    maps = planning.create_initial_maps(LAYOUT, 16)
    for _, proposal in _settle(maps, shares, LAYOUT, EVEN):
        maps = proposal.maps
    paces = [1.0] * 16
    for rank in rng.sample(range(16), slow):
        paces[rank] = pace
    stuck = planning.compute_relative_step_time(maps, shares, LAYOUT.share, paces)
    proposal = planning.propose_maps(maps, shares, LAYOUT, paces, LINK)
    assert proposal is not None
    assert proposal.before == stuck > 1.4
    assert proposal.after < bound
    _check_bounds(maps, proposal, LAYOUT)


def test_experts_come_back_to_a_rank_that_has_recovered():
    shares = _draw_shares(LAYOUT, random.Random(4))
    maps = planning.create_initial_maps(LAYOUT, 16)
    paces = [6.0, 6.0, 6.0, *[1.0] * 13]
    for speeds in (paces, EVEN):
        for _, proposal in _settle(maps, shares, LAYOUT, speeds):
            maps = proposal.maps
    assert planning.compute_relative_step_time(maps, shares, LAYOUT.share, EVEN) < 1.25


def test_small_gain_is_left():
    shares = _draw_shares(LAYOUT, random.Random(1))
    maps = planning.create_initial_maps(LAYOUT, 16)
    gains = [
        1.0 - proposal.after / proposal.before
        for _, proposal in _settle(maps, shares, LAYOUT, EVEN)
    ]
    assert 1 <= len(gains) < MOST_CHANGES
    assert min(gains) >= planning.MIN_GAIN


def test_maps_come_back_from_their_encoding():
    shares = _draw_shares(LAYOUT, random.Random(2))
    first = planning.propose_maps(
        planning.create_initial_maps(LAYOUT, 16), shares, LAYOUT, EVEN, LINK
    )
    assert first is not None
    encoded = planning.encode_maps(first.maps)
    assert planning.decode_maps(encoded, LAYOUT) == first.maps


def test_popularity_follows_a_shift_within_two_seconds():
    book = planning.DemandTracker(LAYOUT, 0.0)
    total = [0] * 256
    now = 0.0
    for hot in (3, 40):
        for _ in range(8):
            now += 0.25
            for part in range(4):
                total[part * 64 + hot] += 4000
                total[part * 64 + 1] += 1000
            book.add_counts({0: tuple(total)}, now)
        shares = book.compute_shares()
        assert shares is not None
        assert all(max(known) == known[hot] for known in shares)


def _count(shares, picks, rng):
    """Returns counts of one look, with the unevenness of the requests under way."""
    counts = []
    for known in shares:
        spread = [share * rng.uniform(0.8, 1.2) for share in known]
        counts += [int(picks * share / sum(spread)) for share in spread]
    return counts


def _feed(book, shares, total, now, rng, picks=20_000):
    for place, count in enumerate(_count(shares, picks, rng)):
        total[place] += count
    book.add_counts({0: tuple(total)}, now)


@pytest.mark.parametrize("seed", range(10))
def test_shift_is_known_after_one_look(seed):
    rng = random.Random(seed)
    book = planning.DemandTracker(LAYOUT, 0.0)
    fading = [popularity.create_popularity(64, 0.0)] * 4
    total = [0] * 256
    now = 0.0
    for _ in range(3):
        shares = _draw_shares(LAYOUT, rng)
        for look in range(25):
            now += 0.12
            before = tuple(total)
            _feed(book, shares, total, now, rng)
            new = [late - early for late, early in zip(total, before, strict=True)]
            fading = [
                popularity.add_counts(
                    known, new[64 * place : 64 * place + 64], 1.5, now
                )
                for place, known in enumerate(fading)
            ]
            if look == 1:
                known = book.compute_shares()
                slow = [one.compute_shares() for one in fading]
                assert _measure_error(known, shares) < 0.1
                if now > 1.0:
                    assert _measure_error(slow, shares) > 0.3


def _measure_error(known, shares):
    errors = [
        sum(abs(a - b) for a, b in zip(one, other, strict=True)) / 2
        for one, other in zip(known, shares, strict=True)
    ]
    return sum(errors) / len(errors)


def test_unevenness_within_one_demand_is_averaged():
    rng = random.Random(5)
    shares = _draw_shares(LAYOUT, rng)
    book = planning.DemandTracker(LAYOUT, 0.0)
    total = [0] * 256
    for look in range(30):
        _feed(book, shares, total, 0.12 * look, rng)
    assert _measure_error(book.compute_shares(), shares) < 0.03


def test_few_picks_of_a_pause_are_no_shift():
    rng = random.Random(6)
    shares = _draw_shares(LAYOUT, rng)
    book = planning.DemandTracker(LAYOUT, 0.0)
    total = [0] * 256
    for look in range(10):
        _feed(book, shares, total, 0.12 * look, rng)
    total[7] += 100
    book.add_counts({0: tuple(total)}, 1.3)
    assert _measure_error(book.compute_shares(), shares) < 0.05


def test_too_few_picks_say_nothing():
    book = planning.DemandTracker(LAYOUT, 0.0)
    book.add_counts({0: (0,) * 256}, 0.0)
    book.add_counts({0: (1,) * 256}, 0.1)
    assert book.compute_shares() is None
