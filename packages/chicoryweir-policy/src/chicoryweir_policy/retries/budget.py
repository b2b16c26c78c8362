"""Budget that bounds retries and hedges by a share of the requests."""

from __future__ import annotations

import typing

RESERVE_TOKENS_PER_S = 0.5
MAX_TOKENS = 50.0


class Budget(typing.Protocol):
    """Allows a bounded number of extra attempts."""

    def record_request(self, ratio: float) -> None:
        """Records a request; it earns `ratio` of an extra attempt, 0 to 1."""

    def try_spend(self, now: float) -> bool:
        """Takes one extra attempt at `now`; False when none is left."""


class TokenBucket:
    """Token bucket filled by requests, and slowly by time for quiet hours.

    When all endpoints fail, extra attempts stay below `ratio` of the requests, so
    that they can't multiply the load.
    """

    def __init__(
        self,
        now: float,
        max_tokens: float = MAX_TOKENS,
        reserve_tokens_per_s: float = RESERVE_TOKENS_PER_S,
    ) -> None:
        """Starts with a tenth of the tokens.

        Args:
            now: Monotonic time in seconds.
            max_tokens: Most extra attempts that can be saved up.
            reserve_tokens_per_s: Extra attempts a second that need no requests.
        """
        self._max_tokens = max_tokens
        self._reserve_per_s = reserve_tokens_per_s
        self._tokens = max_tokens / 10
        self._refilled_at = now

    def record_request(self, ratio: float) -> None:
        """Records a request; it earns `ratio` of an extra attempt, 0 to 1."""
        self._tokens = min(self._max_tokens, self._tokens + ratio)

    def try_spend(self, now: float) -> bool:
        """Takes one extra attempt at `now`; False when none is left."""
        earned = max(0.0, now - self._refilled_at) * self._reserve_per_s
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(self._max_tokens, self._tokens + earned)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def make_budget(now: float) -> Budget:
    """Makes a budget that starts at `now`."""
    return TokenBucket(now)
