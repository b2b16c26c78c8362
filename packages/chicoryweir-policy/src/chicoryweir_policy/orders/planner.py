"""Plans the orders of one service, for the process that holds its lease.

It keeps what the pure decisions need between two plans: averages of demand, since when
each endpoint holds what, and the orders whose effect no endpoint has reported yet.
A plan costs time in proportion to the endpoints times the orders that it gives,
of which there are four at the most.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.orders import allocation
from chicoryweir_policy.orders import artifacts
from chicoryweir_policy.orders import demand
from chicoryweir_policy.orders import load_budgets

ORDERS_PER_PLAN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings of one service's planner.

    Attributes:
        capacity_per_s: Tokens a second that one endpoint generates.
        load_bytes: Bytes that one load fetches.
        half_life_s: Half-life of the average of demand, in seconds.
        order_timeout_s: Time after which an order without effect is given up.
        demand: When the number of endpoints changes.
        allocation: Bounds of the allocation.
    """

    capacity_per_s: float
    load_bytes: float
    half_life_s: float = 60.0
    order_timeout_s: float = 120.0
    demand: demand.DemandSettings = demand.DemandSettings()
    allocation: allocation.AllocationSettings = allocation.AllocationSettings()


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReport:
    """What an endpoint reports of itself.

    Attributes:
        instance: Name.
        incarnation: Process of the endpoint.
        place: Data centre.
        serving: Whether it answers and is not leaving.
        held: What it has loaded.
    """

    instance: str
    incarnation: str
    place: str
    serving: bool
    held: tuple[artifacts.Artifact, ...]


@dataclasses.dataclass(slots=True)
class _Demand:
    """Demand for one artifact, and the endpoints that it needs."""

    average_per_s: float
    updated_at: float
    need: demand.Need


_Site = tuple[str, str, artifacts.Artifact]


class ServicePlanner:
    """Plans under one lease; a new holder begins with a new planner."""

    def __init__(
        self, settings: PlannerSettings, budget: load_budgets.LoadBudget, fence: int
    ) -> None:
        """Creates a planner that knows no demand.

        Args:
            settings: Settings of the service.
            budget: Rate of the weight store that the service may use.
            fence: Fencing number of the lease.
        """
        self._settings = settings
        self._budget = budget
        self._fence = fence
        self._sequence = 0
        self._demands: dict[artifacts.Artifact, _Demand] = {}
        self._since: dict[_Site, float] = {}
        self._ordered: dict[_Site, tuple[artifacts.Action, float]] = {}

    def record_demand(
        self, artifact: artifacts.Artifact, tokens_per_s: float, now: float
    ) -> None:
        """Takes in the demand for an artifact, over all entries."""
        known = self._demands.get(artifact)
        if known is None:
            known = _Demand(tokens_per_s, now, demand.Need(1))
            self._demands[artifact] = known
        known.average_per_s = demand.average_rate(
            known.average_per_s,
            tokens_per_s,
            now - known.updated_at,
            self._settings.half_life_s,
        )
        known.updated_at = now
        known.need = demand.update_need(
            known.need,
            known.average_per_s,
            self._settings.capacity_per_s,
            self._settings.demand,
            now,
        )

    def plan(
        self, reports: collections.abc.Iterable[EndpointReport], now: float
    ) -> tuple[artifacts.Order, ...]:
        """Returns the orders to give now; each is to be sent to its agent."""
        endpoints = self._build_endpoints(reports, now)
        self._budget = load_budgets.refill(self._budget, now)
        load_bytes = self._settings.load_bytes
        orders = allocation.plan_orders(
            endpoints,
            {artifact: found.need.count for artifact, found in self._demands.items()},
            self._settings.allocation,
            min(ORDERS_PER_PLAN, load_budgets.count_loads(self._budget, load_bytes)),
            self._fence,
            self._sequence,
            now,
        )
        for order in orders:
            site = (order.instance, order.incarnation, order.artifact)
            self._ordered[site] = (order.action, now)
            self._sequence = order.sequence
        loads = sum(order.action is artifacts.Action.LOAD for order in orders)
        self._budget = load_budgets.spend(self._budget, load_bytes, loads)
        return orders

    def _build_endpoints(
        self, reports: collections.abc.Iterable[EndpointReport], now: float
    ) -> list[artifacts.Endpoint]:
        """Returns the endpoints as they will be once all orders took effect."""
        found = tuple(reports)
        sites = {
            (report.instance, report.incarnation, artifact): None
            for report in found
            for artifact in report.held
        }
        self._since = {site: self._since.get(site, now) for site in sites}
        self._drop_settled(sites, now)
        expected = dict(self._since)
        for site, (action, since) in self._ordered.items():
            if action is artifacts.Action.LOAD:
                expected[site] = since
            else:
                expected.pop(site, None)
        held: dict[tuple[str, str], list[artifacts.HeldArtifact]] = {}
        for (instance, incarnation, artifact), since in expected.items():
            site_held = held.setdefault((instance, incarnation), [])
            site_held.append(artifacts.HeldArtifact(artifact, since))
        return [
            artifacts.Endpoint(
                report.instance,
                report.incarnation,
                report.place,
                report.serving,
                tuple(held.get((report.instance, report.incarnation), ())),
            )
            for report in found
        ]

    def _drop_settled(
        self, sites: collections.abc.Container[_Site], now: float
    ) -> None:
        """Forgets orders that took effect, and those that had their time."""
        self._ordered = {
            site: (action, since)
            for site, (action, since) in self._ordered.items()
            if (site in sites) != (action is artifacts.Action.LOAD)
            and now - since < self._settings.order_timeout_s
        }
