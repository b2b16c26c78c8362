"""Ends connections whose peer takes nothing of what is sent."""

from __future__ import annotations

import asyncio
import collections.abc


class UnreadTimer:
    """Timeout for a peer that doesn't read while bytes wait to be sent."""

    def __init__(
        self,
        timeout_s: float,
        count_unsent: collections.abc.Callable[[], int],
        on_timeout: collections.abc.Callable[[], None],
    ) -> None:
        """Creates a timer that doesn't run.

        Args:
            timeout_s: Maximum time in which the peer takes nothing, in seconds.
            count_unsent: Returns the number of bytes that wait to be sent.
            on_timeout: Called after that time.
        """
        self._timeout_s = timeout_s
        self._count_unsent = count_unsent
        self._on_timeout = on_timeout
        self._timer: asyncio.TimerHandle | None = None
        self._written_bytes = 0
        self._taken_bytes = 0

    def record_write(self, written_bytes: int) -> None:
        """Records a write after which bytes wait to be sent."""
        self._written_bytes += written_bytes
        if self._timer is None:
            self._taken_bytes = self._written_bytes - self._count_unsent()
            self._start()

    def stop(self) -> None:
        """Stops the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._timeout_s, self._check)

    def _check(self) -> None:
        self._timer = None
        unsent_bytes = self._count_unsent()
        taken_bytes = self._written_bytes - unsent_bytes
        if not unsent_bytes:
            return
        if taken_bytes == self._taken_bytes:
            self._on_timeout()
            return
        self._taken_bytes = taken_bytes
        self._start()
