"""Tests of map changes with late and lost orders and competing lease holders."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy.charts import interpreter
from chicoryweir_policy.rankmaps import change
from chicoryweir_policy.rankmaps import orders

RANKS = 4
STEP_S = 0.05
TICK_S = 0.01


class Tokens:
    def __init__(self, fence):
        self._token = fence * 1000

    def raise_token(self):
        self._token += 1
        return self._token


@dataclasses.dataclass
class Rank:
    version: int = 0
    versions: set = dataclasses.field(default_factory=lambda: {0})
    prepared: int | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    token: int = 0


class Group:
    """Simulated group of ranks that follows the platform's documentation."""

    def __init__(self, idle=False):
        self.ranks = [Rank() for _ in range(RANKS)]
        self.epoch = 1
        self.step = 0
        self.next_at = 0.0
        self.idle = idle
        self.diverged = False

    def run(self, now):
        while not self.idle and self.next_at <= now:
            next_step = self.step + 1
            if any(
                rank.held is not None and rank.held <= next_step for rank in self.ranks
            ):
                self.next_at = now + STEP_S / 5
                return
            self.step = next_step
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] <= next_step:
                    rank.version, rank.armed = rank.armed[0], None
            self.diverged |= len({rank.version for rank in self.ranks}) > 1
            self.next_at += STEP_S

    def receive(self, number, order):
        rank = self.ranks[number]
        if order.token < rank.token:
            return orders.Result.FENCED
        if order.epoch != self.epoch:
            return orders.Result.CONFLICT
        rank.token = order.token
        return self._execute_order(rank, order)

    def _execute_order(self, rank, order):
        match order.operation:
            case orders.Operation.PREPARE:
                return self._prepare(rank, order)
            case orders.Operation.ARM | orders.Operation.DISARM:
                return self._arm(rank, order)
            case _:
                return self._hold(rank, order)

    def _prepare(self, rank, order):
        if rank.prepared == order.version:
            return orders.Result.ACCEPTED
        if rank.armed or order.version <= max(rank.versions):
            return orders.Result.CONFLICT
        rank.versions.add(order.version)
        rank.prepared = order.version
        return orders.Result.ACCEPTED

    def _arm(self, rank, order):
        if order.operation is orders.Operation.DISARM:
            if rank.version == order.version and order.version:
                return orders.Result.CONFLICT
            rank.armed = None
            return orders.Result.ACCEPTED
        if rank.armed == (order.version, order.step):
            return orders.Result.ACCEPTED
        if rank.prepared != order.version or order.step <= self.step:
            return orders.Result.CONFLICT
        rank.armed = (order.version, order.step)
        return orders.Result.ACCEPTED

    def _hold(self, rank, order):
        if order.operation is orders.Operation.GO:
            if rank.held != order.step:
                return orders.Result.CONFLICT
            rank.held = None
            return orders.Result.ACCEPTED
        if rank.held == order.step:
            return orders.Result.ACCEPTED
        if order.step <= self.step or rank.held is not None:
            return orders.Result.CONFLICT
        rank.held = order.step
        return orders.Result.ACCEPTED

    def report(self, number):
        rank = self.ranks[number]
        armed = rank.armed[0] if rank.armed else None
        return orders.Report(
            self.epoch,
            True,
            self.step,
            rank.version,
            rank.prepared,
            armed,
            rank.held,
            1.0,
            0.0,
        )

    @property
    def held_at(self):
        return next((r.held for r in self.ranks if r.held is not None), None)


