"""Ways to rebalance a group, behind one protocol."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy.maps import gates
from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import repair


class Rebalancer(typing.Protocol):
    """Proposes maps for one group."""

    def propose_map(
        self, in_force: placement.ExpertMap, shares: placement.Shares, now: float
    ) -> placement.ExpertMap | None:
        """Returns a better map, or None to keep the one in force for now.

        Args:
            in_force: Map in force.
            shares: Share of the tokens of each expert.
            now: Present time, in seconds.
        """

    def is_busy(self) -> bool:
        """Tells whether a map is being worked out, so that a call soon is of use."""


class NeverRebalance:
    """Keeps the first map."""

    def propose_map(
        self, in_force: placement.ExpertMap, shares: placement.Shares, now: float
    ) -> placement.ExpertMap | None:
        """Returns None."""
        return None

    def is_busy(self) -> bool:
        """Returns False."""
        return False


class AlwaysRebalance:
    """Packs a map from scratch once a period, whatever it moves."""

    def __init__(self, slots_per_rank: int, period_s: float) -> None:
        """Creates a rebalancer with a period in seconds."""
        self._slots_per_rank = slots_per_rank
        self._period_s = period_s
        self._next_at = 0.0

    def propose_map(
        self, in_force: placement.ExpertMap, shares: placement.Shares, now: float
    ) -> placement.ExpertMap | None:
        """Returns a map from scratch when the period is over."""
        if now < self._next_at:
            return None
        self._next_at = now + self._period_s
        return placement.pack_experts(shares, in_force.rank_count, self._slots_per_rank)

    def is_busy(self) -> bool:
        """Returns False."""
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class RepairSettings:
    """Settings of the repair.

    Attributes:
        budget: Moves in one change at the most.
        target_skew: Skew at which a repair is good enough.
    """

    budget: int = 24
    target_skew: float = 1.04


class GatedRepair:
    """Repairs the map in force when the gate is open and the repair pays."""

    def __init__(
        self, gate_settings: gates.GateSettings, repair_settings: RepairSettings
    ) -> None:
        """Creates a rebalancer that has seen nothing yet."""
        self._gate_settings = gate_settings
        self._repair_settings = repair_settings
        self._gate = gates.GateState()
        self._start: placement.ExpertMap | None = None
        self._repair: repair.Repair | None = None

    def propose_map(
        self, in_force: placement.ExpertMap, shares: placement.Shares, now: float
    ) -> placement.ExpertMap | None:
        """Makes one edit a call; returns the repaired map at the end, if it pays."""
        if self._repair is not None and self._start == in_force:
            if self._repair.advance():
                return None
            return self._finish(in_force, self._repair.build_map(), shares, now)
        self._repair = None
        skew = in_force.compute_skew(shares)
        self._gate = gates.record_skew(self._gate, self._gate_settings, skew, now)
        if gates.is_open(self._gate, self._gate_settings, now):
            bounds = self._repair_settings
            self._start = in_force
            self._repair = repair.Repair(
                in_force, shares, bounds.budget, bounds.target_skew
            )
        return None

    def is_busy(self) -> bool:
        """Tells whether a repair is under way."""
        return self._repair is not None

    def _finish(
        self,
        in_force: placement.ExpertMap,
        repaired: placement.ExpertMap,
        shares: placement.Shares,
        now: float,
    ) -> placement.ExpertMap | None:
        self._repair = None
        moves = placement.count_moves(in_force, repaired)
        before, after = in_force.compute_skew(shares), repaired.compute_skew(shares)
        if not gates.is_worthwhile(self._gate_settings, before, after, moves):
            return None
        self._gate = gates.record_change(self._gate, now)
        return repaired
