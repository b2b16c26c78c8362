"""Strategies that rebalance a group by proposing maps."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy.maps import gates
from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import repair


class Rebalancer(typing.Protocol):
    """Proposes maps for one group."""

    def propose_map(
        self, current_map: placement.ExpertMap, shares: placement.Shares, now: float
    ) -> placement.ExpertMap | None:
        """Returns a better map, or None to keep the current one.

        Args:
            current_map: Current map.
            shares: Each expert's share of the tokens.
            now: Present time, in seconds.
        """

    def is_busy(self) -> bool:
        """Returns whether a map is being computed and needs further calls."""


class NeverRebalance:
    """Keeps the initial map."""

    def propose_map(
        self, current_map: placement.ExpertMap, shares: placement.Shares, now: float
    ) -> placement.ExpertMap | None:
        """Returns None."""
        return None

    def is_busy(self) -> bool:
        """Returns False."""
        return False


class AlwaysRebalance:
    """Packs a map from scratch once per period, regardless of the moves needed."""

    def __init__(self, slots_per_rank: int, period_s: float) -> None:
        """Creates a rebalancer.

        Args:
            slots_per_rank: Number of replicas that a rank can hold.
            period_s: Time between two maps, in seconds.
        """
        self._slots_per_rank = slots_per_rank
        self._period_s = period_s
        self._next_at = 0.0

    def propose_map(
        self, current_map: placement.ExpertMap, shares: placement.Shares, now: float
    ) -> placement.ExpertMap | None:
        """Returns a new map if the period has ended."""
        if now < self._next_at:
            return None
        self._next_at = now + self._period_s
        return placement.pack_experts(
            shares, current_map.rank_count, self._slots_per_rank
        )

    def is_busy(self) -> bool:
        """Returns False."""
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class RepairSettings:
    """Settings of the repair.

    Attributes:
        budget: Maximum number of moves in one change.
        target_skew: Skew at which a repair stops.
    """

    budget: int = 24
    target_skew: float = 1.04


class GatedRepair:
    """Repairs the current map if the gate is open and the gain exceeds the cost."""

    def __init__(
        self, gate_settings: gates.GateSettings, repair_settings: RepairSettings
    ) -> None:
        """Creates a rebalancer without recorded skew."""
        self._gate_settings = gate_settings
        self._repair_settings = repair_settings
        self._gate = gates.GateState()
        self._start: placement.ExpertMap | None = None
        self._repair: repair.Repair | None = None

    def propose_map(
        self, current_map: placement.ExpertMap, shares: placement.Shares, now: float
    ) -> placement.ExpertMap | None:
        """Makes one edit of the repair per call.

        Returns the repaired map after the last edit if its gain exceeds its cost.
        """
        if self._repair is not None and self._start == current_map:
            if self._repair.advance():
                return None
            return self._finish(current_map, self._repair.build_map(), shares, now)
        self._repair = None
        skew = current_map.compute_skew(shares)
        self._gate = gates.record_skew(self._gate, self._gate_settings, skew, now)
        if gates.is_open(self._gate, self._gate_settings, now):
            settings = self._repair_settings
            self._start = current_map
            self._repair = repair.Repair(
                current_map, shares, settings.budget, settings.target_skew
            )
        return None

    def is_busy(self) -> bool:
        """Returns whether a repair is in progress."""
        return self._repair is not None

    def _finish(
        self,
        current_map: placement.ExpertMap,
        repaired: placement.ExpertMap,
        shares: placement.Shares,
        now: float,
    ) -> placement.ExpertMap | None:
        self._repair = None
        moves = placement.count_moves(current_map, repaired)
        before, after = current_map.compute_skew(shares), repaired.compute_skew(shares)
        if not gates.is_worthwhile(self._gate_settings, before, after, moves):
            return None
        self._gate = gates.record_change(self._gate, now)
        return repaired
