"""Rate limits of the platform."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class TokenBucket:
    """Limits the rate of work; work beyond it waits in a queue.

    Attributes:
        rate: Units per second.
        burst: Units that are admitted without a wait.
        max_wait_s: Longest wait; work that would wait longer is rejected.
    """

    rate: float
    burst: float
    max_wait_s: float
    _level: float = 0.0
    _updated_at: float = 0.0

    def reserve(self, units: float, now: float) -> float | None:
        """Reserves units at `now`.

        Returns:
            Seconds to wait before their use, or None if the queue is full.
        """
        elapsed = max(0.0, now - self._updated_at)
        level = max(0.0, self._level - elapsed * self.rate)
        wait_s = max(0.0, (level + units - self.burst) / self.rate)
        if wait_s > self.max_wait_s and level > 0:
            return None
        self._level = level + units
        self._updated_at = now
        return wait_s

    def compute_retry_after(self, now: float) -> float:
        """Returns the time in seconds until the queue has capacity again."""
        level = max(0.0, self._level - max(0.0, now - self._updated_at) * self.rate)
        return max(0.1, (level - self.burst) / self.rate - self.max_wait_s)
