"""Proposes better expert maps from the load that a group's ranks report."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.groups import messages
from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import plan
from chicoryweir_policy.maps import popularity
from chicoryweir_policy.maps import rebalancers
from chicoryweir_policy.orders import load_budgets

NO_PLAN = plan.MovePlan(())


@dataclasses.dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of the map proposals for one group.

    Attributes:
        half_life_s: Half-life of the token counts, in seconds.
        period_s: Interval between evaluations of the load, in seconds.
        moves_per_batch: Maximum number of expert weights that one map change fetches.
        weight_bytes: Size of one expert's weights, in bytes.
        bytes_per_s: Bandwidth of the weight store that the group may use.
    """

    half_life_s: float = 60.0
    period_s: float = 10.0
    moves_per_batch: int = 4
    weight_bytes: float = 2.5e9
    bytes_per_s: float = 1e9


class MapBalancer:
    """Proposes maps for one group from its load while its lease is held."""

    def __init__(
        self,
        rank_count: int,
        expert_count: int,
        rebalancer: rebalancers.Rebalancer,
        settings: BalancerSettings,
        now: float,
    ) -> None:
        """Creates a balancer without load data."""
        self._rank_count = rank_count
        self._rebalancer = rebalancer
        self._settings = settings
        self._popularity = popularity.create_popularity(expert_count, now)
        burst = settings.weight_bytes * settings.moves_per_batch
        self._budget = load_budgets.create_budget(settings.bytes_per_s, burst, now)
        self._plan = NO_PLAN
        self._next_proposal_at = now + settings.period_s

    def record_load(self, counts: collections.abc.Sequence[int], now: float) -> None:
        """Adds tokens per expert; ignores counts for another number of experts."""
        if len(counts) == len(self._popularity.weights):
            self._popularity = popularity.add_counts(
                self._popularity, counts, self._settings.half_life_s, now
            )

    def propose_map(
        self, replicas: messages.Replicas, now: float
    ) -> messages.Replicas | None:
        """Returns the next intermediate map towards a better one, if one is due.

        Args:
            replicas: Current map.
            now: Present time, in seconds.
        """
        if now < self._next_proposal_at:
            return None
        self._budget = load_budgets.refill(self._budget, now)
        current_map = placement.create_map(self._rank_count, replicas)
        batch = self._plan.find_batch(current_map) or self._plan_first_batch(
            current_map, now
        )
        if self._rebalancer.is_busy():
            return None
        self._next_proposal_at = now + self._settings.period_s
        weight_bytes = self._settings.weight_bytes
        if batch is None or load_budgets.count_loads(self._budget, weight_bytes) == 0:
            return None
        self._budget = load_budgets.spend(self._budget, weight_bytes, len(batch.moves))
        return batch.end.replicas

    def _plan_first_batch(
        self, current_map: placement.ExpertMap, now: float
    ) -> plan.MoveBatch | None:
        """Plans moves to a map from the rebalancer; returns the first batch, if any."""
        shares = self._popularity.compute_shares()
        target_map = self._rebalancer.propose_map(current_map, shares, now)
        self._plan = NO_PLAN
        if target_map is not None:
            max_moves = self._settings.moves_per_batch
            self._plan = plan.plan_moves(current_map, target_map, max_moves)
        return self._plan.find_batch(current_map)
