"""Estimates expert demand and proposes expert maps that shorten a group's steps.

The most selected experts change every few seconds, and a step takes as long as its most
loaded rank.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import popularity
from chicoryweir_policy.maps import repacking
from chicoryweir_policy.maps import repair
from chicoryweir_policy.rankmaps import digests
from chicoryweir_policy.rankmaps import orders

# Half-life of expert selection counts while the demand does not shift.
HALF_LIFE_S = 1.5
# Total variation distance between new and earlier selections, relative to the usual
# distance, above which the demand counts as shifted. The distance after a shift depends
# on how unevenly experts are used: it is 0.3 to 0.5 if a few have most of the load, and
# 0.15 if all have a similar one, where the usual distance is 0.02.
SHIFT_RATIO = 2.2
# Distance up to which maps for either demand are about equally good.
MIN_SHIFT_DISTANCE = 0.04
# Usual distance before the first sample.
INITIAL_DISTANCE = 0.09
# Weights of a new distance in the usual one. A shift that is still too small to be
# detected makes samples more distant, so these have less weight.
NEARER_WEIGHT = 0.3
FARTHER_WEIGHT = 0.1
# Maximum time that the selections of a digest may cover, unless they are from
# consecutive samples. Selections from before a shift would hide it.
MAX_INTERVAL_S = 1.0
# Maximum time within which the digests of one sample are made.
SAMPLE_SPREAD_S = 0.3
# Number of selection counts that agents read and send in a second, over all ranks of a
# group. The requests of each rank select different experts; a map computed from some of
# the ranks would suit only those.
COUNTS_PER_S = 2_500_000
# Minimum relative reduction of the step time by a change of the maps.
MIN_GAIN = 0.12
# Skew (greatest rank load over the mean) at which a set's map is not improved further.
# A lower target needs more copies, and steps take longer while ranks copy.
TARGET_SKEW = 1.2
# The same where all copies that a change may make take less than `MAX_COPY_S`.
REPACKED_SKEW = 1.12
# Skew up to which a set's map is left as it is where others are repacked.
KEPT_SKEW = 1.15
# Preferred limit on the copy time of a rank in one change; exceeded only if a rank is
# slow or the gain would be too small. Steps take longer while ranks copy, so several
# short changes lose less time than one that balances the load completely.
MAX_COPY_S = 0.23
# Copies per rank that are allowed even if they take longer than MAX_COPY_S.
MIN_COPIES_PER_RANK = 2
# Factor by which the slowdown of slow ranks is multiplied, so that their experts move
# to other ranks as far as these have slots: an expert with little load now may be in
# demand after the next shift.
SLOW_RANK_PENALTY = 4.0
# Minimum number of selections per expert, averaged over a set, for an estimate of the
# set's shares.
MIN_SELECTIONS_PER_EXPERT = 20.0


# Maps of a group, one for each set.
Maps = tuple[placement.ExpertMap, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """Proposed maps with shorter steps.

    Attributes:
        maps: Map of each set.
        before: Relative step time under the current maps.
        after: Relative step time under the proposed maps.
        max_copies_per_rank: Most experts that one rank copies, summed over all sets.
        copies: Experts copied by all ranks together.
    """

    maps: Maps
    before: float
    after: float
    max_copies_per_rank: int
    copies: int


def create_initial_maps(layout: configuration.ExpertLayout, ranks: int) -> Maps:
    """Returns each set's map at a group's start: experts assigned round-robin."""
    initial = placement.create_map(
        ranks, [(expert % ranks,) for expert in range(layout.experts)]
    )
    return (initial,) * layout.sets


def encode_maps(maps: Maps) -> orders.RankMap:
    """Returns the experts held, indexed by set and rank."""
    return tuple(
        tuple(tuple(experts) for experts in expert_map.list_experts())
        for expert_map in maps
    )


def decode_maps(
    experts: collections.abc.Sequence[collections.abc.Sequence[tuple[int, ...]]],
    layout: configuration.ExpertLayout,
) -> Maps:
    """Returns the map of each set from the experts held, indexed by set and rank.

    Raises:
        ValueError: The experts held are not those of the layout.
    """
    if len(experts) != layout.sets:
        raise ValueError(f"{len(experts)} sets of experts instead of {layout.sets}")
    maps = []
    for by_rank in experts:
        replicas: list[list[int]] = [[] for _ in range(layout.experts)]
        for rank, held in enumerate(by_rank):
            for expert in set(held):
                if not 0 <= expert < layout.experts:
                    raise ValueError(f"expert {expert} of {layout.experts}")
                replicas[expert].append(rank)
        if not all(replicas):
            raise ValueError("an expert is on no rank")
        maps.append(placement.create_map(len(by_rank), replicas))
    return tuple(maps)


class DemandTracker:
    """Estimates the popularity of each set's experts from digests of the ranks.

    Attributes:
        distance: Distance of the latest sample from the estimate before it, 0 to 1.
        selections: Selections in the latest sample, averaged over the sets.
        sampled: Number of ranks whose selections are in the latest sample.
    """

    def __init__(self, layout: configuration.ExpertLayout, now: float) -> None:
        self._layout = layout
        self._sets = [
            popularity.create_popularity(layout.experts, now)
            for _ in range(layout.sets)
        ]
        self._usual_distance = INITIAL_DISTANCE
        self._sampled_at = -math.inf
        self.distance = 0.0
        self.selections = 0.0
        self.sampled = 0

    def add_digests(
        self, received: collections.abc.Sequence[digests.Digest], now: float
    ) -> None:
        """Adds a sample: the latest digest of each rank that sent one.

        Args:
            received: Digests of different ranks.
            now: Present time, in seconds.
        """
        size = self._layout.experts
        longest_s = max(MAX_INTERVAL_S, now - self._sampled_at + SAMPLE_SPREAD_S)
        self._sampled_at = now
        used = [
            digest
            for digest in received
            if digest.interval_s is not None and digest.interval_s <= longest_s
        ]
        self.sampled = len(used)
        total = digests.add_digests(used, size * self._layout.sets)
        counts_by_set = [
            total[index * size : (index + 1) * size]
            for index in range(self._layout.sets)
        ]
        self.selections = sum(total) / self._layout.sets
        self.distance = self._measure_distance(counts_by_set)
        if self._has_shifted(counts_by_set):
            self._sets = [popularity.create_popularity(size, now)] * len(counts_by_set)
        self._sets = [
            popularity.add_counts(estimate, set_counts, HALF_LIFE_S, now)
            for estimate, set_counts in zip(self._sets, counts_by_set, strict=True)
        ]

    def _has_shifted(self, counts_by_set: list[list[int]]) -> bool:
        """Returns whether the new selections differ too much from the earlier ones."""
        required = MIN_SELECTIONS_PER_EXPERT * self._layout.experts
        if any(sum(set_counts) < required for set_counts in counts_by_set):
            return False
        usual = self._usual_distance
        if self.distance > max(MIN_SHIFT_DISTANCE, SHIFT_RATIO * usual):
            return True
        weight = NEARER_WEIGHT if self.distance < usual else FARTHER_WEIGHT
        self._usual_distance += weight * (self.distance - usual)
        return False

    def _measure_distance(self, counts_by_set: list[list[int]]) -> float:
        """Returns the distance of new selections from the estimate, over all sets."""
        distances = [
            popularity.measure_distance(estimate, set_counts)
            for estimate, set_counts in zip(self._sets, counts_by_set, strict=True)
        ]
        return sum(distances) / len(distances)

    def compute_shares(self) -> list[tuple[float, ...]] | None:
        """Returns the shares of each set; None while there are too few selections."""
        required = MIN_SELECTIONS_PER_EXPERT * self._layout.experts
        if any(sum(estimate.weights) < required for estimate in self._sets):
            return None
        return [estimate.compute_shares() for estimate in self._sets]


def compute_sample_interval_s(ranks: int, layout: configuration.ExpertLayout) -> float:
    """Returns the minimum time between two samples of all ranks, in seconds."""
    return ranks * layout.sets * layout.experts / COUNTS_PER_S


def compute_copy_s(
    experts: int, layout: configuration.ExpertLayout, link_bytes_per_s: float
) -> float:
    """Returns the time that a rank takes to copy experts, in seconds.

    Returns `MAX_COPY_S`, the preferred limit, if the engine reports no link speed.
    """
    if link_bytes_per_s <= 0.0:
        return MAX_COPY_S
    return experts * layout.expert_bytes / link_bytes_per_s


def compute_relative_step_time(
    maps: Maps,
    shares: list[tuple[float, ...]],
    expert_share: float,
    slowdowns: collections.abc.Sequence[float],
) -> float:
    """Returns the time of a step divided by that of a step with even loads."""
    ranks = maps[0].rank_count
    skews = [
        max(expert_map.compute_times(set_shares, slowdowns)) * ranks
        for expert_map, set_shares in zip(maps, shares, strict=True)
    ]
    return 1.0 - expert_share + expert_share * sum(skews) / len(skews)


def propose_maps(
    maps: Maps,
    shares: list[tuple[float, ...]],
    layout: configuration.ExpertLayout,
    slowdowns: collections.abc.Sequence[float],
    link_bytes_per_s: float,
) -> Proposal | None:
    """Returns maps with shorter steps, or None if the gain is less than `MIN_GAIN`.

    Args:
        maps: Current maps, by set.
        shares: Shares of the experts, by set.
        layout: Bounds on the experts that a rank holds and copies in one change.
        slowdowns: Factor by which each rank takes longer than usual.
        link_bytes_per_s: Bandwidth at which a rank copies experts.
    """
    ranks = maps[0].rank_count
    before = compute_relative_step_time(maps, shares, layout.share, slowdowns)
    best = 1.0 - layout.share + layout.share * ranks / sum(1.0 / s for s in slowdowns)
    if before < best * (1.0 + MIN_GAIN):
        return None
    max_copies = layout.max_copies_per_rank * layout.sets
    if 0.0 < compute_copy_s(max_copies, layout, link_bytes_per_s) < MAX_COPY_S:
        found, copies = _repack_maps(maps, shares, layout, slowdowns)
        return _create_proposal(found, before, copies, shares, layout, slowdowns)
    limits = [max_copies]
    if max(slowdowns) <= 1.0 and layout.expert_bytes > 0.0:
        short = int(MAX_COPY_S * link_bytes_per_s / layout.expert_bytes)
        limits.insert(0, min(max(MIN_COPIES_PER_RANK, short), max_copies))
    for limit in limits:
        found, copies = _repair_maps(maps, shares, layout, slowdowns, limit)
        proposal = _create_proposal(found, before, copies, shares, layout, slowdowns)
        if proposal is not None:
            return proposal
    return None


def _create_proposal(
    maps: Maps,
    before: float,
    copies: list[int],
    shares: list[tuple[float, ...]],
    layout: configuration.ExpertLayout,
    slowdowns: collections.abc.Sequence[float],
) -> Proposal | None:
    """Returns a proposal of maps, or None if the gain is less than `MIN_GAIN`."""
    after = compute_relative_step_time(maps, shares, layout.share, slowdowns)
    if (before - after) / before < MIN_GAIN:
        return None
    return Proposal(maps, before, after, max(copies), sum(copies))


def _repack_maps(
    maps: Maps,
    shares: list[tuple[float, ...]],
    layout: configuration.ExpertLayout,
    slowdowns: collections.abc.Sequence[float],
) -> tuple[Maps, list[int]]:
    """Repacks the maps of the sets that are uneven.

    Returns:
        The maps, and the number of experts that each rank copies.
    """
    ranks = maps[0].rank_count
    weighted = _weight_slowdowns(slowdowns)
    bounds = repair.RankBounds(
        layout.slots_per_rank, (layout.max_copies_per_rank,) * ranks
    )
    kept_time = KEPT_SKEW / sum(1.0 / slowdown for slowdown in slowdowns)
    copies = [0] * ranks
    found = []
    for expert_map, set_shares in zip(maps, shares, strict=True):
        repacked = expert_map
        if max(expert_map.compute_times(set_shares, slowdowns)) > kept_time:
            repacked = repacking.repack_map(
                expert_map, set_shares, REPACKED_SKEW, bounds, weighted
            )
        found.append(repacked)
        copies = _add_copies(copies, expert_map, repacked)
    return tuple(found), copies


def _weight_slowdowns(slowdowns: collections.abc.Sequence[float]) -> list[float]:
    return [
        slowdown * SLOW_RANK_PENALTY if slowdown > 1.0 else slowdown
        for slowdown in slowdowns
    ]


def _add_copies(
    copies: list[int], before: placement.ExpertMap, after: placement.ExpertMap
) -> list[int]:
    """Adds the experts that each rank copies for one set's map."""
    return [
        copied + len(set(wanted) - set(held))
        for copied, held, wanted in zip(
            copies, before.list_experts(), after.list_experts(), strict=True
        )
    ]


def _repair_maps(
    maps: Maps,
    shares: list[tuple[float, ...]],
    layout: configuration.ExpertLayout,
    slowdowns: collections.abc.Sequence[float],
    max_copies: int,
) -> tuple[Maps, list[int]]:
    """Repairs maps so that no rank copies more than `max_copies` experts.

    Returns:
        The maps, and the number of experts that each rank copies.
    """
    ranks = maps[0].rank_count
    weighted = _weight_slowdowns(slowdowns)
    copies = [0] * ranks
    found = []
    for expert_map, set_shares in zip(maps, shares, strict=True):
        allowed = tuple(
            min(layout.max_copies_per_rank, max_copies - copied) for copied in copies
        )
        bounds = repair.RankBounds(layout.slots_per_rank, allowed)
        budget = layout.max_copies_per_rank * ranks
        repaired = repair.repair_map(
            expert_map, set_shares, budget, TARGET_SKEW, bounds, weighted
        )
        found.append(repaired)
        copies = _add_copies(copies, expert_map, repaired)
    return tuple(found), copies
