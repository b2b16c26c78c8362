"""Paces the steps of an engine that belongs to no group."""

from __future__ import annotations

import asyncio
import time


class FixedStepTimer:
    """Steps of a fixed time, without drift."""

    def __init__(self, step_time_s: float) -> None:
        """Uses this time for every step."""
        self._step_time_s = step_time_s
        self._next_at = 0.0

    async def wait_step(self, tokens: int) -> None:
        """Returns at the end of a step."""
        del tokens
        now = time.monotonic()
        if self._next_at <= now - self._step_time_s:
            self._next_at = now
        self._next_at += self._step_time_s
        await asyncio.sleep(max(0.0, self._next_at - now))
