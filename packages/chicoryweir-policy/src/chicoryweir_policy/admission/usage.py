"""Usage of one workspace's limits at one entry."""

from __future__ import annotations

import dataclasses

EXCHANGE_PERIOD_S = 1.0
RATE_HEADROOM = 1.2
DEMAND_DECAY_PER_PERIOD = 0.5
_ROUNDING_TOLERANCE = 1e-9


@dataclasses.dataclass(slots=True, eq=False)
class Usage:
    """Token bucket and in-flight count of one workspace, scaled by the share held.

    Attributes:
        rate_tokens_per_s: Fleet-wide rate limit; None for no limit.
        burst_tokens: Fleet-wide bucket capacity.
        max_inflight: Fleet-wide limit of requests in progress; None for no limit.
        level_tokens: Current bucket level; negative after an oversized request.
        share: Share of the limits at the latest refill.
        updated_at: Time of the latest refill, monotonic seconds.
        inflight: Requests in progress.
        peak_inflight: Peak concurrency requested in this period, admitted or not.
        requested_tokens: Tokens requested in this period, admitted or not.
        asked_share: Share asked of each peer.
        wanted_share: Share of the limits needed here, as of the end of the last period.
    """

    rate_tokens_per_s: float | None
    burst_tokens: float
    max_inflight: int | None
    level_tokens: float
    share: float
    updated_at: float
    inflight: int = 0
    peak_inflight: int = 0
    requested_tokens: float = 0.0
    asked_share: float = 0.0
    wanted_share: float = 0.0

    @property
    def capacity_tokens(self) -> float:
        """Capacity of the bucket at the current share."""
        return self.burst_tokens * self.share

    @property
    def is_idle(self) -> bool:
        """Whether this state can be discarded without changing any decision."""
        is_full = self.level_tokens >= self.capacity_tokens
        return (
            is_full and self.inflight == 0 and self.wanted_share < _ROUNDING_TOLERANCE
        )

    def refill(self, share: float, now: float) -> None:
        """Refills the bucket at the lesser of the old and the new share."""
        rate = (self.rate_tokens_per_s or 0.0) * min(share, self.share)
        filled = self.level_tokens + rate * (now - self.updated_at)
        self.share = share
        self.level_tokens = min(filled, self.capacity_tokens)
        self.updated_at = now

    def record_request(self, cost_tokens: float) -> None:
        """Counts a new request towards this period's demand."""
        self.requested_tokens += cost_tokens
        self.peak_inflight = max(self.peak_inflight, self.inflight + 1)

    def has_free_slot(self) -> bool:
        """Returns whether one more request may be in progress."""
        if self.max_inflight is None:
            return True
        return self.inflight + 1 <= self.max_inflight * self.share + _ROUNDING_TOLERANCE

    def compute_wait(self, cost_tokens: float) -> float | None:
        """Returns the seconds until the bucket admits a request; None for never.

        A request larger than the bucket is admitted when the bucket is full.
        """
        if self.rate_tokens_per_s is None:
            return 0.0
        if self.share <= 0.0:
            return None
        missing = min(cost_tokens, self.capacity_tokens) - self.level_tokens
        rate = self.rate_tokens_per_s * self.share
        return missing / rate if missing > 0.0 else 0.0

    def admit(self, cost_tokens: float) -> None:
        """Counts an admitted request and debits its cost from the bucket."""
        self.inflight += 1
        if self.rate_tokens_per_s is not None:
            self.level_tokens -= cost_tokens

    def release(self, correction_tokens: float) -> None:
        """Ends a request and debits the tokens it used beyond its estimate."""
        self.inflight = max(0, self.inflight - 1)
        if self.rate_tokens_per_s is not None:
            raised = self.level_tokens - correction_tokens
            highest = max(self.capacity_tokens, self.level_tokens)
            self.level_tokens = min(raised, highest)

    def estimate_wanted_share(self, period_s: float) -> float:
        """Estimates the share needed, including the demand of the open period."""
        share = self.wanted_share
        if self.rate_tokens_per_s:
            rate = self.requested_tokens / max(period_s, EXCHANGE_PERIOD_S)
            share = max(share, RATE_HEADROOM * rate / self.rate_tokens_per_s)
        if self.max_inflight:
            share = max(share, self.peak_inflight / self.max_inflight)
        return min(1.0, share)

    def close_period(self, period_s: float) -> None:
        """Updates the wanted share from the period's counts and resets the counts."""
        self.wanted_share *= DEMAND_DECAY_PER_PERIOD
        self.wanted_share = self.estimate_wanted_share(period_s)
        if self.wanted_share < 1e-4:
            self.wanted_share = 0.0
        self.requested_tokens = 0.0
        self.peak_inflight = self.inflight
