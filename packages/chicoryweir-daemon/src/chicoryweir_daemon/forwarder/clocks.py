"""Clocks of a forwarding process."""

from __future__ import annotations

import time


class SystemClock:
    """Clocks of the process."""

    def read(self) -> float:
        """Returns monotonic time, in seconds."""
        return time.monotonic()

    def read_boot(self) -> float:
        """Returns time since boot, including suspension, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
