"""Retry-after delays for rejected requests."""

from __future__ import annotations

from chicoryweir_policy import hashing

MIN_DELAY_MS = 100
MAX_DELAY_MS = 60_000
MIN_JITTER_FACTOR = 0.5


def compute_retry_after_ms(request_id: str, expected_wait_s: float) -> int:
    """Computes the delay after which a rejected caller should retry.

    The delay is the expected wait times a factor from `MIN_JITTER_FACTOR` to
    `MIN_JITTER_FACTOR + 1`, so that callers rejected together do not retry together.

    Args:
        request_id: Identifier of the request; the factor is derived from its hash.
        expected_wait_s: Expected time to serve the work queued now, in seconds.

    Returns:
        Delay in milliseconds, from `MIN_DELAY_MS` to `MAX_DELAY_MS`.
    """
    max_wait_s = MAX_DELAY_MS / 1000 / (1 + MIN_JITTER_FACTOR)
    wait_s = min(max(expected_wait_s, MIN_DELAY_MS / 1000), max_wait_s)
    jitter = hashing.hash_to_unit(request_id)
    delay_ms = int(wait_s * 1000 * (MIN_JITTER_FACTOR + jitter))
    return min(max(delay_ms, MIN_DELAY_MS), MAX_DELAY_MS)
