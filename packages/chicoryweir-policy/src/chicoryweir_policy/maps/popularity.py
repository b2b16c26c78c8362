"""Popularity of experts from exponentially decayed token counts."""

from __future__ import annotations

import collections.abc
import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Popularity:
    """Exponentially decayed token counts.

    Attributes:
        weights: Decayed token count of each expert.
        updated_at: Time of the last update, in seconds.
    """

    weights: tuple[float, ...]
    updated_at: float

    def compute_shares(self) -> tuple[float, ...]:
        """Returns each expert's share of the tokens; equal shares if there are none."""
        total = sum(self.weights)
        if total <= 0:
            return tuple(1.0 / len(self.weights) for _ in self.weights)
        return tuple(weight / total for weight in self.weights)


def create_popularity(expert_count: int, now: float) -> Popularity:
    """Returns a popularity without counts."""
    return Popularity((0.0,) * expert_count, now)


def add_counts(
    popularity: Popularity,
    counts: collections.abc.Sequence[int],
    half_life_s: float,
    now: float,
) -> Popularity:
    """Decays the earlier counts and adds new ones.

    Args:
        popularity: Popularity so far.
        counts: Tokens of each expert since the last update.
        half_life_s: Half-life of a count, in seconds.
        now: Present time, in seconds.

    Returns:
        The popularity at `now`.
    """
    decay = math.exp2(-max(0.0, now - popularity.updated_at) / half_life_s)
    weights = tuple(
        weight * decay + count
        for weight, count in zip(popularity.weights, counts, strict=True)
    )
    return Popularity(weights, now)


def measure_distance(
    popularity: Popularity, counts: collections.abc.Sequence[int]
) -> float:
    """Returns the distance between the distributions of new and earlier counts.

    Args:
        popularity: Popularity so far.
        counts: New tokens of each expert.

    Returns:
        Total variation distance, from 0 to 1; 0 if either has no counts.
    """
    total = sum(counts)
    if not total or not any(popularity.weights):
        return 0.0
    shares = popularity.compute_shares()
    pairs = zip(counts, shares, strict=True)
    return sum(abs(count / total - share) for count, share in pairs) / 2.0
