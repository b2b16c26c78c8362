"""Popularity of the experts, as it drifts, and the work it gives to each rank."""

from __future__ import annotations

import collections.abc
import itertools
import math
import random

EXPERT_COUNT = 128
EXPERTS_PER_TOKEN = 8

_DRIFT_S = 120.0
_BASE_SHARE = 0.6

Replicas = tuple[tuple[int, ...], ...]


def compute_popularity(now: float, seed: int) -> list[float]:
    """Returns the share of each expert at `now`; the shares add up to 1.

    A few experts are popular; which ones they are changes slowly.
    """
    phase = now / _DRIFT_S
    order = random.Random(seed).sample(range(EXPERT_COUNT), EXPERT_COUNT)
    weights = [0.0] * EXPERT_COUNT
    for position, expert in enumerate(order):
        moved = (position / EXPERT_COUNT + phase) % 1.0
        distance = min(moved, 1.0 - moved)
        weights[expert] = 1.0 + 6.0 * math.exp(-((distance / 0.06) ** 2))
    total = sum(weights)
    return [weight / total for weight in weights]


def compute_rank_loads(
    popularity: collections.abc.Sequence[float], replicas: Replicas, ranks: int
) -> list[float]:
    """Returns the load of each rank relative to the mean load (unitless)."""
    loads = [0.0] * ranks
    for share, holders in zip(popularity, replicas, strict=True):
        for rank in holders:
            loads[rank] += share / len(holders)
    mean = sum(loads) / ranks
    return [load / mean for load in loads]


def compute_work_ms(step_time_ms: float, relative_load: float) -> float:
    """Returns the time of a step of a rank with this load."""
    return step_time_ms * (_BASE_SHARE + (1 - _BASE_SHARE) * relative_load)


class ExpertTokenCounter:
    """Counts the tokens that went to each expert since the last read."""

    def __init__(self, seed: int) -> None:
        """Draws experts by this seed."""
        self._draws = random.Random(seed)
        self._counts = [0] * EXPERT_COUNT

    def add(self, tokens: int, popularity: collections.abc.Sequence[float]) -> None:
        """Counts the experts of so many tokens."""
        cumulative = list(itertools.accumulate(popularity))
        picked = self._draws.choices(
            range(EXPERT_COUNT), cum_weights=cumulative, k=tokens * EXPERTS_PER_TOKEN
        )
        for expert in picked:
            self._counts[expert] += 1

    def read(self) -> list[int]:
        """Returns the counts and starts again from zero."""
        counts, self._counts = self._counts, [0] * EXPERT_COUNT
        return counts
