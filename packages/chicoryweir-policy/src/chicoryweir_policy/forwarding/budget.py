"""An entry's share of the fleet-wide retry budget."""

from __future__ import annotations

import collections

# Fraction of its share that an entry spends. Until entries detect that another one has
# started or ended, their shares add up to more than the fleet's budget.
SAFETY_SHARE = 0.6
_BUCKETS = 10


class RetryBudget:
    """Limits retries to one service over a sliding window.

    In each window the fleet may send at most `ratio * requests + slack` retries. Each
    entry applies the ratio to its own requests and gets an equal part of the slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: collections.deque[tuple[float, int]] = collections.deque()
        self._retries: collections.deque[tuple[float, int]] = collections.deque()

    def record_request(self, now: float) -> None:
        """Counts a caller's request that arrived at `now`, monotonic seconds."""
        self._add(self._requests, now)

    def count_remaining(self, entries: int, now: float) -> float:
        """Returns how many retries remain when `entries` entries share the slack."""
        allowed = self._ratio * self._count(self._requests, now)
        allowed += self._slack / max(1, entries)
        return allowed * SAFETY_SHARE - self._count(self._retries, now)

    def try_spend(self, entries: int, now: float) -> bool:
        """Spends one retry; returns False if none remains."""
        if self.count_remaining(entries, now) < 1.0:
            return False
        self._add(self._retries, now)
        return True

    def _add(self, counts: collections.deque[tuple[float, int]], now: float) -> None:
        bucket_s = self._window_s / _BUCKETS
        if counts and now - counts[-1][0] < bucket_s:
            start, count = counts[-1]
            counts[-1] = (start, count + 1)
            return
        counts.append((now, 1))

    def _count(self, counts: collections.deque[tuple[float, int]], now: float) -> int:
        while counts and counts[0][0] < now - self._window_s * (1 + 1 / _BUCKETS):
            counts.popleft()
        return sum(count for _, count in counts)
