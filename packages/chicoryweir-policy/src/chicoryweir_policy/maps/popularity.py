"""Popularity of experts from counts of tokens, with the past fading away."""

from __future__ import annotations

import collections.abc
import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Popularity:
    """Decayed counts of tokens.

    Attributes:
        weights: Decayed tokens of each expert.
        updated_at: Time of the last counts, in seconds.
    """

    weights: tuple[float, ...]
    updated_at: float

    def compute_shares(self) -> tuple[float, ...]:
        """Returns each expert's share of the tokens; equal shares without any."""
        total = sum(self.weights)
        if total <= 0:
            return tuple(1.0 / len(self.weights) for _ in self.weights)
        return tuple(weight / total for weight in self.weights)


def create_popularity(expert_count: int, now: float) -> Popularity:
    """Returns the popularity before any count."""
    return Popularity((0.0,) * expert_count, now)


def add_counts(
    popularity: Popularity,
    counts: collections.abc.Sequence[int],
    half_life_s: float,
    now: float,
) -> Popularity:
    """Adds counts of tokens; what was counted before fades.

    Args:
        popularity: Popularity so far.
        counts: Tokens of each expert since then.
        half_life_s: Time in which a count loses half its weight, in seconds.
        now: Present time, in seconds.

    Returns:
        The popularity at `now`.
    """
    fade = math.exp2(-max(0.0, now - popularity.updated_at) / half_life_s)
    weights = tuple(
        weight * fade + count
        for weight, count in zip(popularity.weights, counts, strict=True)
    )
    return Popularity(weights, now)


def measure_distance(
    popularity: Popularity, counts: collections.abc.Sequence[int]
) -> float:
    """Returns the part of new counts that went elsewhere than those before.

    Args:
        popularity: Popularity so far.
        counts: New tokens of each expert.

    Returns:
        Total variation distance of the two, from 0 to 1; 0 where either is empty.
    """
    total = sum(counts)
    if not total or not any(popularity.weights):
        return 0.0
    shares = popularity.compute_shares()
    pairs = zip(counts, shares, strict=True)
    return sum(abs(count / total - share) for count, share in pairs) / 2.0
