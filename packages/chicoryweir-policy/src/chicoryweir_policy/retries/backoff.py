"""Exponential backoff between attempts, with jitter derived from a seed."""

from __future__ import annotations

import xxhash

BASE_S = 0.02
MAX_S = 1.0


def compute_backoff(attempts: int, seed: str) -> float:
    """Computes the delay before the next attempt.

    Args:
        attempts: Attempts made so far, at least 1.
        seed: Identifier of the request; spreads the retries of requests that failed
            together.

    Returns:
        Delay in seconds, between half and all of an exponentially growing bound.
    """
    bound_s = min(MAX_S, BASE_S * 2.0 ** min(attempts - 1, 30))
    digest = xxhash.xxh64_intdigest(f"{seed}/{attempts}".encode())
    return bound_s * (0.5 + digest / 2.0**65)
