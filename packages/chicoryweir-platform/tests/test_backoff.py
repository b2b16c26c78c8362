"""Tests of the backoff between calls to the platform."""

import hypothesis
from hypothesis import strategies

from chicoryweir_platform import backoff

POLICY = backoff.BackoffPolicy(base_s=0.1, cap_s=2.0, floor_share=0.5)


def test_first_call_is_allowed_at_once() -> None:
    assert backoff.Backoff().allows(0.0)


@hypothesis.given(
    strategies.integers(0, 40), strategies.integers(), strategies.floats(0, 1e6)
)
def test_delay_stays_within_bounds(failures: int, seed: int, now: float) -> None:
    state = backoff.record_failure(backoff.Backoff(failures), POLICY, seed, now)
    max_delay_s = min(2.0, 0.1 * 2.0**failures)
    assert 0.5 * max_delay_s <= state.retry_at - now + 1e-6
    assert state.retry_at - now <= max_delay_s + 1e-6
    assert not state.allows(now)
    assert state.allows(now + max_delay_s + 1e-6)


def test_different_seeds_give_different_delays() -> None:
    delays = {
        backoff.record_failure(backoff.Backoff(3), POLICY, seed, 0.0).retry_at
        for seed in range(20)
    }
    assert len(delays) == 20


def test_same_seed_gives_the_same_delay() -> None:
    first = backoff.record_failure(backoff.Backoff(2), POLICY, 7, 1.0)
    assert first == backoff.record_failure(backoff.Backoff(2), POLICY, 7, 1.0)
