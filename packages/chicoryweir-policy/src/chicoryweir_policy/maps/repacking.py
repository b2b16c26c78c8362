"""Repacks a map for a new demand where copies of experts cost little.

The number of replicas of each expert follows its share. Replicas that are in place and
still needed stay; the others are placed on the least loaded ranks, the largest first,
and swaps even out what remains. The time grows with the number of slots, not with the
number of pairs of ranks.
"""

from __future__ import annotations

import bisect
import collections.abc
import heapq
import math

from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import repair

# Fraction of the slots left free, so that a replica can move without a swap.
FREE_SHARE = 0.04
# Factor by which a replica's load may exceed the lowest that the slots allow. It leaves
# replicas where they are after small changes of the demand.
LEVEL_TOLERANCE = 1.05
# Number of least loaded ranks that a swap of the slowest rank considers.
SWAP_RANKS = 12
# Minimum relative reduction of the slowest rank's load by a swap.
MIN_SWAP_GAIN = 0.01


class _Packing:
    """Map under construction, with the load of each rank.

    Attributes:
        parts: Load of one replica of each expert.
        held: Experts on each rank.
        times: Load of each rank multiplied by its slowdown.
    """

    def __init__(
        self,
        start: placement.ExpertMap,
        parts: collections.abc.Sequence[float],
        bounds: repair.RankBounds,
        slowdowns: collections.abc.Sequence[float],
    ) -> None:
        self._before = [frozenset(experts) for experts in start.list_experts()]
        self._bounds = bounds
        self._slowdowns = slowdowns
        self._copies_left = list(bounds.max_copies)
        self.parts = parts
        self.held: list[set[int]] = [set(experts) for experts in self._before]
        self.times = [
            sum(parts[expert] for expert in experts) * slowdown
            for experts, slowdown in zip(self.held, slowdowns, strict=True)
        ]

    def may_add(self, rank: int, expert: int, freed: int = 0) -> bool:
        """Returns whether a rank can take a replica once `freed` slots are free."""
        held = self.held[rank]
        if expert in held or len(held) - freed >= self._bounds.slots:
            return False
        return expert in self._before[rank] or self._copies_left[rank] > 0

    def add(self, rank: int, expert: int) -> None:
        """Adds a replica."""
        self.held[rank].add(expert)
        self.times[rank] += self.parts[expert] * self._slowdowns[rank]
        if expert not in self._before[rank]:
            self._copies_left[rank] -= 1

    def drop(self, rank: int, expert: int) -> None:
        """Drops a replica."""
        self.held[rank].discard(expert)
        self.times[rank] -= self.parts[expert] * self._slowdowns[rank]
        if expert not in self._before[rank]:
            self._copies_left[rank] += 1

    def compute_time(self, rank: int, added: float) -> float:
        """Returns a rank's load with `added` load of replicas."""
        return self.times[rank] + added * self._slowdowns[rank]

    def build_map(self) -> placement.ExpertMap:
        """Returns the map."""
        replicas: list[list[int]] = [[] for _ in self.parts]
        for rank, experts in enumerate(self.held):
            for expert in experts:
                replicas[expert].append(rank)
        return placement.create_map(len(self.held), replicas)


def repack_map(
    start: placement.ExpertMap,
    shares: placement.Shares,
    target_skew: float,
    bounds: repair.RankBounds,
    slowdowns: collections.abc.Sequence[float],
) -> placement.ExpertMap:
    """Returns a map for new shares within the bounds on each rank.

    Args:
        start: Current map; each expert is on at least one rank.
        shares: Each expert's share of the tokens.
        target_skew: Skew at which swaps end.
        bounds: Bounds on each rank.
        slowdowns: Factor by which each rank takes longer than usual.
    """
    ranks = start.rank_count
    slots = ranks * bounds.slots
    usable = max(len(shares), slots - int(slots * FREE_SHARE))
    counts = _count_wanted(start, shares, usable)
    parts = [share / count for share, count in zip(shares, counts, strict=True)]
    packing = _Packing(start, parts, bounds, slowdowns)
    _drop_surplus(packing, start, counts)
    _place_missing(packing, start, counts)
    mean = sum(shares) / sum(1.0 / slowdown for slowdown in slowdowns)
    _swap_slowest(packing, target_skew * mean)
    return packing.build_map()


