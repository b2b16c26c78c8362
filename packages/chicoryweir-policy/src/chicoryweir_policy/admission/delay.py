"""Times after which rejected callers may come back."""

from __future__ import annotations

from chicoryweir_policy import hashing

MIN_DELAY_MS = 100
MAX_DELAY_MS = 60_000
SPREAD_MIN = 0.5


def compute_retry_after_ms(request_id: str, expected_wait_s: float) -> int:
    """Computes when a rejected caller should come back.

    The delay grows with the work that waits and differs between requests, so that
    callers rejected together do not return together.

    Args:
        request_id: Identifier of the request; the spread is a hash of it.
        expected_wait_s: Time in which the work now waiting would be served.

    Returns:
        Milliseconds, from `MIN_DELAY_MS` to `MAX_DELAY_MS`.
    """
    longest_s = MAX_DELAY_MS / 1000 / (1 + SPREAD_MIN)
    wait_s = min(max(expected_wait_s, MIN_DELAY_MS / 1000), longest_s)
    position = hashing.hash_to_unit(request_id)
    delay_ms = int(wait_s * 1000 * (SPREAD_MIN + position))
    return min(max(delay_ms, MIN_DELAY_MS), MAX_DELAY_MS)
