"""Maps from experts to the ranks that hold a replica of them."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import heapq

Shares = collections.abc.Sequence[float]


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertMap:
    """Where the replicas of the experts are.

    A token for an expert goes to each of its replicas with equal likelihood.

    Attributes:
        rank_count: Ranks in the group.
        replicas: Ranks that hold each expert, ascending, by expert.
    """

    rank_count: int
    replicas: tuple[tuple[int, ...], ...]

    def list_experts(self) -> list[list[int]]:
        """Returns the experts on each rank."""
        experts: list[list[int]] = [[] for _ in range(self.rank_count)]
        for expert, ranks in enumerate(self.replicas):
            for rank in ranks:
                experts[rank].append(expert)
        return experts

    def compute_loads(self, shares: Shares) -> list[float]:
        """Returns the load of each rank under these shares of the experts."""
        loads = [0.0] * self.rank_count
        for share, ranks in zip(shares, self.replicas, strict=True):
            for rank in ranks:
                loads[rank] += share / len(ranks)
        return loads

    def compute_times(
        self, shares: Shares, slowdowns: collections.abc.Sequence[float]
    ) -> list[float]:
        """Returns the load of each rank times the time that it takes for a unit."""
        loads = self.compute_loads(shares)
        return [load * pace for load, pace in zip(loads, slowdowns, strict=True)]

    def compute_skew(self, shares: Shares) -> float:
        """Returns the load of the slowest rank over the mean; 1.0 is even."""
        loads = self.compute_loads(shares)
        mean = sum(loads) / len(loads)
        return max(loads) / mean if mean > 0 else 1.0


def create_map(
    rank_count: int, replicas: collections.abc.Iterable[collections.abc.Iterable[int]]
) -> ExpertMap:
    """Returns a map, its ranks in order."""
    return ExpertMap(rank_count, tuple(tuple(sorted(ranks)) for ranks in replicas))


def count_moves(old: ExpertMap, new: ExpertMap) -> int:
    """Returns how many replicas of `new` are not in `old`: weights to be fetched."""
    return sum(
        len(set(after) - set(before))
        for before, after in zip(old.replicas, new.replicas, strict=True)
    )


def pack_experts(shares: Shares, rank_count: int, slots_per_rank: int) -> ExpertMap:
    """Builds a map from scratch: replicates hot experts, then packs greedily.

    Args:
        shares: Share of the tokens of each expert.
        rank_count: Ranks in the group.
        slots_per_rank: Replicas that a rank has room for.

    Returns:
        A map that fills all slots, as far as an expert is on a rank once only.
    """
    counts = _count_replicas(shares, rank_count, rank_count * slots_per_rank)
    parts = [share / count for share, count in zip(shares, counts, strict=True)]
    order = sorted(range(len(shares)), key=lambda expert: (-parts[expert], expert))
    loads = [(0.0, rank) for rank in range(rank_count)]
    free = [slots_per_rank] * rank_count
    replicas: list[list[int]] = [[] for _ in shares]
    for expert in order:
        taken = []
        while len(replicas[expert]) < counts[expert] and loads:
            load, rank = heapq.heappop(loads)
            replicas[expert].append(rank)
            free[rank] -= 1
            if free[rank] > 0:
                taken.append((load + parts[expert], rank))
        for entry in taken:
            heapq.heappush(loads, entry)
    return create_map(rank_count, _place_rest(replicas, free))


def _count_replicas(shares: Shares, rank_count: int, slots: int) -> list[int]:
    """Gives each spare slot to the expert with the most load on one replica."""
    counts = [1] * len(shares)
    heap = [(-share, expert) for expert, share in enumerate(shares)]
    heapq.heapify(heap)
    for _ in range(slots - len(shares)):
        if not heap:
            break
        _, expert = heapq.heappop(heap)
        counts[expert] += 1
        if counts[expert] < rank_count:
            heapq.heappush(heap, (-shares[expert] / counts[expert], expert))
    return counts


def _place_rest(replicas: list[list[int]], free: list[int]) -> list[list[int]]:
    """Frees a slot for each expert that found none, from one held more than once."""
    for ranks in replicas:
        if ranks:
            continue
        open_rank = next((rank for rank, left in enumerate(free) if left > 0), None)
        if open_rank is None:
            counts = collections.Counter(
                {expert: len(held) for expert, held in enumerate(replicas)}
            )
            donor = max(sorted(counts), key=lambda expert: counts[expert])
            open_rank = replicas[donor].pop()
        else:
            free[open_rank] -= 1
        ranks.append(open_rank)
    return replicas
