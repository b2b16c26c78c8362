"""Floors for groups of requests: each is started at least half as often as all are."""

from __future__ import annotations

import collections
import collections.abc

# A group is started at least this often, relative to all requests.
FLOOR = 0.5
# Maximum number of starts that a group saves up for its floor.
MAX_CREDIT = 2.0
# Weight of a request in the share of requests that start.
SHARE_WEIGHT = 0.03
# Maximum number of groups; those that were seen least recently are forgotten.
MAX_GROUPS = 1000


class FloorCredits:
    """Counts what each group is owed; a request may belong to several groups."""

    def __init__(self) -> None:
        self._credits: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._started_share = 1.0

    def record_request(self, groups: collections.abc.Iterable[str]) -> None:
        """Records the first attempt of a request."""
        self._started_share *= 1.0 - SHARE_WEIGHT
        for group in groups:
            credit = self._credits.get(group, 0.0) + FLOOR * self._started_share
            self._credits[group] = min(MAX_CREDIT, credit)
            self._credits.move_to_end(group)
        while len(self._credits) > MAX_GROUPS:
            self._credits.popitem(last=False)

    def record_start(self, groups: collections.abc.Iterable[str]) -> None:
        """Records a start."""
        self._started_share = min(1.0, self._started_share + SHARE_WEIGHT)
        for group in groups:
            if group in self._credits:
                self._credits[group] = max(0.0, self._credits[group] - 1.0)

    def is_owed(self, group: str) -> bool:
        """Returns whether a group is owed a start."""
        return self._credits.get(group, 0.0) >= 1.0
