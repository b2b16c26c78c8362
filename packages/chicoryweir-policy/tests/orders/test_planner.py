"""Tests of the planner with endpoints that execute orders late or never."""

import collections
import dataclasses

from chicoryweir_policy.orders import artifacts
from chicoryweir_policy.orders import load_budgets
from chicoryweir_policy.orders import planner

DESK = artifacts.Artifact("model", "desk@1")
SETTINGS = planner.PlannerSettings(capacity_per_s=100.0, load_bytes=10.0)


class Fleet:
    """Simulated endpoints that execute a planner's orders after a delay."""

    def __init__(self, count: int, delay_s: float, bytes_per_s: float = 100.0) -> None:
        self.now = 0.0
        self.delay_s = delay_s
        self.reports = {
            f"agent-{n}": planner.EndpointReport(f"agent-{n}", "i1", "telavi", True, ())
            for n in range(count)
        }
        budget = load_budgets.create_budget(bytes_per_s, 10.0 * count, 0.0)
        self.planner = planner.ServicePlanner(SETTINGS, budget, fence=3)
        self.orders: list[artifacts.Order] = []
        self.due: collections.deque[tuple[float, artifacts.Order]] = collections.deque()

    def run(self, ticks: int, demand_per_s: float) -> int:
        """Runs a number of ticks; returns how many serving endpoints hold the model."""
        for _ in range(ticks):
            self.now += 10.0
            while self.due and self.due[0][0] <= self.now:
                self.execute_order(self.due.popleft()[1])
            self.planner.record_demand(DESK, demand_per_s, self.now)
            for order in self.planner.plan(self.reports.values(), self.now):
                self.orders.append(order)
                self.due.append((self.now + self.delay_s, order))
        return sum(r.serving and DESK in r.held for r in self.reports.values())

    def execute_order(self, order: artifacts.Order) -> None:
        report = self.reports[order.instance]
        held = tuple(a for a in report.held if a != order.artifact)
        if order.action is artifacts.Action.LOAD:
            held = (*held, order.artifact)
        self.reports[order.instance] = dataclasses.replace(report, held=held)


def test_pending_order_is_not_repeated() -> None:
    fleet = Fleet(4, delay_s=50.0)
    assert fleet.run(20, 140.0) == 2
    assert len(fleet.orders) == 2


def test_order_without_effect_is_issued_again_after_timeout() -> None:
    fleet = Fleet(1, delay_s=1e9)
    fleet.run(20, 10.0)
    assert [order.sequence for order in fleet.orders] == [1, 2]


def test_doubled_demand_and_lost_endpoint_are_compensated() -> None:
    fleet = Fleet(6, delay_s=20.0)
    assert fleet.run(30, 140.0) == 2
    assert fleet.run(60, 280.0) == 4
    lost = next(r for r in fleet.reports.values() if r.held)
    fleet.reports[lost.instance] = dataclasses.replace(lost, serving=False)
    assert fleet.run(30, 280.0) == 4
    assert len(fleet.orders) == 5


def test_restarted_endpoint_is_loaded_again() -> None:
    fleet = Fleet(1, delay_s=0.0)
    fleet.run(5, 10.0)
    report = fleet.reports["agent-0"]
    fleet.reports["agent-0"] = dataclasses.replace(report, incarnation="i2", held=())
    assert fleet.run(5, 10.0) == 1
    assert [order.incarnation for order in fleet.orders] == ["i1", "i2"]


def test_exhausted_weight_store_budget_delays_loads() -> None:
    fleet = Fleet(8, delay_s=0.0, bytes_per_s=0.0)
    assert fleet.run(10, 10000.0) == 8
    fleet.reports = {
        name: dataclasses.replace(report, incarnation="i2", held=())
        for name, report in fleet.reports.items()
    }
    assert fleet.run(10, 10000.0) == 0
