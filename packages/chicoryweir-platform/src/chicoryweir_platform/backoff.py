"""Exponential backoff between calls to a platform that is failing or slow."""

from __future__ import annotations

import dataclasses

import xxhash

_HASH_RANGE = float(1 << 64)


@dataclasses.dataclass(frozen=True, slots=True)
class BackoffPolicy:
    """Bounds of the delay between calls.

    Attributes:
        base_s: Maximum of the first delay; the maximum doubles with each failure.
        cap_s: Maximum of any delay.
        floor_share: Minimum of a delay as a share of its maximum (0 to 1).
    """

    base_s: float = 0.05
    cap_s: float = 5.0
    floor_share: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """State of the backoff.

    Attributes:
        failures: Number of failures since the last success.
        retry_at: Monotonic time of the earliest next call, in seconds.
    """

    failures: int = 0
    retry_at: float = 0.0

    def allows(self, now: float) -> bool:
        """Returns whether a call is allowed at `now`."""
        return now >= self.retry_at


def record_failure(
    backoff: Backoff, policy: BackoffPolicy, seed: int, now: float
) -> Backoff:
    """Returns the state after a failed call, with jitter derived from `seed`."""
    max_delay_s = min(policy.cap_s, policy.base_s * 2.0 ** min(backoff.failures, 32))
    digest = xxhash.xxh64_intdigest(b"%d" % backoff.failures, seed & ((1 << 64) - 1))
    share = policy.floor_share + (1 - policy.floor_share) * (digest / _HASH_RANGE)
    return Backoff(backoff.failures + 1, now + max_delay_s * share)
