"""Splits a change of the map into steps under the rate of the weight store.

A rank fetches a weight into one staging slot beside those of its map. So in each step
a rank takes at most one new replica, and the map after every step is whole: to abort
is to take no further step.
"""

from __future__ import annotations

import collections
import dataclasses

from chicoryweir_policy.maps import placement


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A rank fetches an expert and drops another for it.

    Attributes:
        rank: The rank.
        expert: Expert to be fetched.
        dropped: Expert that makes room; None where a slot is free.
    """

    rank: int
    expert: int
    dropped: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class MoveBatch:
    """Weights to be fetched, then one switch of the map.

    Attributes:
        moves: What is fetched, one for each rank at the most.
        start: Map before.
        end: Map after.
    """

    moves: tuple[Move, ...]
    start: placement.ExpertMap
    end: placement.ExpertMap


@dataclasses.dataclass(frozen=True, slots=True)
class MovePlan:
    """Steps from one map to another; fewer than asked when some can't be made."""

    batches: tuple[MoveBatch, ...]

    def find_batch(self, in_force: placement.ExpertMap) -> MoveBatch | None:
        """Returns the step to take from the map in force, if the plan has one."""
        return next((batch for batch in self.batches if batch.start == in_force), None)

    def count_moves(self) -> int:
        """Returns the weights to be fetched."""
        return sum(len(batch.moves) for batch in self.batches)

    def estimate_duration_s(self, weight_bytes: int, bytes_per_s: float) -> float:
        """Returns the time that the weight store needs, in seconds."""
        return self.count_moves() * weight_bytes / bytes_per_s


def plan_moves(
    start: placement.ExpertMap, goal: placement.ExpertMap, moves_per_batch: int
) -> MovePlan:
    """Plans the way from `start` to `goal`.

    Args:
        start: Map in force.
        goal: Map to be reached.
        moves_per_batch: Weights that one step fetches at the most.

    Returns:
        The plan. It ends short of `goal` where every way on would leave an expert
        without a replica.
    """
    batches: list[MoveBatch] = []
    current = start
    while current != goal:
        moves = _choose_moves(current, goal, moves_per_batch)
        if not moves:
            break
        after = _apply_moves(current, moves)
        batches.append(MoveBatch(moves, current, after))
        current = after
    return MovePlan(tuple(batches))


def _choose_moves(
    current: placement.ExpertMap, goal: placement.ExpertMap, limit: int
) -> tuple[Move, ...]:
    """Chooses moves that leave each expert a replica, and swaps where they must."""
    counts = [len(ranks) for ranks in current.replicas]
    chosen: dict[int, Move] = {}
    wanted = _pair_moves(current, goal)
    for move in wanted:
        if len(chosen) >= limit or move.rank in chosen:
            continue
        if move.dropped is None or counts[move.dropped] > 1:
            _choose(move, chosen, counts)
            continue
        partner = next(
            (
                other
                for other in wanted
                if other.expert == move.dropped
                and other.rank not in chosen
                and other.rank != move.rank
                and (other.dropped == move.expert or _is_spare(other, counts))
            ),
            None,
        )
        if partner is not None and len(chosen) + 2 <= max(limit, 2):
            _choose(partner, chosen, counts)
            _choose(move, chosen, counts)
    return tuple(chosen[rank] for rank in sorted(chosen))


def _is_spare(move: Move, counts: list[int]) -> bool:
    return move.dropped is None or counts[move.dropped] > 1


def _choose(move: Move, chosen: dict[int, Move], counts: list[int]) -> None:
    chosen[move.rank] = move
    counts[move.expert] += 1
    if move.dropped is not None:
        counts[move.dropped] -= 1


def _pair_moves(current: placement.ExpertMap, goal: placement.ExpertMap) -> list[Move]:
    """Lists each way to swap a dropped expert of a rank for one that it lacks."""
    moves: list[Move] = []
    pairs = zip(current.list_experts(), goal.list_experts(), strict=True)
    for rank, (before, after) in enumerate(pairs):
        added = sorted(set(after) - set(before))
        gone = collections.deque(sorted(set(before) - set(after)))
        if len(added) > len(gone):
            moves.extend(Move(rank, expert, None) for expert in added)
            continue
        moves.extend(Move(rank, new, old) for new in added for old in gone)
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
