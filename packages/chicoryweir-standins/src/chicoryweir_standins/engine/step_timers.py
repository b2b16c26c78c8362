"""Times the steps of an engine that belongs to no group."""

from __future__ import annotations

import asyncio
import time


class FixedStepTimer:
    """Ends steps at a fixed interval, without drift."""

    def __init__(self, step_time_s: float) -> None:
        """Creates a timer with this time for every step."""
        self._step_time_s = step_time_s
        self._step_ends_at = 0.0

    async def wait_step(self, tokens: int) -> None:
        """Returns at the end of a step."""
        del tokens
        now = time.monotonic()
        if self._step_ends_at <= now - self._step_time_s:
            self._step_ends_at = now
        self._step_ends_at += self._step_time_s
        await asyncio.sleep(max(0.0, self._step_ends_at - now))
