"""Use of one workspace's limits at one entry."""

from __future__ import annotations

import dataclasses

EXCHANGE_PERIOD_S = 1.0
RATE_HEADROOM = 1.2
DEMAND_DECAY_PER_PERIOD = 0.5
_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True, eq=False)
class Usage:
    """Token bucket and requests in progress, scaled by the share held.

    Attributes:
        rate_tokens_per_s: Fleet-wide limit of tokens a second; None for none.
        burst_tokens: Fleet-wide burst.
        max_inflight: Fleet-wide limit of requests in progress; None for none.
        level_tokens: Tokens that may be used now; below 0 after a large request.
        share: Share of the limits when the level was last brought up to date.
        updated_at: Time of that, monotonic seconds.
        inflight: Requests in progress.
        peak_inflight: Most requests wanted in progress in this period.
        requested_tokens: Tokens asked for in this period, admitted or not.
        asked_share: Share asked of each peer.
        wanted_share: Share of the limits wanted here, at the end of the last period.
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
        """Most tokens that the bucket holds."""
        return self.burst_tokens * self.share

    @property
    def is_idle(self) -> bool:
        """Whether forgetting it would change no decision."""
        is_full = self.level_tokens >= self.capacity_tokens
        return is_full and self.inflight == 0 and self.wanted_share < _ROUNDING

    def refill(self, share: float, now: float) -> None:
        """Brings the level up to date; of the old and new share the lesser earned."""
        rate = (self.rate_tokens_per_s or 0.0) * min(share, self.share)
        filled = self.level_tokens + rate * (now - self.updated_at)
        self.share = share
        self.level_tokens = min(filled, self.capacity_tokens)
        self.updated_at = now

    def record_request(self, cost_tokens: float) -> None:
        """Counts a request that arrived."""
        self.requested_tokens += cost_tokens
        self.peak_inflight = max(self.peak_inflight, self.inflight + 1)

    def has_free_slot(self) -> bool:
        """Tells whether one more request may be in progress."""
        if self.max_inflight is None:
            return True
        return self.inflight + 1 <= self.max_inflight * self.share + _ROUNDING

    def compute_wait(self, cost_tokens: float) -> float | None:
        """Returns the seconds until the bucket admits a request; None for never.

        One larger than the bucket passes when the bucket is full.
        """
        if self.rate_tokens_per_s is None:
            return 0.0
        if self.share <= 0.0:
            return None
        missing = min(cost_tokens, self.capacity_tokens) - self.level_tokens
        rate = self.rate_tokens_per_s * self.share
        return missing / rate if missing > 0.0 else 0.0

    def admit(self, cost_tokens: float) -> None:
        """Admits a request."""
        self.inflight += 1
        if self.rate_tokens_per_s is not None:
            self.level_tokens -= cost_tokens

    def release(self, correction_tokens: float) -> None:
        """Ends a request that used so many tokens beyond its estimate."""
        self.inflight = max(0, self.inflight - 1)
        if self.rate_tokens_per_s is not None:
            raised = self.level_tokens - correction_tokens
            highest = max(self.capacity_tokens, self.level_tokens)
            self.level_tokens = min(raised, highest)

    def estimate_wanted_share(self, period_s: float) -> float:
        """Estimates the share wanted, from the counts of a period not yet closed."""
        wanted = self.wanted_share
        if self.rate_tokens_per_s:
            rate = self.requested_tokens / max(period_s, EXCHANGE_PERIOD_S)
            wanted = max(wanted, RATE_HEADROOM * rate / self.rate_tokens_per_s)
        if self.max_inflight:
            wanted = max(wanted, self.peak_inflight / self.max_inflight)
        return min(1.0, wanted)

    def close_period(self, period_s: float) -> None:
        """Sets the share wanted from the counts of a period, and starts new ones."""
        self.wanted_share *= DEMAND_DECAY_PER_PERIOD
        self.wanted_share = self.estimate_wanted_share(period_s)
        if self.wanted_share < 1e-4:
            self.wanted_share = 0.0
        self.requested_tokens = 0.0
        self.peak_inflight = self.inflight
