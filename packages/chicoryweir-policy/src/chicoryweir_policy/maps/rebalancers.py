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
        """Returns a better map, or None to keep the one in force.

        Args:
            in_force: Map in force.
            shares: Share of the tokens of each expert.
            now: Present time, in seconds.
        """


class NeverRebalance:
    """Keeps the first map."""

    def propose_map(
        self, in_force: placement.ExpertMap, shares: placement.Shares, now: float
    ) -> placement.ExpertMap | None:
        """Returns None."""
        return None


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

    def propose_map(
        self, in_force: placement.ExpertMap, shares: placement.Shares, now: float
    ) -> placement.ExpertMap | None:
        """Returns the repaired map if it pays."""
        skew = in_force.compute_skew(shares)
        self._gate = gates.note_skew(self._gate, self._gate_settings, skew, now)
        if not gates.is_open(self._gate, self._gate_settings, now):
            return None
        repaired = repair.repair_map(
            in_force,
            shares,
            self._repair_settings.budget,
            self._repair_settings.target_skew,
        )
        moves = placement.count_moves(in_force, repaired)
        after = repaired.compute_skew(shares)
        if not gates.pays(self._gate_settings, skew, after, moves):
            return None
        self._gate = gates.note_change(self._gate, now)
        return repaired
