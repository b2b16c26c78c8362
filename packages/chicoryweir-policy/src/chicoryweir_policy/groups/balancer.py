"""Turns the load that a group's ranks report into proposals of better maps."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.groups import messages
from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import plan
from chicoryweir_policy.maps import popularity
from chicoryweir_policy.maps import rebalancers
from chicoryweir_policy.orders import load_budgets

NO_PLAN = plan.Plan(())


@dataclasses.dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of the proposals for one group.

    Attributes:
        half_life_s: Time in which a count of tokens loses half its weight, in seconds.
        period_s: Time between two looks at the load, in seconds.
        moves_per_step: Weights that one change of the map fetches at the most.
        weight_bytes: Bytes of one expert's weights.
        bytes_per_s: Rate of the weight store that the group may use.
    """

    half_life_s: float = 60.0
    period_s: float = 10.0
    moves_per_step: int = 4
    weight_bytes: float = 2.5e9
    bytes_per_s: float = 1e9


class MapBalancer:
    """Follows the load of one group while its lease is held."""

    def __init__(
        self,
        rank_count: int,
        expert_count: int,
        way: rebalancers.Rebalancer,
        settings: BalancerSettings,
        now: float,
    ) -> None:
        """Creates a balancer that has seen no load."""
        self._rank_count = rank_count
        self._way = way
        self._settings = settings
        self._popularity = popularity.create_popularity(expert_count, now)
        burst = settings.weight_bytes * settings.moves_per_step
        self._budget = load_budgets.create_budget(settings.bytes_per_s, burst, now)
        self._plan = NO_PLAN
        self._next_at = now + settings.period_s

    def record_load(self, counts: collections.abc.Sequence[int], now: float) -> None:
        """Takes in the tokens of each expert that one agent reported."""
        if len(counts) == len(self._popularity.weights):
            self._popularity = popularity.add_counts(
                self._popularity, counts, self._settings.half_life_s, now
            )

    def propose_map(
        self, replicas: messages.Replicas, now: float
    ) -> messages.Replicas | None:
        """Returns the next map on the way to a better one, when one is due.

        Args:
            replicas: Map in force.
            now: Present time, in seconds.
        """
        if now < self._next_at:
            return None
        self._budget = load_budgets.refill(self._budget, now)
        in_force = placement.create_map(self._rank_count, replicas)
        step = self._plan.find_step(in_force) or self._find_first_step(in_force, now)
        if self._way.is_busy():
            return None
        self._next_at = now + self._settings.period_s
        weight_bytes = self._settings.weight_bytes
        if step is None or load_budgets.count_loads(self._budget, weight_bytes) == 0:
            return None
        self._budget = load_budgets.spend(self._budget, weight_bytes, len(step.moves))
        return step.end.replicas

    def _find_first_step(
        self, in_force: placement.ExpertMap, now: float
    ) -> plan.PlanStep | None:
        """Plans the way to a better map, if there is one that pays."""
        shares = self._popularity.compute_shares()
        goal = self._way.propose_map(in_force, shares, now)
        self._plan = NO_PLAN
        if goal is not None:
            limit = self._settings.moves_per_step
            self._plan = plan.plan_moves(in_force, goal, limit)
        return self._plan.find_step(in_force)
