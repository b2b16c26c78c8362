"""Delays between attempts at a platform that is out or slow."""

from __future__ import annotations

import dataclasses

import xxhash

_HASH_RANGE = float(1 << 64)


@dataclasses.dataclass(frozen=True, slots=True)
class BackoffPolicy:
    """Bounds of the delay between attempts.

    Attributes:
        base_s: Bound of the first delay.
        cap_s: Bound that no delay exceeds.
        floor_share: Share of the bound that each delay has at least (0 to 1).
    """

    base_s: float = 0.05
    cap_s: float = 5.0
    floor_share: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Attempts since the last success.

    Attributes:
        failures: Attempts that failed in a row.
        retry_at: Monotonic time before which nothing is attempted.
    """

    failures: int = 0
    retry_at: float = 0.0

    def allows(self, now: float) -> bool:
        """Tells whether an attempt may be made at `now`."""
        return now >= self.retry_at


def record_failure(
    backoff: Backoff, policy: BackoffPolicy, seed: int, now: float
) -> Backoff:
    """Returns the state after a failed attempt, with jitter drawn from `seed`."""
    bound = min(policy.cap_s, policy.base_s * 2.0 ** min(backoff.failures, 32))
    digest = xxhash.xxh64_intdigest(b"%d" % backoff.failures, seed & ((1 << 64) - 1))
    share = policy.floor_share + (1 - policy.floor_share) * (digest / _HASH_RANGE)
    return Backoff(backoff.failures + 1, now + bound * share)
