"""Tests of the retry budget."""

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.retries import budget


@hypothesis.given(strategies.integers(0, 3000), strategies.floats(0.0, 0.5))
def test_extra_attempts_stay_within_the_ratio(count: int, ratio: float) -> None:
    bucket = budget.TokenBucket(0.0)
    granted = 0
    for _ in range(count):
        bucket.record_request(ratio)
        granted += bucket.try_spend(0.0)
    assert granted <= budget.MAX_TOKENS / 10 + ratio * count


def test_budget_refills_over_time_without_requests() -> None:
    bucket = budget.TokenBucket(0.0, max_tokens=10.0)
    assert bucket.try_spend(0.0)
    assert not bucket.try_spend(0.0)
    assert bucket.try_spend(1.0 / budget.RESERVE_TOKENS_PER_S)
