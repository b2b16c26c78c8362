"""Repairs the map in force by the few moves that even out the load most.

Loads are times: a rank's share of the tokens times its pace, which is 1 for a healthy
rank and more for a slow one.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.maps import placement

FAST_RANKS = 10
MIN_GAIN = 1e-12


@dataclasses.dataclass(frozen=True, slots=True)
class _Edit:
    """A change of the map.

    Attributes:
        gain: Drop of the sum of squared loads for each move.
        moves: Weights to be fetched.
        added: (expert, rank) pairs that come.
        dropped: (expert, rank) pairs that go.
    """

    gain: float
    moves: int
    added: tuple[tuple[int, int], ...]
    dropped: tuple[tuple[int, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RankBounds:
    """Bounds on the replicas of the ranks.

    Attributes:
        slots: Replicas that a rank has room for.
        max_copies: Replicas that the repair may bring to each rank, by rank.
    """

    slots: int
    max_copies: tuple[int, ...]


class _Board:
    """The map while it is edited, with the loads kept up to date."""

    def __init__(
        self,
        start: placement.ExpertMap,
        shares: placement.Shares,
        bounds: RankBounds | None,
        slowdowns: collections.abc.Sequence[float],
    ) -> None:
        self._bounds = bounds
        self._paces = slowdowns
        self._start = [frozenset(experts) for experts in start.list_experts()]
        self.shares = shares
        self.replicas = [set(ranks) for ranks in start.replicas]
        self.experts = [set(experts) for experts in start.list_experts()]
        self.loads = start.compute_times(shares, slowdowns)

    def compute_gain(self, deltas: dict[int, float]) -> float:
        """Returns the drop of the sum of squared loads for changes of shares."""
        loads, slowdowns = self.loads, self._paces
        gain = 0.0
        for rank, delta in deltas.items():
            more = delta * slowdowns[rank]
            gain -= more * (2.0 * loads[rank] + more)
        return gain

    @property
    def may_move(self) -> bool:
        """Whether experts may leave a rank, so that places become free."""
        return self._bounds is not None

    def may_take(self, rank: int, expert: int) -> bool:
        """Tells whether the repair may bring an expert to a rank."""
        if self._bounds is None or expert in self._start[rank]:
            return True
        arrived = len(self.experts[rank] - self._start[rank])
        return arrived < self._bounds.max_copies[rank]

    def has_place(self, rank: int) -> bool:
        """Tells whether a rank has room without giving up a replica."""
        if self._bounds is None:
            return False
        return len(self.experts[rank]) < self._bounds.slots

    def apply(self, edit: _Edit) -> None:
        """Makes an edit."""
        touched = {expert for expert, _ in (*edit.added, *edit.dropped)}
        for expert in sorted(touched):
            self._shift(expert, -1.0)
        for expert, rank in edit.dropped:
            self.replicas[expert].discard(rank)
            self.experts[rank].discard(expert)
        for expert, rank in edit.added:
            self.replicas[expert].add(rank)
            self.experts[rank].add(expert)
        for expert in sorted(touched):
            self._shift(expert, 1.0)

    def _shift(self, expert: int, sign: float) -> None:
        part = self.shares[expert] / len(self.replicas[expert])
        for rank in sorted(self.replicas[expert]):
            self.loads[rank] += sign * part * self._paces[rank]


def repair_map(
    start: placement.ExpertMap,
    shares: placement.Shares,
    budget: int,
    target_skew: float,
    bounds: RankBounds | None = None,
    slowdowns: collections.abc.Sequence[float] | None = None,
) -> placement.ExpertMap:
    """Improves a map by moves from the slowest rank to the fastest ones.

    Each edit either gives an expert of the slowest rank one more replica in the place
    of a replica that can be spared, or swaps two experts between two ranks. Where ranks
    have bounds, experts may also leave the slowest rank altogether.

    Args:
        start: Map in force.
        shares: Share of the tokens of each expert.
        budget: Moves at the most.
        target_skew: Skew at which it is good enough.
        bounds: Bounds on each rank; None when only replicas are exchanged.
        slowdowns: Time that each rank takes for its work over the usual time; None when
            all are alike.

    Returns:
        The map after the edits; `start` when none helps.
    """
    under_way = Repair(start, shares, budget, target_skew, bounds, slowdowns)
    while under_way.advance():
        pass
    return under_way.build_map()


class Repair:
    """A repair that is made edit by edit, so that none of its steps takes long."""

    def __init__(
        self,
        start: placement.ExpertMap,
        shares: placement.Shares,
        budget: int,
        target_skew: float,
        bounds: RankBounds | None = None,
        slowdowns: collections.abc.Sequence[float] | None = None,
    ) -> None:
        """Begins with the map in force; for the arguments see `repair_map`."""
        self._rank_count = start.rank_count
        if slowdowns is None:
            slowdowns = (1.0,) * start.rank_count
        self._board = _Board(start, shares, bounds, slowdowns)
        self._left = budget
        self._target_load = target_skew * sum(shares) / sum(1.0 / p for p in slowdowns)

    def advance(self) -> bool:
        """Makes the best edit; False when none is left to make."""
        if self._left <= 0 or max(self._board.loads) <= self._target_load:
            return False
        best = _find_best(self._board, self._left)
        if best is None:
            return False
        self._board.apply(best)
        self._left -= best.moves
        return True

    def build_map(self) -> placement.ExpertMap:
        """Returns the map as edited so far."""
        return placement.create_map(self._rank_count, self._board.replicas)


def _find_best(board: _Board, moves_left: int) -> _Edit | None:
    """Returns the edit that gains most, from the fastest ranks if any of them does."""
    order = sorted(range(len(board.loads)), key=lambda rank: board.loads[rank])
    slowest, others = order[-1], order[:-1]
    for targets in (others[:FAST_RANKS], others[FAST_RANKS:]):
        openings = {rank: _list_openings(board, rank) for rank in targets}
        edits: tuple[_Edit, ...] = (
            *_list_copies(board, slowest, openings),
            *_list_swaps(board, slowest, targets),
            *(_list_departures(board, slowest, openings) if board.may_move else ()),
        )
        useful = [e for e in edits if e.moves <= moves_left and e.gain > MIN_GAIN]
        if useful:
            return max(useful, key=lambda edit: edit.gain)
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class _Opening:
    """A place for one more replica at a rank.

    Attributes:
        deltas: Changes of shares by rank; none where a place is free.
        dropped: (expert, rank) pairs that go.
    """

    deltas: dict[int, float]
    dropped: tuple[tuple[int, int], ...]


# Ways to make a place at each rank that might take a replica.
_Openings = collections.abc.Mapping[int, list[_Opening]]


def _list_openings(board: _Board, rank: int) -> list[_Opening]:
    """Lists ways to make a place at a rank: a free one, or that of a spare replica."""
    if board.has_place(rank):
        return [_Opening({}, ())]
    found = []
    for expert in sorted(board.experts[rank]):
        rest = board.replicas[expert] - {rank}
        if not rest:
            continue
        part = board.shares[expert]
        deltas = dict.fromkeys(rest, part / len(rest) - part / (len(rest) + 1))
        deltas[rank] = -part / (len(rest) + 1)
        found.append(_Opening(deltas, ((expert, rank),)))
    return found


def _add_deltas(first: dict[int, float], second: dict[int, float]) -> dict[int, float]:
    """Returns the sums of two changes of shares by rank."""
    summed = dict(first)
    for rank, delta in second.items():
        summed[rank] = summed.get(rank, 0.0) + delta
    return summed


def _list_copies(
    board: _Board, slowest: int, openings: _Openings
) -> collections.abc.Iterator[_Edit]:
    """Lists edits by which a fast rank takes a replica of one of its experts."""
    for expert in sorted(board.experts[slowest]):
        holders = board.replicas[expert]
        count, share = len(holders), board.shares[expert]
        eased = dict.fromkeys(holders, share / (count + 1) - share / count)
        for rank, ways in openings.items():
            if rank in holders or not board.may_take(rank, expert):
                continue
            copied = {**eased, rank: share / (count + 1)}
            for opening in ways:
                gain = board.compute_gain(_add_deltas(copied, opening.deltas))
                yield _Edit(gain, 1, ((expert, rank),), opening.dropped)


def _list_departures(
    board: _Board, slowest: int, openings: _Openings
) -> collections.abc.Iterator[_Edit]:
    """Lists edits after which the slowest rank no longer holds one of its experts."""
    for expert in sorted(board.experts[slowest]):
        holders = board.replicas[expert]
        count, share = len(holders), board.shares[expert]
        leaving = (expert, slowest)
        if count > 1:
            deltas = dict.fromkeys(holders, share / (count - 1) - share / count)
            deltas[slowest] = -share / count
            yield _Edit(board.compute_gain(deltas), 0, (), (leaving,))
            continue
        for rank, ways in openings.items():
            if not board.may_take(rank, expert):
                continue
            moved = {slowest: -share, rank: share}
            for opening in ways:
                gain = board.compute_gain(_add_deltas(moved, opening.deltas))
                dropped = (leaving, *opening.dropped)
                yield _Edit(gain, 1, ((expert, rank),), dropped)


def _list_swaps(
    board: _Board, slowest: int, targets: list[int]
) -> collections.abc.Iterator[_Edit]:
    """Lists edits that swap one of its experts with a lighter one of a fast rank."""
    for expert in sorted(board.experts[slowest]):
        part = board.shares[expert] / len(board.replicas[expert])
        for rank in targets:
            if rank in board.replicas[expert] or not board.may_take(rank, expert):
                continue
            for other in sorted(board.experts[rank] - board.experts[slowest]):
                if not board.may_take(slowest, other):
                    continue
                less = part - board.shares[other] / len(board.replicas[other])
                if less <= 0:
                    continue
                gain = board.compute_gain({slowest: -less, rank: less})
                yield _Edit(
                    gain / 2.0,
                    2,
                    ((expert, rank), (other, slowest)),
                    ((expert, slowest), (other, rank)),
                )
