"""Plans the orders of one service in the process that holds its lease.

It keeps the state between plans: average demand, when each artifact was first reported
by an endpoint, and the orders whose effect hasn't been reported yet. The cost of a plan
is linear in the number of endpoints times the number of orders, at most four.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.orders import allocation
from chicoryweir_policy.orders import artifacts
from chicoryweir_policy.orders import demand
from chicoryweir_policy.orders import load_budgets

MAX_ORDERS_PER_PLAN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings of one service's planner.

    Attributes:
        capacity_per_s: Tokens per second that one endpoint generates.
        load_bytes: Bytes that one load fetches.
        half_life_s: Half-life of the average demand, in seconds.
        order_timeout_s: Time after which an order without effect is dropped.
        demand: Thresholds at which the number of endpoints changes.
        allocation: Limits of the allocation.
    """

    capacity_per_s: float
    load_bytes: float
    half_life_s: float = 60.0
    order_timeout_s: float = 120.0
    demand: demand.DemandSettings = demand.DemandSettings()
    allocation: allocation.AllocationSettings = allocation.AllocationSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReport:
    """State that an endpoint reports.

    Attributes:
        instance: Name of the instance.
        incarnation: Identifier of the endpoint's process.
        data_centre: Name of its data centre.
        serving: Whether it answers and isn't leaving.
        held: Artifacts that it has loaded.
    """

    instance: str
    incarnation: str
    data_centre: str
    serving: bool
    held: tuple[artifacts.Artifact, ...]


@dataclasses.dataclass(slots=True)
class _Demand:
    """Average demand for one artifact and its need for endpoints."""

    average_per_s: float
    updated_at: float
    need: demand.Need


_HeldKey = tuple[str, str, artifacts.Artifact]


class ServicePlanner:
    """Plans orders under one lease; each lease holder creates a new planner."""

    def __init__(
        self, settings: PlannerSettings, budget: load_budgets.LoadBudget, fence: int
    ) -> None:
        """Creates a planner without known demand.

        Args:
            settings: Settings of the service.
            budget: Bandwidth of the weight store that the service may use.
            fence: Fencing token of the lease.
        """
        self._settings = settings
        self._budget = budget
        self._fence = fence
        self._sequence = 0
        self._demands: dict[artifacts.Artifact, _Demand] = {}
        self._held_since: dict[_HeldKey, float] = {}
        self._pending_orders: dict[_HeldKey, tuple[artifacts.Action, float]] = {}

    def record_demand(
        self, artifact: artifacts.Artifact, tokens_per_s: float, now: float
    ) -> None:
        """Records the demand for an artifact, summed over all entries."""
        tracked = self._demands.get(artifact)
        if tracked is None:
            tracked = _Demand(tokens_per_s, now, demand.Need(1))
            self._demands[artifact] = tracked
        tracked.average_per_s = demand.average_rate(
            tracked.average_per_s,
            tokens_per_s,
            now - tracked.updated_at,
            self._settings.half_life_s,
        )
        tracked.updated_at = now
        tracked.need = demand.update_need(
            tracked.need,
            tracked.average_per_s,
            self._settings.capacity_per_s,
            self._settings.demand,
            now,
        )

    def plan(
        self, reports: collections.abc.Iterable[EndpointReport], now: float
    ) -> tuple[artifacts.Order, ...]:
        """Returns the orders to send to the agents now."""
        endpoints = self._build_endpoints(reports, now)
        self._budget = load_budgets.refill(self._budget, now)
        load_bytes = self._settings.load_bytes
        orders = allocation.plan_orders(
            endpoints,
            {
                artifact: tracked.need.count
                for artifact, tracked in self._demands.items()
            },
            self._settings.allocation,
            min(
                MAX_ORDERS_PER_PLAN, load_budgets.count_loads(self._budget, load_bytes)
            ),
            self._fence,
            self._sequence,
            now,
        )
        for order in orders:
            key = (order.instance, order.incarnation, order.artifact)
            self._pending_orders[key] = (order.action, now)
            self._sequence = order.sequence
        loads = sum(order.action is artifacts.Action.LOAD for order in orders)
        self._budget = load_budgets.spend(self._budget, load_bytes, loads)
        return orders

    def _build_endpoints(
        self, reports: collections.abc.Iterable[EndpointReport], now: float
    ) -> list[artifacts.Endpoint]:
        """Returns the endpoints as expected once all orders have taken effect."""
        all_reports = tuple(reports)
        reported = {
            (report.instance, report.incarnation, artifact): None
            for report in all_reports
            for artifact in report.held
        }
        self._held_since = {key: self._held_since.get(key, now) for key in reported}
        self._drop_finished_orders(reported, now)
        expected_since = dict(self._held_since)
        for key, (action, since) in self._pending_orders.items():
            if action is artifacts.Action.LOAD:
                expected_since[key] = since
            else:
                expected_since.pop(key, None)
        held: dict[tuple[str, str], list[artifacts.HeldArtifact]] = {}
        for (instance, incarnation, artifact), since in expected_since.items():
            endpoint_held = held.setdefault((instance, incarnation), [])
            endpoint_held.append(artifacts.HeldArtifact(artifact, since))
        return [
            artifacts.Endpoint(
                report.instance,
                report.incarnation,
                report.data_centre,
                report.serving,
                tuple(held.get((report.instance, report.incarnation), ())),
            )
            for report in all_reports
        ]

    def _drop_finished_orders(
        self, reported: collections.abc.Container[_HeldKey], now: float
    ) -> None:
        """Removes orders that have taken effect or timed out."""
        self._pending_orders = {
            key: (action, since)
            for key, (action, since) in self._pending_orders.items()
            if (key in reported) != (action is artifacts.Action.LOAD)
            and now - since < self._settings.order_timeout_s
        }