class Simulation:
    """Simulates a group and the delivery of orders to it.

    Args:
        delays_s: Delay of each order in turn, in seconds; 0 for further orders. A
            delayed order is reported as lost and executed late.
        idle: Whether the group runs no steps.
        silent: Rank, operation and delay of orders that are always delayed.
    """

    def __init__(self, delays_s, idle=False, silent=None):
        self.group = Group(idle)
        self.gone = set()
        self._silent = silent
        self.now = 0.0
        self._delays_s = iter(delays_s)
        self._delayed_orders = []

    def run_until(self, when):
        while self.now < when:
            self.now += TICK_S
            self.group.run(self.now)
            due = [
                delayed for delayed in self._delayed_orders if delayed[0] <= self.now
            ]
            self._delayed_orders = [
                delayed for delayed in self._delayed_orders if delayed[0] > self.now
            ]
            for _, rank, order in due:
                self.group.receive(rank, order)

    def drive(self, map_change, limit_s, stop_after=None):
        """Runs a change until it is over, the time limit passes or the holder stops.

        Args:
            map_change: The change.
            limit_s: Maximum time, in seconds.
            stop_after: Number of commands after which the holder pauses or dies.

        Returns:
            Whether the change is over.
        """
        ends_at = self.now + limit_s
        done = 0
        while not map_change.is_over and self.now < ends_at:
            for command in map_change.poll_commands(self.now):
                if stop_after is not None and done >= stop_after:
                    return False
                done += 1
                self._execute(map_change, command)
            self.run_until(self.now + TICK_S)
        return map_change.is_over

    def _execute(self, map_change, command):
        match command:
            case orders.RequestReport(rank) if rank in self.gone:
                map_change.handle_report(rank, None, self.now)
            case orders.SendOrder(rank, order) if rank in self.gone:
                map_change.handle_result(rank, order, orders.Result.REFUSED, self.now)
            case orders.RequestReport(rank):
                map_change.handle_report(rank, self.group.report(rank), self.now)
            case orders.SendOrder(rank, order):
                delay_s = next(self._delays_s, 0.0)
                if self._silent and self._silent[:2] == (rank, order.operation):
                    delay_s = self._silent[2]
                if delay_s:
                    self._delayed_orders.append((self.now + delay_s, rank, order))
                    map_change.handle_result(rank, order, orders.Result.LOST, self.now)
                    return
                result = self.group.receive(rank, order)
                map_change.handle_result(rank, order, result, self.now)


def _plan(simulation, version):
    return change.ChangePlan(
        version=version,
        experts=(),
        ranks=RANKS,
        epoch=1,
        copy_s=0.1,
        step_s=STEP_S,
        step=simulation.group.step,
        step_observed_at=simulation.now,
        orders_lost=False,
    )


def _recover(simulation, fence):
    """Rolls back an earlier holder's unfinished change, as each new holder does."""
    tokens = Tokens(fence)
    armed = [simulation.group.report(rank).armed for rank in range(RANKS)]
    version = next(
        (armed_version for armed_version in armed if armed_version is not None), 0
    )
    held = simulation.group.held_at
    if held is None and not version:
        return tokens
    step = held if held is not None else simulation.group.step + 1
    plan = dataclasses.replace(_plan(simulation, version), step=step)
    assert simulation.drive(change.create_recovery(plan, tokens, simulation.now), 30.0)
    return tokens


def test_undisturbed_change_does_not_delay_steps():
    simulation = Simulation([])
    simulation.run_until(0.5)
    map_change = change.create_change(_plan(simulation, 1), Tokens(1), simulation.now)
    assert simulation.drive(map_change, 5.0)
    assert map_change.state == "done"
    began_at, step = simulation.now, simulation.group.step
    simulation.run_until(began_at + 1.0)
    assert {rank.version for rank in simulation.group.ranks} == {1}
    assert simulation.group.step - step >= 1.0 / STEP_S - 2


def test_conflict_while_preparing_abandons_the_change_without_a_hold():
    simulation = Simulation([])
    simulation.group.ranks[2].versions.add(9)
    map_change = change.create_change(_plan(simulation, 1), Tokens(1), simulation.now)
    assert simulation.drive(map_change, 5.0)
    assert map_change.state == "abandoned"
    assert simulation.group.held_at is None


def test_conflict_while_arming_keeps_all_ranks_on_the_old_map():
    simulation = Simulation([])
    map_change = change.create_change(_plan(simulation, 1), Tokens(1), simulation.now)
    while map_change.state != "arming":
        assert not simulation.drive(map_change, TICK_S)
    simulation.group.ranks[3].prepared = None
    assert simulation.drive(map_change, 10.0)
    assert map_change.state == "abandoned"
    simulation.run_until(simulation.now + 1.0)
    assert {rank.version for rank in simulation.group.ranks} == {0}
    assert simulation.group.held_at is None


def test_superseded_holder_stops_at_the_first_fenced_order():
    simulation = Simulation([])
    map_change = change.create_change(_plan(simulation, 1), Tokens(1), simulation.now)
    for rank in simulation.group.ranks:
        rank.token = 5000
    assert simulation.drive(map_change, 5.0)
    assert map_change.fenced
    assert map_change.poll_commands(simulation.now) == []


def test_new_epoch_ends_the_change():
    simulation = Simulation([])
    map_change = change.create_change(_plan(simulation, 1), Tokens(1), simulation.now)
    while map_change.state != "holding":
        simulation.drive(map_change, TICK_S)
    simulation.group.epoch = 2
    assert simulation.drive(map_change, 5.0)
    assert map_change.state == "ended"


