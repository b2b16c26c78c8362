"""Reserves a part of a service's capacity for its more urgent requests.

Entries learn of one another's requests some tenths of a second late, and each has only
a few requests queued, so that the order of its queue says little about the order in
which the fleet starts requests. Each class is therefore admitted only up to its share
of the concurrency limit: where all of it is in use, the less urgent classes stop first.

If all entries compared the load with the same threshold, they would admit and reject
requests in unison. Each entry's threshold is drawn from a range, and changes.
"""

from __future__ import annotations

import math

from chicoryweir_policy import hashing

# Ranges of the shares of the concurrency limit up to which requests are admitted, by
# the number of more urgent classes in demand. The limit keeps events well within the
# allowed gap, so that the most urgent class may exceed it somewhat.
ADMISSION_SHARES = ((1.0, 1.1), (0.9, 1.0), (0.8, 0.95))
# The same for requests that would be late.
LATE_SHARES = (0.7, 0.9)
# Time after the last on-time request at an entry for which late ones leave capacity.
ON_TIME_MEMORY_S = 1.0
# Time after which an entry draws its thresholds again.
DRAW_PERIOD_S = 1.0
# Time after its last request for which a class counts as in demand.
DEMAND_MEMORY_S = 4.0
# Share of the started requests that each class in demand gets even if more urgent ones
# use all capacity.
FLOOR_SHARE = 0.08
# Maximum number of starts that a class saves up for its floor.
MAX_CREDIT = 2.0


class Reservation:
    """Computes the admission limits of one entry for one service."""

    def __init__(self, entry: str) -> None:
        """Initializes the limits.

        Args:
            entry: Name of the entry; seed of its draws.
        """
        self._entry = entry
        self._requested_at: dict[int, float] = {}
        self._on_time_at = -math.inf
        self._credits: dict[int, float] = {}
        self._period = -1
        self._draw = 0.0

    def record_request(self, priority: int, late: bool, now: float) -> None:
        """Records that a request of a class arrived."""
        self._requested_at[priority] = now
        if not late:
            self._on_time_at = now

    def record_start(self, priority: int, now: float) -> None:
        """Records that a request of a class was started."""
        credit = self._credits.get(priority, 0.0)
        self._credits[priority] = max(0.0, credit - 1.0)
        self._credits = {
            other: min(MAX_CREDIT, self._credits.get(other, 0.0) + FLOOR_SHARE)
            for other, at in self._requested_at.items()
            if now - at <= DEMAND_MEMORY_S
        }

    def compute_limit(self, limit: int, priority: int, late: bool, now: float) -> float:
        """Returns the number of running requests below which a class is admitted.

        Args:
            limit: Concurrency limit of the service.
            priority: Class of the request; 0 is the most urgent.
            late: Whether the request would be late.
            now: Present time, monotonic seconds.
        """
        if late and now - self._on_time_at > ON_TIME_MEMORY_S:
            return float(limit)
        more_urgent = sum(
            other < priority and now - at <= DEMAND_MEMORY_S
            for other, at in self._requested_at.items()
        )
        rank = min(more_urgent, len(ADMISSION_SHARES) - 1)
        if self._credits.get(priority, 0.0) >= 1.0:
            rank = 0
        lowest, highest = LATE_SHARES if late else ADMISSION_SHARES[rank]
        period = math.floor(now / DRAW_PERIOD_S)
        if period != self._period:
            self._period = period
            self._draw = hashing.hash_to_unit(f"{self._entry}/{period}")
        return limit * (lowest + (highest - lowest) * self._draw)
