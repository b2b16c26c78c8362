"""Tests of random walks through simulations with fixed seeds."""

from __future__ import annotations

import pytest

from chicoryweir_standins.simulation import exploration


@pytest.mark.parametrize("seed", range(1, 13))
def test_guarantees_hold_on_a_random_walk(seed: int) -> None:
    exploration.walk_once(seed)


@pytest.mark.parametrize(
    "seed",
    [
        pytest.param(23, id="stream whose last message is lost resumes elsewhere"),
        pytest.param(55, id="request that arrives while its entry stops is answered"),
        pytest.param(530, id="answer that begins after its deadline is not begun"),
        pytest.param(62, id="answer that ends after its deadline is not cut short"),
    ],
)
def test_guarantees_hold_on_walks_that_once_failed(seed: int) -> None:
    exploration.walk_once(seed)


@pytest.mark.parametrize(
    "seed",
    [
        pytest.param(27, id="content that ran beside poison by chance is suspected"),
        pytest.param(5200147, id="two losses do not clear content that shared one"),
    ],
)
def test_guarantees_hold_on_prompt_walks_that_once_failed(seed: int) -> None:
    exploration.walk_once(seed, prompt_delivery=True)


def test_equal_seeds_give_equal_walks() -> None:
    first = exploration.walk_once(7)
    second = exploration.walk_once(7)
    assert first.steps == second.steps
    assert first.callers.records == second.callers.records