# Guards against a group that keeps its first map for good because one of its ranks
# crashed in the middle of a change and came back elsewhere.
@pytest.mark.parametrize("gone", [0, 2])
@pytest.mark.parametrize("state", ["releasing", "fencing", "disarming", "withdrawing"])
def test_new_epoch_ends_a_change_whose_rank_is_gone(state, gone):
    simulation = Simulation([])
    plan = dataclasses.replace(_plan(simulation, 1), step=simulation.group.step + 5)
    map_change = change.MapChange(plan, Tokens(1), simulation.now, state)
    simulation.gone = {gone}
    simulation.drive(map_change, 3.0)
    simulation.group.epoch = 2
    assert simulation.drive(map_change, 1.0)
    assert map_change.state in ("ended", "done", "abandoned")


def test_change_whose_rank_is_gone_goes_on_while_the_epoch_is_the_same():
    simulation = Simulation([])
    map_change = change.create_recovery(_plan(simulation, 1), Tokens(1), simulation.now)
    simulation.gone = {2}
    assert not simulation.drive(map_change, 5.0)
    assert map_change.state == "disarming"
    simulation.gone = set()
    assert simulation.drive(map_change, 1.0)
    assert map_change.state == "abandoned"


DELAYS_S = strategies.lists(
    strategies.one_of(
        strategies.just(0.0), strategies.just(0.0), strategies.floats(0.05, 12.0)
    ),
    max_size=80,
)


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
@hypothesis.given(DELAYS_S, strategies.booleans(), SILENT_RANKS)
def test_lost_and_late_orders_never_leave_the_group_diverged_or_held(
    delays_s, idle, silent
):
    simulation = Simulation(delays_s, idle, silent)
    simulation.run_until(0.3)
    map_change = change.create_change(_plan(simulation, 1), Tokens(1), simulation.now)
    simulation.drive(map_change, 40.0)
    assert map_change.is_over
    simulation.group.idle = False
    simulation.group.next_at = simulation.now
    simulation.run_until(simulation.now + 14.0)
    _recover(simulation, 2)
    step = simulation.group.step
    simulation.run_until(simulation.now + 1.0)
    assert not simulation.group.diverged
    assert simulation.group.held_at is None
    assert simulation.group.step > step


@hypothesis.settings(max_examples=150)
@hypothesis.given(
    DELAYS_S, strategies.integers(0, 24), strategies.integers(0, 24), SILENT_RANKS
)
def test_death_of_holders_after_any_order_never_diverges_the_group(
    delays_s, first, second, silent
):
    simulation = Simulation(delays_s, silent=silent)
    simulation.run_until(0.3)
    map_change = change.create_change(_plan(simulation, 1), Tokens(1), simulation.now)
    simulation.drive(map_change, 20.0, stop_after=first)
    simulation.run_until(simulation.now + 3.0)
    tokens = _recover(simulation, 2)
    other = change.create_change(_plan(simulation, 2001), tokens, simulation.now)
    simulation.drive(other, 20.0, stop_after=second)
    simulation.run_until(simulation.now + 14.0)
    _recover(simulation, 3)
    step = simulation.group.step
    simulation.run_until(simulation.now + 1.0)
    assert not simulation.group.diverged
    assert simulation.group.held_at is None
    assert simulation.group.step > step


@hypothesis.settings(max_examples=150)
@hypothesis.given(DELAYS_S, strategies.integers(0, 24), SILENT_RANKS)
def test_paused_holder_resuming_beside_a_new_one_never_diverges_the_group(
    delays_s, paused_after, silent
):
    simulation = Simulation(delays_s, silent=silent)
    simulation.run_until(0.3)
    old = change.create_change(_plan(simulation, 1), Tokens(1), simulation.now)
    simulation.drive(old, 20.0, stop_after=paused_after)
    simulation.run_until(simulation.now + 3.0)
    tokens = _recover(simulation, 2)
    new = change.create_change(_plan(simulation, 2001), tokens, simulation.now)
    for _ in range(400):
        for map_change in (old, new):
            simulation.drive(map_change, TICK_S)
        if new.is_over:
            break
    simulation.run_until(simulation.now + 14.0)
    _recover(simulation, 3)
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
    simulation = Simulation([1.0] * 30)
    plan = dataclasses.replace(_plan(simulation, 1), step=simulation.group.step + 5)
    simulation.group.ranks[0].held = plan.step
    map_change = change.MapChange(plan, Tokens(1), simulation.now, state)
    assert simulation.drive(map_change, 30.0)
    assert map_change.state in ("done", "abandoned")
    simulation.run_until(simulation.now + 2.0)
    assert simulation.group.held_at is None
