"""An entry's share of the fleet's budget for sending requests again."""

from __future__ import annotations

import collections

# Entries learn late of one another's start and end, so that shares add up to more.
SAFETY_SHARE = 0.6
_BUCKETS = 10


class RetryBudget:
    """Bounds repeats to one service over a sliding window.

    The fleet may send `ratio` times the requests of a window, plus a slack, once more.
    An entry spends the ratio on its own requests and an equal part of the slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: collections.deque[tuple[float, int]] = collections.deque()
        self._retries: collections.deque[tuple[float, int]] = collections.deque()

    def record_request(self, now: float) -> None:
        """Counts a request of a caller at `now`, monotonic seconds."""
        self._add(self._requests, now)

    def count_remaining(self, entries: int, now: float) -> float:
        """Returns the repeats that are left when `entries` share the slack."""
        allowed = self._ratio * self._count(self._requests, now)
        allowed += self._slack / max(1, entries)
        return allowed * SAFETY_SHARE - self._count(self._retries, now)

    def try_spend(self, entries: int, now: float) -> bool:
        """Takes one repeat; False when none is left."""
        if self.count_remaining(entries, now) < 1.0:
            return False
        self._add(self._retries, now)
        return True

    def _add(self, counts: collections.deque[tuple[float, int]], now: float) -> None:
        width = self._window_s / _BUCKETS
        if counts and now - counts[-1][0] < width:
            start, count = counts[-1]
            counts[-1] = (start, count + 1)
            return
        counts.append((now, 1))

    def _count(self, counts: collections.deque[tuple[float, int]], now: float) -> int:
        while counts and counts[0][0] < now - self._window_s * (1 + 1 / _BUCKETS):
            counts.popleft()
        return sum(count for _, count in counts)
