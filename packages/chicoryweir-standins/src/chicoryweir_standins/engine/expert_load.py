"""Computes the drifting popularity of the experts and the load of each rank."""

from __future__ import annotations

import collections.abc
import itertools
import math
import random

EXPERT_COUNT = 128
EXPERTS_PER_TOKEN = 8

_DRIFT_PERIOD_S = 120.0
_LOAD_INDEPENDENT_SHARE = 0.6

Replicas = tuple[tuple[int, ...], ...]


def compute_popularity(now: float, seed: int) -> list[float]:
    """Returns the share of each expert at `now`; the shares add up to 1.

    A few experts are popular, and the set of popular ones changes slowly.
    """
    phase = now / _DRIFT_PERIOD_S
    order = random.Random(seed).sample(range(EXPERT_COUNT), EXPERT_COUNT)
    weights = [0.0] * EXPERT_COUNT
    for position, expert in enumerate(order):
        shifted = (position / EXPERT_COUNT + phase) % 1.0
        distance = min(shifted, 1.0 - shifted)
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


def compute_rank_step_ms(mean_step_ms: float, relative_load: float) -> float:
    """Returns the time in ms that a rank with this relative load needs for a step."""
    return mean_step_ms * (
        _LOAD_INDEPENDENT_SHARE + (1 - _LOAD_INDEPENDENT_SHARE) * relative_load
    )


class ExpertTokenCounter:
    """Counts the tokens routed to each expert since the last read."""

    def __init__(self, seed: int) -> None:
        """Creates a counter that draws the experts of tokens with this seed."""
        self._random = random.Random(seed)
        self._counts = [0] * EXPERT_COUNT

    def add(self, tokens: int, popularity: collections.abc.Sequence[float]) -> None:
        """Draws the experts that `tokens` tokens are routed to and counts them."""
        cumulative = list(itertools.accumulate(popularity))
        selected = self._random.choices(
            range(EXPERT_COUNT), cum_weights=cumulative, k=tokens * EXPERTS_PER_TOKEN
        )
        for expert in selected:
            self._counts[expert] += 1

    def read(self) -> list[int]:
        """Returns the counts and resets them to zero."""
        counts, self._counts = self._counts, [0] * EXPERT_COUNT
        return counts
