"""Decides whether a group's expert map changes, and to what.

The load it answers: the experts in demand shift every few seconds, and each step lasts
as long as its most loaded rank.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import popularity
from chicoryweir_policy.maps import repair
from chicoryweir_policy.rankmaps import orders

# Counts lose half of their weight in this time while the demand stays the same.
HALF_LIFE_S = 1.5
# The demand has shifted when this part of the new picks went to other experts than
# those before. Within one demand it is 0.05 to 0.15, after a shift 0.3 to 0.5.
SHIFT_DISTANCE = 0.2
# A map is changed when steps get shorter by this part at least.
MIN_GAIN = 0.12
# Skew at which a set's map is good enough; unitless. A lower one costs more copies,
# and steps are longer while they last.
TARGET_SKEW = 1.2
# Time for which one rank copies in one change, in seconds, where that is enough for a
# gain and no rank is slow. Steps are longer while ranks copy: a short change soon, and
# the rest after the next look, serves more than one that evens out all.
MAX_COPY_S = 0.23
# Experts that may be copied however long it takes.
MIN_ARRIVALS = 2
# A slow rank counts as so many times slower, so that nothing stays there if it can go
# elsewhere: an expert that is rarely picked now may be in demand after the next shift.
SLOW_WEIGHT = 4.0
# Fewer picks than this don't tell the popularity of a set's experts.
MIN_PICKS_PER_EXPERT = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A better map.

    Attributes:
        maps: The map of each set.
        before: Relative time of a step under the map in force.
        after: Relative time of a step under the new one.
        max_copies_per_rank: Most experts that one rank has to copy, over all sets.
        copies: Experts that all ranks have to copy.
    """

    maps: tuple[placement.ExpertMap, ...]
    before: float
    after: float
    max_copies_per_rank: int
    copies: int


def create_initial_maps(
    layout: configuration.ExpertLayout, ranks: int
) -> tuple[placement.ExpertMap, ...]:
    """Returns the map that a group starts with: experts in turn, by set."""
    one = placement.create_map(
        ranks, [(expert % ranks,) for expert in range(layout.experts)]
    )
    return (one,) * layout.sets


def encode_maps(maps: tuple[placement.ExpertMap, ...]) -> orders.RankMap:
    """Returns the experts by set and rank."""
    return tuple(
        tuple(tuple(experts) for experts in one.list_experts()) for one in maps
    )


def decode_maps(
    experts: collections.abc.Sequence[collections.abc.Sequence[tuple[int, ...]]],
    layout: configuration.ExpertLayout,
) -> tuple[placement.ExpertMap, ...]:
    """Returns the maps from the experts by set and rank."""
    maps = []
    for by_rank in experts:
        replicas: list[list[int]] = [[] for _ in range(layout.experts)]
        for rank, held in enumerate(by_rank):
            for expert in held:
                replicas[expert].append(rank)
        maps.append(placement.create_map(len(by_rank), replicas))
    return tuple(maps)


class DemandTracker:
    """Popularity of the experts of each set, from samples of some ranks' counts."""

    def __init__(self, layout: configuration.ExpertLayout, now: float) -> None:
        self._layout = layout
        self._sets = [
            popularity.create_popularity(layout.experts, now)
            for _ in range(layout.sets)
        ]
        self._latest: dict[int, tuple[int, ...]] = {}

    def add_counts(self, counts: dict[int, tuple[int, ...]], now: float) -> None:
        """Adds counts since the start of each rank; the first only set the base."""
        size = self._layout.experts
        total = [0] * (size * self._layout.sets)
        for rank, latest in counts.items():
            before = self._latest.get(rank)
            self._latest[rank] = latest
            if before is None or len(latest) != len(total):
                continue
            total = [
                summed + max(0, new - old)
                for summed, new, old in zip(total, latest, before, strict=True)
            ]
        parts = [
            total[index * size : (index + 1) * size]
            for index in range(self._layout.sets)
        ]
        if self._has_shifted(parts):
            self._sets = [popularity.create_popularity(size, now)] * len(parts)
        self._sets = [
            popularity.add_counts(known, part, HALF_LIFE_S, now)
            for known, part in zip(self._sets, parts, strict=True)
        ]

    def _has_shifted(self, parts: list[list[int]]) -> bool:
        """Tells whether new picks come from another demand than those before."""
        least = MIN_PICKS_PER_EXPERT * self._layout.experts
        if any(sum(part) < least for part in parts):
            return False
        distances = [
            popularity.measure_distance(known, part)
            for known, part in zip(self._sets, parts, strict=True)
        ]
        return sum(distances) / len(distances) > SHIFT_DISTANCE

    def compute_shares(self) -> list[tuple[float, ...]] | None:
        """Returns the shares of each set; None while too little was counted."""
        least = MIN_PICKS_PER_EXPERT * self._layout.experts
        if any(sum(known.weights) < least for known in self._sets):
            return None
        return [known.compute_shares() for known in self._sets]


