"""Cancels answers whose callers have stopped reading."""

from __future__ import annotations

import asyncio
import time
import typing

SEND_TIMEOUT_S = 30.0
CHECK_PERIOD_S = 5.0


class SendTimer:
    """Start time of the send in progress for one answer.

    Attributes:
        task: Task that sends the answer.
        started_at: Monotonic time in seconds; None between sends.
    """

    def __init__(self, task: asyncio.Task[typing.Any] | None) -> None:
        self.task = task
        self.started_at: float | None = None

    def start(self) -> None:
        """Records the start of a send."""
        self.started_at = time.monotonic()

    def stop(self) -> None:
        """Clears the start time, as the connection accepted the data."""
        self.started_at = None


class SendTimers:
    """Timers of all answers that an entry is sending.

    A periodic check of all of them costs less than an event loop timer for each part of
    each answer.
    """

    def __init__(self) -> None:
        self._timers: dict[str, SendTimer] = {}

    def add(self, request_id: str) -> SendTimer:
        """Adds and returns a timer for the answer that the current task sends."""
        timer = SendTimer(asyncio.current_task())
        self._timers[request_id] = timer
        return timer

    def remove(self, request_id: str) -> None:
        """Removes the timer of an answer."""
        self._timers.pop(request_id, None)

    def cancel_expired(self, now: float) -> int:
        """Cancels tasks whose send exceeds `SEND_TIMEOUT_S`; returns their number."""
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
        """Checks the timers every `CHECK_PERIOD_S`."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self.cancel_expired(time.monotonic())
