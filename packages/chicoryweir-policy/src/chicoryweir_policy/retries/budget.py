"""Retry budget that limits retries and hedges to a fraction of the requests."""

from __future__ import annotations

import typing

RESERVE_TOKENS_PER_S = 0.5
MAX_TOKENS = 50.0


class Budget(typing.Protocol):
    """Limits the number of extra attempts."""

    def record_request(self, ratio: float) -> None:
        """Records a request, which earns `ratio` of an extra attempt, 0 to 1."""

    def try_spend(self, now: float) -> bool:
        """Spends one extra attempt; returns False when the budget is exhausted."""


class TokenBucket:
    """Token bucket refilled by requests, and slowly over time for low traffic.

    When all endpoints fail, extra attempts stay below `ratio` of the requests, so that
    retries cannot multiply the load.
    """

    def __init__(
        self,
        now: float,
        max_tokens: float = MAX_TOKENS,
        reserve_tokens_per_s: float = RESERVE_TOKENS_PER_S,
    ) -> None:
        """Fills the bucket to a tenth of its capacity.

        Args:
            now: Present time, monotonic seconds.
            max_tokens: Capacity, in extra attempts.
            reserve_tokens_per_s: Extra attempts earned per second without requests.
        """
        self._max_tokens = max_tokens
        self._reserve_per_s = reserve_tokens_per_s
        self._tokens = max_tokens / 10
        self._refilled_at = now

    def record_request(self, ratio: float) -> None:
        """Records a request, which earns `ratio` of an extra attempt, 0 to 1."""
        self._tokens = min(self._max_tokens, self._tokens + ratio)

    def try_spend(self, now: float) -> bool:
        """Spends one extra attempt; returns False when the budget is exhausted."""
        earned = max(0.0, now - self._refilled_at) * self._reserve_per_s
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(self._max_tokens, self._tokens + earned)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def make_budget(now: float) -> Budget:
    """Creates a budget whose refill starts at `now`, in monotonic seconds."""
    return TokenBucket(now)