def compute_copy_s(
    arrivals: int, layout: configuration.ExpertLayout, link_bytes_per_s: float
) -> float:
    """Returns the time in which a rank copies experts, in seconds.

    An engine that does not tell the speed of its links copies for the longest time
    that is waited for.
    """
    if link_bytes_per_s <= 0.0:
        return MAX_COPY_S
    return arrivals * layout.expert_bytes / link_bytes_per_s


def compute_relative_step_time(
    maps: tuple[placement.ExpertMap, ...],
    shares: list[tuple[float, ...]],
    expert_share: float,
    slowdowns: collections.abc.Sequence[float],
) -> float:
    """Returns the time of a step over that of one with even loads; unitless."""
    ranks = maps[0].rank_count
    skews = [
        max(one.compute_times(known, slowdowns)) * ranks
        for one, known in zip(maps, shares, strict=True)
    ]
    return 1.0 - expert_share + expert_share * sum(skews) / len(skews)


def propose_maps(
    maps: tuple[placement.ExpertMap, ...],
    shares: list[tuple[float, ...]],
    layout: configuration.ExpertLayout,
    slowdowns: collections.abc.Sequence[float],
    link_bytes_per_s: float,
) -> Proposal | None:
    """Returns maps with shorter steps, or None where the gain doesn't pay.

    Args:
        maps: Maps in force, by set.
        shares: Shares of the experts, by set.
        layout: Bounds on what a rank holds and takes in one change.
        slowdowns: Time that each rank takes for its work over the usual time.
        link_bytes_per_s: Speed at which a rank copies experts.
    """
    ranks = maps[0].rank_count
    before = compute_relative_step_time(maps, shares, layout.share, slowdowns)
    best = 1.0 - layout.share + layout.share * ranks / sum(1.0 / p for p in slowdowns)
    if before < best * (1.0 + MIN_GAIN):
        return None
    everything = layout.spare * layout.sets
    limits = [everything]
    if max(slowdowns) <= 1.0 and layout.expert_bytes > 0.0:
        quick = int(MAX_COPY_S * link_bytes_per_s / layout.expert_bytes)
        limits.insert(0, min(max(MIN_ARRIVALS, quick), everything))
    for most in limits:
        found, arrivals = _repair_maps(maps, shares, layout, slowdowns, most)
        after = compute_relative_step_time(found, shares, layout.share, slowdowns)
        if (before - after) / before >= MIN_GAIN:
            return Proposal(found, before, after, max(arrivals), sum(arrivals))
    return None


def _repair_maps(
    maps: tuple[placement.ExpertMap, ...],
    shares: list[tuple[float, ...]],
    layout: configuration.ExpertLayout,
    slowdowns: collections.abc.Sequence[float],
    most: int,
) -> tuple[tuple[placement.ExpertMap, ...], list[int]]:
    """Repairs maps so that no rank copies more than `most` experts.

    Returns:
        The maps, and the experts that each rank copies.
    """
    ranks = maps[0].rank_count
    weighted = [pace * SLOW_WEIGHT if pace > 1.0 else pace for pace in slowdowns]
    arrivals = [0] * ranks
    found = []
    for one, known in zip(maps, shares, strict=True):
        room = tuple(min(layout.spare, most - arrived) for arrived in arrivals)
        bounds = repair.RankBounds(layout.places, room)
        budget = layout.spare * ranks
        new = repair.repair_map(one, known, budget, TARGET_SKEW, bounds, weighted)
        found.append(new)
        arrivals = [
            arrived + len(set(wanted) - set(held))
            for arrived, held, wanted in zip(
                arrivals, one.list_experts(), new.list_experts(), strict=True
            )
        ]
    return tuple(found), arrivals
