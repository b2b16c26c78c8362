"""Repairs the current map with the few moves that reduce the load imbalance most.

A rank's load is its share of the tokens multiplied by its slowdown, which is 1 for a
healthy rank and more for a slow one.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.maps import placement

# Number of least loaded ranks that are considered as targets before the other ranks.
FAST_RANKS = 10
# Gain at or below which an edit counts as rounding error.
MIN_GAIN = 1e-12


@dataclasses.dataclass(frozen=True, slots=True)
class _Edit:
    """Elementary change of the map.

    Attributes:
        gain: Reduction of the sum of squared loads, per move.
        moves: Number of weight fetches.
        added: Replicas added, as (expert, rank) pairs.
        dropped: Replicas dropped, as (expert, rank) pairs.
    """

    gain: float
    moves: int
    added: tuple[tuple[int, int], ...]
    dropped: tuple[tuple[int, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RankBounds:
    """Bounds on the replicas of the ranks.

    Attributes:
        slots: Number of replicas that a rank can hold.
        max_copies: Number of replicas that the repair may add to each rank.
    """

    slots: int
    max_copies: tuple[int, ...]


class _EditableMap:
    """Map under edit, with the current loads."""

    def __init__(
        self,
        start: placement.ExpertMap,
        shares: placement.Shares,
        bounds: RankBounds | None,
        slowdowns: collections.abc.Sequence[float],
    ) -> None:
        self._bounds = bounds
        self._slowdowns = slowdowns
        self._start = [frozenset(experts) for experts in start.list_experts()]
        self.shares = shares
        self.replicas = [set(ranks) for ranks in start.replicas]
        self.experts = [set(experts) for experts in start.list_experts()]
        self.loads = start.compute_times(shares, slowdowns)

    def compute_gain(self, deltas: dict[int, float]) -> float:
        """Returns the reduction of the sum of squared loads for changes of shares."""
        loads, slowdowns = self.loads, self._slowdowns
        gain = 0.0
        for rank, delta in deltas.items():
            added = delta * slowdowns[rank]
            gain -= added * (2.0 * loads[rank] + added)
        return gain

    @property
    def may_drop(self) -> bool:
        """Whether a rank may drop a replica without receiving another."""
        return self._bounds is not None

    def may_add(self, rank: int, expert: int) -> bool:
        """Returns whether the repair may add a replica of an expert to a rank."""
        if self._bounds is None or expert in self._start[rank]:
            return True
        copied = len(self.experts[rank] - self._start[rank])
        return copied < self._bounds.max_copies[rank]

    def has_free_slot(self, rank: int) -> bool:
        """Returns whether a rank has a free slot."""
        if self._bounds is None:
            return False
        return len(self.experts[rank]) < self._bounds.slots

    def apply(self, edit: _Edit) -> None:
        """Applies an edit."""
        touched = {expert for expert, _ in (*edit.added, *edit.dropped)}
        for expert in sorted(touched):
            self._add_load(expert, -1.0)
        for expert, rank in edit.dropped:
            self.replicas[expert].discard(rank)
            self.experts[rank].discard(expert)
        for expert, rank in edit.added:
            self.replicas[expert].add(rank)
            self.experts[rank].add(expert)
        for expert in sorted(touched):
            self._add_load(expert, 1.0)

    def _add_load(self, expert: int, sign: float) -> None:
        part = self.shares[expert] / len(self.replicas[expert])
        for rank in sorted(self.replicas[expert]):
            self.loads[rank] += sign * part * self._slowdowns[rank]


def repair_map(
    start: placement.ExpertMap,
    shares: placement.Shares,
    budget: int,
    target_skew: float,
    bounds: RankBounds | None = None,
    slowdowns: collections.abc.Sequence[float] | None = None,
) -> placement.ExpertMap:
    """Improves a map by moves from the slowest rank to the fastest ones.

    Each edit either adds a replica of an expert of the slowest rank in the slot of a
    redundant replica, or swaps two experts between two ranks. With `bounds`, an edit
    may also use a free slot, or move an expert off the slowest rank.

    Args:
        start: Current map.
        shares: Each expert's share of the tokens.
        budget: Maximum number of moves.
        target_skew: Skew at which the repair stops.
        bounds: Bounds on each rank; None to keep the number of replicas on each rank.
        slowdowns: Factor by which each rank takes longer than usual; None if no rank is
            slow.

    Returns:
        The map after the edits; equal to `start` if no edit helps.
    """
    repair = Repair(start, shares, budget, target_skew, bounds, slowdowns)
    while repair.advance():
        pass
    return repair.build_map()


class Repair:
    """Repair that makes one edit per call, so that no call takes long."""

    def __init__(
        self,
        start: placement.ExpertMap,
        shares: placement.Shares,
        budget: int,
        target_skew: float,
        bounds: RankBounds | None = None,
        slowdowns: collections.abc.Sequence[float] | None = None,
    ) -> None:
        """Starts from the current map; see `repair_map` for the arguments."""
        self._rank_count = start.rank_count
        if slowdowns is None:
            slowdowns = (1.0,) * start.rank_count
        self._edited = _EditableMap(start, shares, bounds, slowdowns)
        self._moves_left = budget
        self._target_load = target_skew * sum(shares) / sum(1.0 / s for s in slowdowns)

    def advance(self) -> bool:
        """Makes the best edit; returns False if the repair is complete."""
        if self._moves_left <= 0 or max(self._edited.loads) <= self._target_load:
            return False
        best = _find_best(self._edited, self._moves_left)
        if best is None:
            return False
        self._edited.apply(best)
        self._moves_left -= best.moves
        return True

    def build_map(self) -> placement.ExpertMap:
        """Returns the map with the edits made so far."""
        return placement.create_map(self._rank_count, self._edited.replicas)


def _find_best(edited: _EditableMap, moves_left: int) -> _Edit | None:
    """Returns the edit with the greatest gain, or None if no edit has a gain.

    Considers further ranks only if no edit with one of the `FAST_RANKS` least loaded
    ranks has a gain.
    """
    order = sorted(range(len(edited.loads)), key=lambda rank: edited.loads[rank])
    slowest, others = order[-1], order[:-1]
    for targets in (others[:FAST_RANKS], others[FAST_RANKS:]):
        slot_options = {rank: _list_slot_options(edited, rank) for rank in targets}
        edits: tuple[_Edit, ...] = (
            *_list_copies(edited, slowest, slot_options),
            *_list_swaps(edited, slowest, targets),
            *(_list_removals(edited, slowest, slot_options) if edited.may_drop else ()),
        )
        useful = [
            edit for edit in edits if edit.moves <= moves_left and edit.gain > MIN_GAIN
        ]
        if useful:
            return max(useful, key=lambda edit: edit.gain)
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class _SlotOption:
    """Way to free a slot for one more replica on a rank.

    Attributes:
        deltas: Changes of shares by rank; empty if the slot is free already.
        dropped: Replicas dropped, as (expert, rank) pairs.
    """

    deltas: dict[int, float]
    dropped: tuple[tuple[int, int], ...]


# Ways to free a slot, by rank.
_SlotOptions = collections.abc.Mapping[int, list[_SlotOption]]


def _list_slot_options(edited: _EditableMap, rank: int) -> list[_SlotOption]:
    """Lists ways to free a slot on a rank; only the free slot if there is one."""
    if edited.has_free_slot(rank):
        return [_SlotOption({}, ())]
    found = []
    for expert in sorted(edited.experts[rank]):
        rest = edited.replicas[expert] - {rank}
        if not rest:
            continue
        part = edited.shares[expert]
        deltas = dict.fromkeys(rest, part / len(rest) - part / (len(rest) + 1))
        deltas[rank] = -part / (len(rest) + 1)
        found.append(_SlotOption(deltas, ((expert, rank),)))
    return found


def _add_deltas(first: dict[int, float], second: dict[int, float]) -> dict[int, float]:
    """Returns the sum of two changes of shares by rank."""
    summed = dict(first)
    for rank, delta in second.items():
        summed[rank] = summed.get(rank, 0.0) + delta
    return summed


def _list_copies(
    edited: _EditableMap, slowest: int, slot_options: _SlotOptions
) -> collections.abc.Iterator[_Edit]:
    """Lists edits that copy an expert of the slowest rank to another rank."""
    for expert in sorted(edited.experts[slowest]):
        holders = edited.replicas[expert]
        count, share = len(holders), edited.shares[expert]
        relieved = dict.fromkeys(holders, share / (count + 1) - share / count)
        for rank, options in slot_options.items():
            if rank in holders or not edited.may_add(rank, expert):
                continue
            copied = {**relieved, rank: share / (count + 1)}
            for option in options:
                gain = edited.compute_gain(_add_deltas(copied, option.deltas))
                yield _Edit(gain, 1, ((expert, rank),), option.dropped)


def _list_removals(
    edited: _EditableMap, slowest: int, slot_options: _SlotOptions
) -> collections.abc.Iterator[_Edit]:
    """Lists edits after which the slowest rank holds one expert fewer."""
    for expert in sorted(edited.experts[slowest]):
        holders = edited.replicas[expert]
        count, share = len(holders), edited.shares[expert]
        removed = (expert, slowest)
        if count > 1:
            deltas = dict.fromkeys(holders, share / (count - 1) - share / count)
            deltas[slowest] = -share / count
            yield _Edit(edited.compute_gain(deltas), 0, (), (removed,))
            continue
        for rank, options in slot_options.items():
            if not edited.may_add(rank, expert):
                continue
            moved = {slowest: -share, rank: share}
            for option in options:
                gain = edited.compute_gain(_add_deltas(moved, option.deltas))
                dropped = (removed, *option.dropped)
                yield _Edit(gain, 1, ((expert, rank),), dropped)


def _list_swaps(
    edited: _EditableMap, slowest: int, targets: list[int]
) -> collections.abc.Iterator[_Edit]:
    """Lists edits that swap an expert of the slowest rank with one of less load."""
    for expert in sorted(edited.experts[slowest]):
        part = edited.shares[expert] / len(edited.replicas[expert])
        for rank in targets:
            if rank in edited.replicas[expert] or not edited.may_add(rank, expert):
                continue
            for other in sorted(edited.experts[rank] - edited.experts[slowest]):
                if not edited.may_add(slowest, other):
                    continue
                delta = part - edited.shares[other] / len(edited.replicas[other])
                if delta <= 0:
                    continue
                gain = edited.compute_gain({slowest: -delta, rank: delta})
                yield _Edit(
                    gain / 2.0,
                    2,
                    ((expert, rank), (other, slowest)),
                    ((expert, slowest), (other, rank)),
                )
