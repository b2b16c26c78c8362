"""Load reports with a lag."""

from __future__ import annotations

import collections
import typing

Sample = dict[str, typing.Any]


class LoadReports:
    """Stores samples of the load and reports the one from `lag_s` ago."""

    def __init__(self, lag_s: float) -> None:
        """Creates reports without samples."""
        self._lag_s = lag_s
        self._samples: collections.deque[tuple[float, Sample]] = collections.deque()
        self._reported: Sample = {"running": 0, "waiting": 0, "tokens_unfinished": 0}

    def add(self, sample: Sample, now: float) -> None:
        """Records the load at `now`."""
        self._samples.append((now, sample))

    def read(self, now: float) -> Sample:
        """Returns the load as it was `lag_s` ago."""
        while self._samples and self._samples[0][0] <= now - self._lag_s:
            self._reported = self._samples.popleft()[1]
        return self._reported