def _count_wanted(
    start: placement.ExpertMap, shares: placement.Shares, slots: int
) -> list[int]:
    """Returns the number of replicas of each expert that needs the fewest changes.

    No replica's load exceeds by more than `LEVEL_TOLERANCE` what as many slots allow.
    """
    ranks = start.rank_count
    level = LEVEL_TOLERANCE * max(
        share / count
        for share, count in zip(
            shares, placement.count_replicas(shares, ranks, slots), strict=True
        )
    )
    needed = [
        min(ranks, max(1, math.ceil(share / level))) if level else 1 for share in shares
    ]
    counts = [
        max(least, len(held))
        for least, held in zip(needed, start.replicas, strict=True)
    ]
    spared = [
        (shares[expert] / (count - 1), expert)
        for expert, count in enumerate(counts)
        if count > needed[expert]
    ]
    heapq.heapify(spared)
    for _ in range(sum(counts) - slots):
        if not spared:
            break
        _, expert = heapq.heappop(spared)
        counts[expert] -= 1
        if counts[expert] > needed[expert]:
            heapq.heappush(spared, (shares[expert] / (counts[expert] - 1), expert))
    return counts


def _drop_surplus(
    packing: _Packing, start: placement.ExpertMap, counts: list[int]
) -> None:
    """Drops replicas beyond the wanted number, first on the most loaded ranks."""
    for expert, ranks in enumerate(start.replicas):
        surplus = len(ranks) - counts[expert]
        if surplus <= 0:
            continue
        for rank in heapq.nlargest(surplus, ranks, key=packing.times.__getitem__):
            packing.drop(rank, expert)


def _place_missing(
    packing: _Packing, start: placement.ExpertMap, counts: list[int]
) -> None:
    """Adds replicas up to the wanted number, on the least loaded ranks that can."""
    missing = [
        expert
        for expert, ranks in enumerate(start.replicas)
        for _ in range(counts[expert] - len(ranks))
    ]
    missing.sort(key=packing.parts.__getitem__, reverse=True)
    heap = [(time, rank) for rank, time in enumerate(packing.times)]
    heapq.heapify(heap)
    for expert in missing:
        passed = []
        while heap:
            entry = heapq.heappop(heap)
            if packing.may_add(entry[1], expert):
                packing.add(entry[1], expert)
                passed.append((packing.times[entry[1]], entry[1]))
                break
            passed.append(entry)
        for entry in passed:
            heapq.heappush(heap, entry)


def _swap_slowest(packing: _Packing, target: float) -> None:
    """Relieves the slowest rank by moves and swaps until none is above the target."""
    order = sorted((time, rank) for rank, time in enumerate(packing.times))
    for _ in range(len(order)):
        slowest_time, slowest = order[-1]
        if slowest_time <= target:
            return
        found = _find_swap(packing, slowest, [rank for _, rank in order[:SWAP_RANKS]])
        if found is None:
            return
        rank, given, taken = found
        for changed in (slowest, rank):
            del order[bisect.bisect_left(order, (packing.times[changed], changed))]
        packing.drop(slowest, given)
        if taken is not None:
            packing.drop(rank, taken)
            packing.add(slowest, taken)
        packing.add(rank, given)
        for changed in (slowest, rank):
            bisect.insort(order, (packing.times[changed], changed))


def _find_swap(
    packing: _Packing, slowest: int, targets: list[int]
) -> tuple[int, int, int | None] | None:
    """Returns the rank to swap with, the expert given to it and the one taken, if any.

    Minimises the load of the slower of the two ranks; None if no swap gains enough.
    """
    best: tuple[int, int, int | None] | None = None
    lowest = packing.times[slowest] * (1.0 - MIN_SWAP_GAIN)
    for given in sorted(packing.held[slowest]):
        part = packing.parts[given]
        for rank in targets:
            if rank == slowest or given in packing.held[rank]:
                continue
            taken: int | None
            for taken in (None, *sorted(packing.held[rank])):
                back = 0.0 if taken is None else packing.parts[taken]
                slower = max(
                    packing.compute_time(slowest, back - part),
                    packing.compute_time(rank, part - back),
                )
                if slower >= lowest or not packing.may_add(
                    rank, given, 0 if taken is None else 1
                ):
                    continue
                if taken is not None and not packing.may_add(slowest, taken, 1):
                    continue
                lowest, best = slower, (rank, given, taken)
    return best
