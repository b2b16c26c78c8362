"""Splits a change of the map into batches of moves, to limit the weight fetch rate.

A rank has one staging slot for weights besides the slots of its map, so it receives at
most one new replica in a batch. Every expert has a replica after each batch, so a
change can be aborted by starting no further batch.
"""

from __future__ import annotations

import collections
import dataclasses

from chicoryweir_policy.maps import placement


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Fetch of an expert's weights by a rank; may replace another expert.

    Attributes:
        rank: Rank that fetches the weights.
        expert: Expert to fetch.
        dropped: Expert that is replaced; None if a slot is free.
    """

    rank: int
    expert: int
    dropped: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class MoveBatch:
    """Moves that are followed by one switch of the map.

    Attributes:
        moves: Moves, at most one for each rank.
        start: Map before the switch.
        end: Map after the switch.
    """

    moves: tuple[Move, ...]
    start: placement.ExpertMap
    end: placement.ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class MovePlan:
    """Batches that change one map into another, completely or in part."""

    batches: tuple[MoveBatch, ...]

    def find_batch(self, current_map: placement.ExpertMap) -> MoveBatch | None:
        """Returns the batch that starts from the current map, or None."""
        return next(
            (batch for batch in self.batches if batch.start == current_map), None
        )

    def count_moves(self) -> int:
        """Returns the number of weight fetches."""
        return sum(len(batch.moves) for batch in self.batches)

    def estimate_duration_s(self, weight_bytes: int, bytes_per_s: float) -> float:
        """Returns the time that the weight store needs for all fetches, in seconds."""
        return self.count_moves() * weight_bytes / bytes_per_s


def plan_moves(
    start: placement.ExpertMap, goal: placement.ExpertMap, moves_per_batch: int
) -> MovePlan:
    """Plans the moves from `start` to `goal`.

    Args:
        start: Current map.
        goal: Target map.
        moves_per_batch: Maximum number of moves in a batch. A swap of two experts that
            have one replica each takes two moves even if the maximum is one.

    Returns:
        The plan. It ends before `goal` if every further move would leave an expert
        without a replica.
    """
    batches: list[MoveBatch] = []
    current = start
    while current != goal:
        moves = _choose_moves(current, goal, moves_per_batch)
        if not moves:
            break
        next_map = _apply_moves(current, moves)
        batches.append(MoveBatch(moves, current, next_map))
        current = next_map
    return MovePlan(tuple(batches))


def _choose_moves(
    current: placement.ExpertMap, goal: placement.ExpertMap, limit: int
) -> tuple[Move, ...]:
    """Chooses moves after which each expert has a replica.

    A move that drops an expert's last replica is chosen only together with a move that
    fetches the same expert.
    """
    counts = [len(ranks) for ranks in current.replicas]
    chosen: dict[int, Move] = {}
    candidates = _list_moves(current, goal)
    for move in candidates:
        if len(chosen) >= limit or move.rank in chosen:
            continue
        if move.dropped is None or counts[move.dropped] > 1:
            _add_move(move, chosen, counts)
            continue
        partner = next(
            (
                other
                for other in candidates
                if other.expert == move.dropped
                and other.rank not in chosen
                and other.rank != move.rank
                and (other.dropped == move.expert or _keeps_replica(other, counts))
            ),
            None,
        )
        if partner is not None and len(chosen) + 2 <= max(limit, 2):
            _add_move(partner, chosen, counts)
            _add_move(move, chosen, counts)
    return tuple(chosen[rank] for rank in sorted(chosen))


def _keeps_replica(move: Move, counts: list[int]) -> bool:
    return move.dropped is None or counts[move.dropped] > 1


def _add_move(move: Move, chosen: dict[int, Move], counts: list[int]) -> None:
    chosen[move.rank] = move
    counts[move.expert] += 1
    if move.dropped is not None:
        counts[move.dropped] -= 1


def _list_moves(current: placement.ExpertMap, goal: placement.ExpertMap) -> list[Move]:
    """Lists each rank's possible moves towards `goal`.

    Each move replaces an expert that the rank doesn't hold in `goal`. If the rank gains
    more experts than it loses, the moves use free slots and replace none.
    """
    moves: list[Move] = []
    pairs = zip(current.list_experts(), goal.list_experts(), strict=True)
    for rank, (before, after) in enumerate(pairs):
        added = sorted(set(after) - set(before))
        dropped = collections.deque(sorted(set(before) - set(after)))
        if len(added) > len(dropped):
            moves.extend(Move(rank, expert, None) for expert in added)
            continue
        moves.extend(Move(rank, new, old) for new in added for old in dropped)
    return moves


def _apply_moves(
    current: placement.ExpertMap, moves: tuple[Move, ...]
) -> placement.ExpertMap:
    replicas = [set(ranks) for ranks in current.replicas]
    for move in moves:
        replicas[move.expert].add(move.rank)
        if move.dropped is not None:
            replicas[move.dropped].discard(move.rank)
    return placement.create_map(current.rank_count, replicas)
