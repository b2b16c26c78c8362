"""Tests of the digests of a rank's selections."""

import random

import pytest

from chicoryweir_policy.rankmaps import digests

SIZE = 64


def _create_pair(before, after, epochs=(1, 1)):
    """Returns the second digest of a rank with these counts, 0.3 s after the first."""
    source = digests.DigestSource(7)
    first = source.create_digest(epochs[0], before, digests.NO_BASE, 5.0)
    return source.create_digest(epochs[1], after, first.sequence, 5.3)


def test_first_digest_has_no_selections():
    digest = digests.DigestSource(7).create_digest(1, [3] * SIZE, 99, 5.0)
    assert digest.interval_s is None
    assert digests.add_digests([digest], SIZE) == [0] * SIZE


@pytest.mark.parametrize("added", [0, 1, 255])
def test_small_selections_are_exact(added):
    digest = _create_pair([10] * SIZE, [10 + added] * SIZE)
    assert digest.interval_s == pytest.approx(0.3)
    assert digests.add_digests([digest], SIZE) == [added] * SIZE


@pytest.mark.parametrize("seed", range(10))
def test_sum_over_many_ranks_is_close_to_the_exact_one(seed):
    rng = random.Random(seed)
    exact = [0] * SIZE
    made = []
    for _ in range(700):
        added = [rng.randrange(rng.choice((40, 4000))) for _ in range(SIZE)]
        exact = [known + new for known, new in zip(exact, added, strict=True)]
        made.append(_create_pair([0] * SIZE, added))
    found = digests.add_digests(made, SIZE)
    for close, true in zip(found, exact, strict=True):
        assert close == pytest.approx(true, rel=0.01)


def test_largest_values_of_many_ranks_do_not_overflow():
    made = [_create_pair([0] * SIZE, [255] * SIZE) for _ in range(600)]
    assert digests.add_digests(made, SIZE) == [255 * 600] * SIZE


# A rank that started again counts from zero; the selections before are unknown.
@pytest.mark.parametrize(
    ("after", "epochs"),
    [([9] * (SIZE - 1) + [0], (1, 1)), ([20] * SIZE, (1, 2)), ([20] * 3, (1, 1))],
)
def test_counts_that_do_not_continue_give_no_selections(after, epochs):
    assert _create_pair([9] * SIZE, after, epochs).interval_s is None


def test_digest_after_a_lost_answer_covers_the_time_since_the_last_received_one():
    source = digests.DigestSource(7)
    received = source.create_digest(1, [0] * SIZE, digests.NO_BASE, 1.0)
    source.create_digest(1, [3] * SIZE, received.sequence, 2.0)
    digest = source.create_digest(1, [5] * SIZE, received.sequence, 3.0)
    assert digest.interval_s == 2.0
    assert digests.add_digests([digest], SIZE) == [5] * SIZE


def test_digest_of_an_earlier_process_is_no_base():
    earlier = digests.DigestSource(7).create_digest(1, [0] * SIZE, 0, 1.0)
    source = digests.DigestSource(900)
    source.create_digest(1, [1] * SIZE, 0, 2.0)
    assert source.create_digest(1, [5] * SIZE, earlier.sequence, 3.0).interval_s is None


def test_number_of_kept_bases_is_bounded():
    source = digests.DigestSource(7)
    numbers = [
        source.create_digest(1, [n] * SIZE, 0, float(n)).sequence for n in range(30)
    ]
    found = [source.create_digest(1, [99] * SIZE, numbers[0], 40.0).interval_s]
    assert found == [None]
    assert len(source._bases) == digests.KEPT_BASES


def test_values_of_another_length_are_left_out():
    digest = _create_pair([0] * 3, [5] * 3)
    assert digests.add_digests([digest], SIZE) == [0] * SIZE
