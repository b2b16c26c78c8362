"""Sizes of requests relative to others, and use of a service by workspaces."""

from __future__ import annotations

import collections
import enum
import math

import sortedcontainers

# Number of requests that the size of a request is compared with.
SIZE_SAMPLES = 200
# Number of requests below which all count as usual.
MIN_SIZE_SAMPLES = 20
# Shares of the requests that cost less than a large one, and than one of the largest.
LARGE_RANK = 0.7
LARGEST_RANK = 0.9
# Time constant after which uses and arrivals are forgotten. An entry of 38 sees some
# three requests a second.
USE_MEMORY_S = 4.0
# Use of a workspace, relative to the mean of the active ones, above which it yields.
FAIR_MULTIPLE = 2.0
# Use below which a workspace isn't remembered, in answer tokens.
MIN_USE = 1.0


class Size(enum.Enum):
    """Size of a request relative to recent ones.

    Attributes:
        USUAL: Smaller than the largest three tenths.
        LARGE: In the fifth below the largest tenth.
        LARGEST: In the largest tenth.
    """

    USUAL = "usual"
    LARGE = "large"
    LARGEST = "largest"


class SizeRanks:
    """Ranks the cost of a request among the recent ones."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._sorted = sortedcontainers.SortedList()

    def record(self, cost: float) -> None:
        """Records the cost of a request."""
        self._recent.append(cost)
        self._sorted.add(cost)
        if len(self._recent) > SIZE_SAMPLES:
            self._sorted.remove(self._recent.popleft())

    def rank(self, cost: float) -> Size:
        """Returns the size of a request that costs this much."""
        if len(self._recent) < MIN_SIZE_SAMPLES:
            return Size.USUAL
        rank = self._sorted.bisect_left(cost) / len(self._recent)
        if rank >= LARGEST_RANK:
            return Size.LARGEST
        return Size.LARGE if rank >= LARGE_RANK else Size.USUAL


class WorkspaceUse:
    """Measures the recent use of a service by each workspace."""

    def __init__(self) -> None:
        self._uses: dict[str, float] = {}
        self._updated_at = 0.0

    def record(self, workspace: str, cost: float, now: float) -> None:
        """Records a started request."""
        self._update(now)
        self._uses[workspace] = self._uses.get(workspace, 0.0) + cost

    def measure_excess(self, workspace: str, now: float) -> float:
        """Returns how many times the use has doubled above its share, at least 0."""
        self._update(now)
        use = self._uses.get(workspace, 0.0)
        if use <= 0.0:
            return 0.0
        mean = sum(self._uses.values()) / len(self._uses)
        return max(0.0, math.log2(use / (FAIR_MULTIPLE * mean)))

    def _update(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0.0:
            return
        self._updated_at = now
        factor = math.exp(-elapsed_s / USE_MEMORY_S)
        self._uses = {
            name: use * factor
            for name, use in self._uses.items()
            if use * factor >= MIN_USE
        }


class ClassMix:
    """Measures the shares of the priority classes in the recent requests."""

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._updated_at = 0.0

    def record(self, priority: int, now: float) -> None:
        """Records a request that arrived."""
        factor = math.exp(-max(0.0, now - self._updated_at) / USE_MEMORY_S)
        self._updated_at = now
        self._counts = {other: n * factor for other, n in self._counts.items()}
        self._counts[priority] = self._counts.get(priority, 0.0) + 1.0

    def measure_share(self, priority: int) -> float:
        """Returns the share of the requests that are more urgent than a priority."""
        total = sum(self._counts.values())
        if total <= 0.0:
            return 0.0
        return sum(n for other, n in self._counts.items() if other < priority) / total
