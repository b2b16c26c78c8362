"""Holds requests after the process was frozen, until its state is confirmed.

What a frozen process knows is as old as the freeze. When it runs again, requests that
arrived meanwhile are read before the answers of the store, and would be sent to
endpoints that have been taken out of use since.
"""

from __future__ import annotations

import asyncio
import math

from chicoryweir_daemon.forwarder import interfaces

# Time without a check after which the process counts as frozen. A data centre must not
# get requests 5 s after its evacuation was requested; a shorter freeze leaves 3 s to
# learn of it.
FROZEN_S = 2.0
# Time after which requests go on without a confirmation. All other entries announce
# themselves within it, and a call to the store has failed.
HOLD_S = 1.2


class FreezeGuard:
    """Detects freezes, also of the whole machine."""

    def __init__(self, clock: interfaces.Clock, is_enabled: bool) -> None:
        """Initializes the guard.

        Args:
            clock: Clocks of the process.
            is_enabled: Whether requests are held at all.
        """
        self._clock = clock
        self._is_enabled = is_enabled
        self._checked_at = math.inf
        self._woke_at = -math.inf
        self._is_held = False
        self._frozen_s = 0.0
        self._woken = asyncio.Event()
        self._released = asyncio.Event()

    def check(self) -> bool:
        """Returns whether requests must wait; is called often while the loop runs."""
        if not self._is_enabled:
            return False
        now = self._clock.read_boot()
        frozen_s = now - self._checked_at
        self._checked_at = now
        if frozen_s > FROZEN_S:
            self._woke_at, self._frozen_s = now, frozen_s
            self._is_held = True
            self._released.clear()
            self._woken.set()
        elif self._is_held and now - self._woke_at >= HOLD_S:
            self._release()
        return self._is_held

    def confirm(self, asked_at: float) -> None:
        """Records an answer of the store to a call that was made at a boot time."""
        if self._is_held and asked_at >= self._woke_at:
            self._release()

    async def await_wake(self) -> None:
        """Waits until the process has been frozen and its state isn't confirmed."""
        await self._woken.wait()

    async def await_release(self) -> None:
        """Waits while requests must wait."""
        while self.check():
            left_s = self._woke_at + HOLD_S - self._clock.read_boot()
            try:
                async with asyncio.timeout(max(0.0, left_s)):
                    await self._released.wait()
            except TimeoutError:
                continue

    def take_freeze(self) -> float:
        """Returns the duration of a freeze since the last call, in seconds, or 0."""
        frozen_s, self._frozen_s = self._frozen_s, 0.0
        return frozen_s

    def _release(self) -> None:
        self._is_held = False
        self._woken.clear()
        self._released.set()
