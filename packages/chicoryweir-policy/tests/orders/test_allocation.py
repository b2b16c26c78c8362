"""Tests of artifact allocation, of demand and of fencing at the agent."""

import dataclasses

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.orders import allocation
from chicoryweir_policy.orders import artifacts
from chicoryweir_policy.orders import demand
from chicoryweir_policy.orders import fencing

SETTINGS = allocation.AllocationSettings()
DEMAND_SETTINGS = demand.DemandSettings()
DESK = artifacts.Artifact("model", "desk@1")
LETTER = artifacts.Artifact("model", "letter@1")


def create_fleet(*held: artifacts.Artifact | None) -> list[artifacts.Endpoint]:
    """Returns endpoints in two data centres, each with at most one artifact."""
    return [
        artifacts.Endpoint(
            f"agent-{number}",
            "i1",
            f"place-{number % 2}",
            True,
            () if artifact is None else (artifacts.HeldArtifact(artifact, 0.0),),
        )
        for number, artifact in enumerate(held)
    ]


def execute_orders(
    fleet: list[artifacts.Endpoint], orders: tuple[artifacts.Order, ...], now: float
) -> list[artifacts.Endpoint]:
    """Returns the fleet after its endpoints have executed the orders."""
    for order in orders:
        for number, endpoint in enumerate(fleet):
            if endpoint.instance == order.instance:
                remaining = tuple(
                    held for held in endpoint.held if held.artifact != order.artifact
                )
                if order.action is artifacts.Action.LOAD:
                    remaining = (
                        *remaining,
                        artifacts.HeldArtifact(order.artifact, now),
                    )
                fleet[number] = dataclasses.replace(endpoint, held=remaining)
    return fleet


def plan(
    fleet: list[artifacts.Endpoint],
    needs: dict[artifacts.Artifact, int],
    now: float = 1000.0,
    allowed: int = 9,
) -> tuple[artifacts.Order, ...]:
    return allocation.plan_orders(fleet, needs, SETTINGS, allowed, 7, 0, now)


def test_doubled_demand_loads_further_endpoints() -> None:
    need = demand.update_need(demand.Need(2), 150.0, 100.0, DEMAND_SETTINGS, 0.0)
    need = demand.update_need(need, 300.0, 100.0, DEMAND_SETTINGS, 1.0)
    assert need.count == 4
    orders = plan(create_fleet(DESK, DESK, None, None, None), {DESK: need.count})
    assert [order.action for order in orders] == [artifacts.Action.LOAD] * 2
    assert len({order.instance for order in orders}) == 2


def test_lost_endpoint_is_replaced_in_data_centre_with_fewer_replicas() -> None:
    fleet = create_fleet(DESK, DESK, None, None)
    fleet[1] = dataclasses.replace(fleet[1], serving=False)
    (order,) = plan(fleet, {DESK: 2})
    assert (order.instance, order.fence) == ("agent-3", 7)


def test_surplus_artifact_is_unloaded_to_free_a_slot() -> None:
    fleet = create_fleet(DESK, DESK, DESK)
    needs = {DESK: 2, LETTER: 1}
    (order,) = plan(fleet, needs)
    assert (order.action, order.artifact) == (artifacts.Action.UNLOAD, DESK)
    execute_orders(fleet, (order,), 1000.0)
    (order,) = plan(fleet, needs)
    assert (order.action, order.artifact) == (artifacts.Action.LOAD, LETTER)


def test_artifact_is_not_unloaded_before_its_minimum_stay() -> None:
    assert plan(create_fleet(DESK, DESK), {DESK: 1, LETTER: 1}, now=299.0) == ()


def test_weight_store_bandwidth_limits_loads() -> None:
    assert len(plan(create_fleet(*[None] * 8), {DESK: 8}, allowed=3)) == 3


def test_role_is_replaced_in_one_order() -> None:
    prefill = artifacts.Artifact("role", "prefill")
    decode = artifacts.Artifact("role", "decode")
    (order,) = plan(create_fleet(prefill, prefill), {prefill: 1, decode: 1})
    assert (order.action, order.artifact) == (artifacts.Action.LOAD, decode)


@hypothesis.given(
    strategies.lists(strategies.sampled_from((None, DESK, LETTER)), min_size=4),
    strategies.integers(1, 2),
    strategies.integers(1, 2),
)
def test_plans_converge_with_needs_met(
    held: list[artifacts.Artifact | None], desk: int, letter: int
) -> None:
    fleet, needs = create_fleet(*held), {DESK: desk, LETTER: letter}
    for number in range(8):
        now = 1000.0 + 400.0 * number
        orders = plan(fleet, needs, now)
        fleet = execute_orders(fleet, orders, now)
    assert orders == ()
    for artifact, need in needs.items():
        count = sum(h.artifact == artifact for e in fleet for h in e.held)
        assert count >= need


@hypothesis.given(strategies.lists(strategies.floats(140.0, 224.0), max_size=60))
def test_need_does_not_flap_with_oscillating_demand(rates: list[float]) -> None:
    need = demand.Need(3)
    for number, rate in enumerate(rates):
        need = demand.update_need(need, rate, 100.0, DEMAND_SETTINGS, number * 60.0)
        assert need.count == 3


def test_need_decreases_by_one_after_demand_stayed_low() -> None:
    need = demand.update_need(demand.Need(4), 10.0, 100.0, DEMAND_SETTINGS, 0.0)
    need = demand.update_need(need, 10.0, 100.0, DEMAND_SETTINGS, 599.0)
    assert need.count == 4
    need = demand.update_need(need, 10.0, 100.0, DEMAND_SETTINGS, 600.0)
    assert need.count == 3


def test_each_order_is_forwarded_once_and_stale_orders_are_rejected() -> None:
    order = artifacts.Order(5, 2, "agent-0", "i1", artifacts.Action.LOAD, DESK)
    accepted = fencing.check_order(fencing.FenceState("i1"), order)
    assert isinstance(accepted, fencing.Accepted)
    state = accepted.state
    assert fencing.check_order(state, order) == fencing.Duplicate()
    older = dataclasses.replace(order, fence=4, sequence=9)
    assert fencing.check_order(state, older) == fencing.Stale(5, "i1")
    newer = dataclasses.replace(order, fence=6, sequence=1)
    assert isinstance(fencing.check_order(state, newer), fencing.Accepted)
    restarted = fencing.record_restart(fencing.record_fence(state, 6), "i2")
    assert fencing.check_order(restarted, newer) == fencing.Stale(6, "i2")
