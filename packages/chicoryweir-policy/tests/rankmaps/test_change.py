"""Tests of map changes with late and lost orders and competing lease holders."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest
import rankgroup

from chicoryweir_policy.charts import interpreter
from chicoryweir_policy.rankmaps import change
from chicoryweir_policy.rankmaps import changeplan
from chicoryweir_policy.rankmaps import orders
from chicoryweir_policy.rankmaps import rankholds
from chicoryweir_policy.rankmaps import settlement

RANKS = 4
STEP_S = rankgroup.STEP_S
TICK_S = rankgroup.TICK_S
Holder = rankgroup.Holder


def _simulate(delays_s=(), silent=None, lag_s=0.0, **group):
    return rankgroup.Simulation(
        delays_s, rankgroup.Group(RANKS, **group), silent, lag_s
    )


def _plan(holder, version):
    return changeplan.ChangePlan(
        version=version,
        experts=((),),
        current=((),),
        ranks=RANKS,
        epoch=1,
        copy_s=0.1,
        step_s=STEP_S,
        orders_lost=False,
        holding_rank=holder.fence,
        released=holder.released,
    )


def _create_change(simulation, holder, version):
    return change.create_change(_plan(holder, version), holder, simulation.now)


def _recover(simulation, holder):
    """Takes the group over, as each new holder does."""
    reports = [simulation.report(rank) for rank in range(RANKS)]
    if settlement.is_settled(reports):
        return
    steps = [report.held for report in reports if report.held is not None]
    steps += [r.armed_step for r in reports if r.armed_step is not None]
    plan = dataclasses.replace(
        _plan(holder, 0), current=None, latest_step=min(steps, default=None)
    )
    recovery = change.create_recovery(plan, holder, simulation.now)
    assert simulation.drive(recovery, 30.0), recovery.state
    holder.released = recovery.released


def test_undisturbed_change_does_not_delay_steps():
    simulation = _simulate()
    simulation.run_until(0.5)
    map_change = _create_change(simulation, Holder(1), 1)
    assert simulation.drive(map_change, 5.0)
    assert map_change.state == "done"
    began_at, step = simulation.now, simulation.group.step
    simulation.run_until(began_at + 1.0)
    assert {rank.version for rank in simulation.group.ranks} == {1}
    assert simulation.group.step - step >= 1.0 / STEP_S - 2


def test_conflict_while_preparing_abandons_the_change_without_a_hold():
    simulation = _simulate()
    simulation.group.ranks[2].versions.add(9)
    map_change = _create_change(simulation, Holder(1), 1)
    assert simulation.drive(map_change, 5.0)
    assert map_change.state == "abandoned"
    assert simulation.group.held_at is None


def test_conflict_while_arming_keeps_all_ranks_on_the_old_map():
    simulation = _simulate()
    map_change = _create_change(simulation, Holder(1), 1)
    while map_change.state != "arming":
        assert not simulation.drive(map_change, TICK_S)
    simulation.group.ranks[3].prepared = None
    assert simulation.drive(map_change, 10.0)
    assert map_change.state == "abandoned"
    simulation.run_until(simulation.now + 1.0)
    assert {rank.version for rank in simulation.group.ranks} == {0}
    assert simulation.group.held_at is None


def test_superseded_holder_stops_at_the_first_fenced_order():
    simulation = _simulate()
    map_change = _create_change(simulation, Holder(1), 1)
    for rank in simulation.group.ranks:
        rank.token = 5000
    assert simulation.drive(map_change, 5.0)
    assert map_change.fenced
    assert map_change.poll_commands(simulation.now) == []


# A lost order to hold makes the change stay in `holding` for more than a tick.
@pytest.mark.parametrize("state", ["copying", "holding", "arming"])
def test_new_epoch_ends_the_change(state):
    lost = (1, orders.Operation.HOLD, 5.0) if state == "holding" else None
    simulation = _simulate(silent=lost)
    map_change = _create_change(simulation, Holder(1), 1)
    while map_change.state != state:
        assert not simulation.drive(map_change, TICK_S)
    simulation.group.epoch = 2
    assert simulation.drive(map_change, 5.0)
    assert map_change.state == "ended"


# Guards against a group that keeps its first map for good because one of its ranks
# crashed in the middle of a change and came back elsewhere.
@pytest.mark.parametrize("gone", [0, 2])
@pytest.mark.parametrize("state", ["releasing", "fencing", "disarming", "withdrawing"])
def test_new_epoch_ends_a_change_whose_rank_is_gone(state, gone):
    simulation = _simulate()
    holder = Holder(RANKS)
    map_change = change.MapChange(_plan(holder, 1), holder, simulation.now, state)
    simulation.gone = {gone}
    simulation.drive(map_change, 3.0)
    simulation.group.epoch = 2
    assert simulation.drive(map_change, 1.0)
    assert map_change.state in ("ended", "done", "abandoned")


def test_change_whose_rank_is_gone_goes_on_while_the_epoch_is_the_same():
    simulation = _simulate()
    holder = Holder(RANKS)
    map_change = change.create_recovery(_plan(holder, 1), holder, simulation.now)
    simulation.gone = {2}
    assert not simulation.drive(map_change, 5.0)
    assert map_change.state == "disarming"
    simulation.gone = set()
    assert simulation.drive(map_change, 1.0)
    assert map_change.state == "abandoned"


# Guards against a hold that a late order to go on, for an earlier hold of the same
# holder at the same step, releases before all ranks are armed.
def test_no_step_is_held_twice_at_one_rank():
    simulation = _simulate(idle=True)
    holder = Holder(1)
    holder.released = frozenset(
        rankholds.Hold(holder.fence, step) for step in range(1, 40)
    )
    assert simulation.drive(_create_change(simulation, holder, 1), 5.0)
    held = [
        order.step
        for rank, order in simulation.group.received
        if order.operation is orders.Operation.HOLD
    ]
    assert held == [40]


DELAYS_S = strategies.lists(
    strategies.one_of(
        strategies.just(0.0),
        strategies.just(0.0),
        strategies.floats(0.05, 12.0),
        strategies.floats(-12.0, -0.05),
    ),
    max_size=80,
)
# Whether ranks check fencing tokens, count orders, and compare states before numbers.
GROUPS = strategies.fixed_dictionaries(
    {
        "checks_fences": strategies.booleans(),
        "counts_orders": strategies.booleans(),
        "compares_first": strategies.booleans(),
    }
)
# A holder that goes on beside another is kept apart by tokens only.
COMPARISONS = strategies.fixed_dictionaries(
    {"counts_orders": strategies.booleans(), "compares_first": strategies.booleans()}
)
LAGS_S = strategies.sampled_from([0.0, 0.0, 0.25])


# A rank that does not answer orders of one operation and executes them late.
SILENT_RANKS = strategies.one_of(
    strategies.none(),
    strategies.tuples(
        strategies.integers(0, RANKS - 1),
        strategies.sampled_from(
            [orders.Operation.PREPARE, orders.Operation.ARM, orders.Operation.HOLD]
        ),
        strategies.floats(0.3, 12.0),
    ),
)


@hypothesis.settings(max_examples=150)
@hypothesis.given(DELAYS_S, strategies.booleans(), SILENT_RANKS, GROUPS, LAGS_S)
def test_lost_and_late_orders_never_leave_the_group_diverged_or_held(
    delays_s, idle, silent, group, lag_s
):
    simulation = _simulate(delays_s, silent, lag_s, idle=idle, **group)
    simulation.run_until(0.3)
    map_change = _create_change(simulation, Holder(1), 1)
    simulation.drive(map_change, 40.0)
    assert map_change.is_over
    simulation.group.idle = False
    simulation.group.next_at = simulation.now
    simulation.run_until(simulation.now + 14.0)
    _recover(simulation, Holder(2))
    step = simulation.group.step
    simulation.run_until(simulation.now + 1.0)
    assert not simulation.group.diverged
    assert simulation.group.held_at is None
    assert simulation.group.step > step


@hypothesis.settings(max_examples=150)
@hypothesis.given(
    DELAYS_S,
    strategies.integers(0, 40),
    strategies.integers(0, 40),
    SILENT_RANKS,
    strategies.booleans(),
    GROUPS,
    LAGS_S,
)
def test_death_of_holders_after_any_order_never_diverges_the_group(
    delays_s, first, second, silent, idle, group, lag_s
):
    simulation = _simulate(delays_s, silent, lag_s, idle=idle, **group)
    simulation.run_until(0.3)
    map_change = _create_change(simulation, Holder(1), 1)
    simulation.drive(map_change, 20.0, stop_after=first)
    simulation.run_until(simulation.now + 3.0)
    holder = Holder(2)
    _recover(simulation, holder)
    other = _create_change(simulation, holder, 2500)
    simulation.drive(other, 20.0, stop_after=second)
    simulation.group.idle = False
    simulation.group.next_at = simulation.now
    simulation.run_until(simulation.now + 14.0)
    _recover(simulation, Holder(3))
    step = simulation.group.step
    simulation.run_until(simulation.now + 1.0)
    assert not simulation.group.diverged
    assert simulation.group.held_at is None
    assert simulation.group.step > step


@hypothesis.settings(max_examples=150)
@hypothesis.given(DELAYS_S, strategies.integers(0, 40), SILENT_RANKS, COMPARISONS)
def test_paused_holder_resuming_beside_a_new_one_never_diverges_the_group(
    delays_s, paused_after, silent, group
):
    simulation = _simulate(delays_s, silent, **group)
    simulation.run_until(0.3)
    old = _create_change(simulation, Holder(1), 1)
    simulation.drive(old, 20.0, stop_after=paused_after)
    simulation.run_until(simulation.now + 3.0)
    holder = Holder(2)
    _recover(simulation, holder)
    new = _create_change(simulation, holder, 2500)
    for _ in range(400):
        for map_change in (old, new):
            simulation.drive(map_change, TICK_S)
        if new.is_over:
            break
    simulation.run_until(simulation.now + 14.0)
    _recover(simulation, Holder(3))
    step = simulation.group.step
    simulation.run_until(simulation.now + 1.0)
    assert not simulation.group.diverged
    assert simulation.group.step > step


def test_every_state_of_the_chart_is_reachable():
    chart = change.CHART
    reached = {chart.initial, "fencing"}
    for _ in chart.states:
        for state in list(reached):
            for event in ("accepted", "copied", "confirmed", "fail", "void"):
                found = interpreter.advance(chart, state, event)
                if isinstance(found, interpreter.Advanced):
                    reached.add(found.state)
    assert reached == set(chart.states)
    assert chart.final == {"done", "abandoned", "ended"}


@pytest.mark.parametrize("state", ["releasing", "fencing", "disarming", "withdrawing"])
def test_release_and_rollback_are_retried_until_done(state):
    simulation = _simulate([1.0] * 30)
    simulation.group.ranks[0].held = simulation.group.step + 5
    holder = Holder(RANKS)
    map_change = change.MapChange(_plan(holder, 1), holder, simulation.now, state)
    assert simulation.drive(map_change, 30.0)
    assert map_change.state in ("done", "abandoned")
    simulation.run_until(simulation.now + 2.0)
    assert simulation.group.held_at is None
