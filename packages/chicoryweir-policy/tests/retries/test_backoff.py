"""Tests of the retry backoff."""

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.retries import backoff


@hypothesis.given(strategies.integers(1, 200), strategies.text())
def test_delay_stays_within_its_growing_bounds(attempts: int, seed: str) -> None:
    delay_s = backoff.compute_backoff(attempts, seed)
    bound_s = min(backoff.MAX_S, backoff.BASE_S * 2.0 ** (attempts - 1))
    assert bound_s / 2 <= delay_s <= bound_s


def test_requests_that_failed_together_retry_at_different_times() -> None:
    delays = {backoff.compute_backoff(1, f"request-{n}") for n in range(100)}
    assert len(delays) > 90
