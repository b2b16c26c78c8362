"""Load reports that arrive with a lag."""

from __future__ import annotations

import collections
import typing

Sample = dict[str, typing.Any]


class LoadReports:
    """Keeps samples of the load and shows the one from `lag_s` ago."""

    def __init__(self, lag_s: float) -> None:
        """Starts with no sample."""
        self._lag_s = lag_s
        self._samples: collections.deque[tuple[float, Sample]] = collections.deque()
        self._shown: Sample = {"running": 0, "waiting": 0, "tokens_unfinished": 0}

    def add(self, sample: Sample, now: float) -> None:
        """Notes the load at `now`."""
        self._samples.append((now, sample))

    def read(self, now: float) -> Sample:
        """Returns the load as it was a lag ago."""
        while self._samples and self._samples[0][0] <= now - self._lag_s:
            self._shown = self._samples.popleft()[1]
        return self._shown
