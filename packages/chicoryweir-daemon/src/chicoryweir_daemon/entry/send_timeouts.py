"""Ends the answers of callers that no longer take what is sent to them."""

from __future__ import annotations

import asyncio
import time
import typing

SEND_TIMEOUT_S = 30.0
CHECK_PERIOD_S = 5.0


class SendTimer:
    """One answer that is being sent; `started_at` is set while a send is under way."""

    def __init__(self, task: asyncio.Task[typing.Any] | None) -> None:
        self.task = task
        self.started_at: float | None = None

    def start(self) -> None:
        """A send begins."""
        self.started_at = time.monotonic()

    def stop(self) -> None:
        """The caller's connection took what was sent."""
        self.started_at = None


class SendTimers:
    """All answers of an entry that are being sent.

    One cancel_expired over them costs less than a timer for each piece of each answer.
    """

    def __init__(self) -> None:
        self._timers: dict[str, SendTimer] = {}

    def add(self, request_id: str) -> SendTimer:
        """Adds the answer that the present task sends."""
        timer = SendTimer(asyncio.current_task())
        self._timers[request_id] = timer
        return timer

    def remove(self, request_id: str) -> None:
        """Removes an answer."""
        self._timers.pop(request_id, None)

    def cancel_expired(self, now: float) -> int:
        """Ends answers that wait for their callers too long; returns how many."""
        expired = [
            timer
            for timer in self._timers.values()
            if timer.started_at is not None and now - timer.started_at > SEND_TIMEOUT_S
        ]
        for timer in expired:
            if timer.task is not None:
                timer.task.cancel()
        return len(expired)

    async def run(self) -> typing.NoReturn:
        """Sweeps from time to time."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self.cancel_expired(time.monotonic())
