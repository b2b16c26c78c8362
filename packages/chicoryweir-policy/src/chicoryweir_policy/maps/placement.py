"""Expert maps: the ranks that hold a replica of each expert."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import heapq

Shares = collections.abc.Sequence[float]


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertMap:
    """Placement of the experts' replicas.

    A token for an expert goes to one of its replicas, each equally likely.

    Attributes:
        rank_count: Number of ranks in the group.
        replicas: Ranks that hold each expert, in ascending order, by expert.
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
        """Returns each rank's load under these shares of the experts."""
        loads = [0.0] * self.rank_count
        for share, ranks in zip(shares, self.replicas, strict=True):
            for rank in ranks:
                loads[rank] += share / len(ranks)
        return loads

    def compute_times(
        self, shares: Shares, slowdowns: collections.abc.Sequence[float]
    ) -> list[float]:
        """Returns each rank's load multiplied by its slowdown."""
        loads = self.compute_loads(shares)
        return [
            load * slowdown for load, slowdown in zip(loads, slowdowns, strict=True)
        ]

    def compute_skew(self, shares: Shares) -> float:
        """Returns the greatest rank load divided by the mean load; 1.0 is even."""
        loads = self.compute_loads(shares)
        mean = sum(loads) / len(loads)
        return max(loads) / mean if mean > 0 else 1.0


def create_map(
    rank_count: int, replicas: collections.abc.Iterable[collections.abc.Iterable[int]]
) -> ExpertMap:
    """Returns a map with the ranks of each expert sorted."""
    return ExpertMap(rank_count, tuple(tuple(sorted(ranks)) for ranks in replicas))


def count_moves(old: ExpertMap, new: ExpertMap) -> int:
    """Returns the number of replicas in `new` but not in `old`, each a weight fetch."""
    return sum(
        len(set(after) - set(before))
        for before, after in zip(old.replicas, new.replicas, strict=True)
    )


def pack_experts(shares: Shares, rank_count: int, slots_per_rank: int) -> ExpertMap:
    """Builds a map from scratch: replicates hot experts, then packs greedily.

    Args:
        shares: Each expert's share of the tokens.
        rank_count: Number of ranks in the group.
        slots_per_rank: Number of replicas that a rank can hold.

    Returns:
        A map that fills as many slots as possible with at most one replica of an expert
        on each rank.
    """
    counts = count_replicas(shares, rank_count, rank_count * slots_per_rank)
    replica_loads = [share / count for share, count in zip(shares, counts, strict=True)]
    order = sorted(
        range(len(shares)), key=lambda expert: (-replica_loads[expert], expert)
    )
    loads = [(0.0, rank) for rank in range(rank_count)]
    free = [slots_per_rank] * rank_count
    replicas: list[list[int]] = [[] for _ in shares]
    for expert in order:
        remaining = []
        while len(replicas[expert]) < counts[expert] and loads:
            load, rank = heapq.heappop(loads)
            replicas[expert].append(rank)
            free[rank] -= 1
            if free[rank] > 0:
                remaining.append((load + replica_loads[expert], rank))
        for entry in remaining:
            heapq.heappush(loads, entry)
    return create_map(rank_count, _place_missing(replicas, free))


def count_replicas(shares: Shares, rank_count: int, slots: int) -> list[int]:
    """Returns the number of replicas of each expert for a number of slots.

    Assigns each spare slot to the expert with the greatest load per replica.
    """
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


def _place_missing(replicas: list[list[int]], free: list[int]) -> list[list[int]]:
    """Places each expert that has no replica.

    Uses a free slot or, if there is none, the slot of a replica of the expert that has
    the most replicas.
    """
    for ranks in replicas:
        if ranks:
            continue
        open_rank = next((rank for rank, count in enumerate(free) if count > 0), None)
        if open_rank is None:
            counts = collections.Counter(
                {expert: len(held) for expert, held in enumerate(replicas)}
            )
            most_replicated = max(sorted(counts), key=lambda expert: counts[expert])
            open_rank = replicas[most_replicated].pop()
        else:
            free[open_rank] -= 1
        ranks.append(open_rank)
    return replicas
