"""Changes of a group's map under late, lost and doubled orders and other holders."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy.charts import interpreter
from chicoryweir_policy.rankmaps import change
from chicoryweir_policy.rankmaps import orders

RANKS = 4
PASS_S = 0.05
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
    """A group of ranks as the platform's pages describe it."""

    def __init__(self, idle=False):
        self.ranks = [Rank() for _ in range(RANKS)]
        self.epoch = 1
        self.step = 0
        self.next_at = 0.0
        self.idle = idle
        self.diverged = False

    def run(self, now):
        while not self.idle and self.next_at <= now:
            wanted = self.step + 1
            if any(
                rank.held is not None and rank.held <= wanted for rank in self.ranks
            ):
                self.next_at = now + PASS_S / 5
                return
            self.step = wanted
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] <= wanted:
                    rank.version, rank.armed = rank.armed[0], None
            self.diverged |= len({rank.version for rank in self.ranks}) > 1
            self.next_at += PASS_S

    def take(self, number, order):
        rank = self.ranks[number]
        if order.token < rank.token:
            return orders.Result.FENCED
        if order.epoch != self.epoch:
            return orders.Result.CONFLICT
        rank.token = order.token
        return self._carry_out(rank, order)

    def _carry_out(self, rank, order):
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


class World:
    """Carries orders between holders and a group; an order may be late or lost."""

    def __init__(self, fates, idle=False, silent=None):
        self.group = Group(idle)
        self._silent = silent
        self.now = 0.0
        self._fates = iter(fates)
        self._late = []

    def run_until(self, when):
        while self.now < when:
            self.now += TICK_S
            self.group.run(self.now)
            due = [late for late in self._late if late[0] <= self.now]
            self._late = [late for late in self._late if late[0] > self.now]
            for _, rank, order in due:
                self.group.take(rank, order)

    def drive(self, one, limit_s, stop_after=None):
        """Runs one change; `stop_after` commands its holder is paused or killed."""
        ends_at = self.now + limit_s
        done = 0
        while not one.is_over and self.now < ends_at:
            for command in one.poll_commands(self.now):
                if stop_after is not None and done >= stop_after:
                    return False
                done += 1
                self._execute(one, command)
            self.run_until(self.now + TICK_S)
        return one.is_over

    def _execute(self, one, command):
        match command:
            case orders.RequestReport(rank):
                one.handle_report(rank, self.group.report(rank), self.now)
            case orders.SendOrder(rank, order):
                fate = next(self._fates, 0.0)
                if self._silent and self._silent[:2] == (rank, order.operation):
                    fate = self._silent[2]
                if fate:
                    self._late.append((self.now + fate, rank, order))
                    one.handle_result(rank, order, orders.Result.LOST, self.now)
                    return
                result = self.group.take(rank, order)
                one.handle_result(rank, order, result, self.now)


def _plan(world, version):
    return change.ChangePlan(
        version=version,
        experts=(),
        ranks=RANKS,
        epoch=1,
        copy_s=0.1,
        step_s=PASS_S,
        step=world.group.step,
        step_observed_at=world.now,
        orders_lost=False,
    )


def _recover(world, fence):
    """Does what a new holder does first: takes back what was left."""
    tokens = Tokens(fence)
    armed = [world.group.report(rank).armed for rank in range(RANKS)]
    version = next((one for one in armed if one is not None), 0)
    held = world.group.held_at
    if held is None and not version:
        return tokens
    step = held if held is not None else world.group.step + 1
    plan = dataclasses.replace(_plan(world, version), step=step)
    assert world.drive(change.create_recovery(plan, tokens, world.now), 30.0)
    return tokens


def test_change_without_trouble_holds_nobody_up():
    world = World([])
    world.run_until(0.5)
    one = change.create_change(_plan(world, 1), Tokens(1), world.now)
    assert world.drive(one, 5.0)
    assert one.state == "done"
    began, step = world.now, world.group.step
    world.run_until(began + 1.0)
    assert {rank.version for rank in world.group.ranks} == {1}
    assert world.group.step - step >= 1.0 / PASS_S - 2


def test_rank_that_refuses_to_prepare_ends_the_change_without_a_hold():
    world = World([])
    world.group.ranks[2].versions.add(9)
    one = change.create_change(_plan(world, 1), Tokens(1), world.now)
    assert world.drive(one, 5.0)
    assert one.state == "abandoned"
    assert world.group.held_at is None


def test_rank_that_can_not_be_armed_leaves_all_on_the_old_map():
    world = World([])
    one = change.create_change(_plan(world, 1), Tokens(1), world.now)
    while one.state != "arming":
        assert not world.drive(one, TICK_S)
    world.group.ranks[3].prepared = None
    assert world.drive(one, 10.0)
    assert one.state == "abandoned"
    world.run_until(world.now + 1.0)
    assert {rank.version for rank in world.group.ranks} == {0}
    assert world.group.held_at is None


def test_holder_that_was_followed_stops_at_the_first_refusal():
    world = World([])
    one = change.create_change(_plan(world, 1), Tokens(1), world.now)
    for rank in world.group.ranks:
        rank.token = 5000
    assert world.drive(one, 5.0)
    assert one.fenced
    assert one.poll_commands(world.now) == []


def test_group_that_broke_ends_the_change():
    world = World([])
    one = change.create_change(_plan(world, 1), Tokens(1), world.now)
    while one.state != "holding":
        world.drive(one, TICK_S)
    world.group.epoch = 2
    assert world.drive(one, 5.0)
    assert one.state == "ended"


FATES = strategies.lists(
    strategies.one_of(
        strategies.just(0.0), strategies.just(0.0), strategies.floats(0.05, 12.0)
    ),
    max_size=80,
)


# A rank that answers no order of one kind, and carries them out late.
SILENT = strategies.one_of(
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
@hypothesis.given(FATES, strategies.booleans(), SILENT)
def test_lost_and_late_orders_never_split_the_group_nor_hold_it(fates, idle, silent):
    world = World(fates, idle, silent)
    world.run_until(0.3)
    one = change.create_change(_plan(world, 1), Tokens(1), world.now)
    world.drive(one, 40.0)
    assert one.is_over
    world.group.idle = False
    world.group.next_at = world.now
    world.run_until(world.now + 14.0)
    _recover(world, 2)
    step = world.group.step
    world.run_until(world.now + 1.0)
    assert not world.group.diverged
    assert world.group.held_at is None
    assert world.group.step > step


@hypothesis.settings(max_examples=150)
@hypothesis.given(FATES, strategies.integers(0, 24), strategies.integers(0, 24), SILENT)
def test_holders_that_die_at_any_order_never_split_the_group(
    fates, first, second, silent
):
    world = World(fates, silent=silent)
    world.run_until(0.3)
    one = change.create_change(_plan(world, 1), Tokens(1), world.now)
    world.drive(one, 20.0, stop_after=first)
    world.run_until(world.now + 3.0)
    tokens = _recover(world, 2)
    other = change.create_change(_plan(world, 2001), tokens, world.now)
    world.drive(other, 20.0, stop_after=second)
    world.run_until(world.now + 14.0)
    _recover(world, 3)
    step = world.group.step
    world.run_until(world.now + 1.0)
    assert not world.group.diverged
    assert world.group.held_at is None
    assert world.group.step > step


@hypothesis.settings(max_examples=150)
@hypothesis.given(FATES, strategies.integers(0, 24), SILENT)
def test_paused_holder_that_wakes_beside_a_new_one_never_splits_the_group(
    fates, paused_after, silent
):
    world = World(fates, silent=silent)
    world.run_until(0.3)
    old = change.create_change(_plan(world, 1), Tokens(1), world.now)
    world.drive(old, 20.0, stop_after=paused_after)
    world.run_until(world.now + 3.0)
    tokens = _recover(world, 2)
    new = change.create_change(_plan(world, 2001), tokens, world.now)
    for _ in range(400):
        for one in (old, new):
            world.drive(one, TICK_S)
        if new.is_over:
            break
    world.run_until(world.now + 14.0)
    _recover(world, 3)
    step = world.group.step
    world.run_until(world.now + 1.0)
    assert not world.group.diverged
    assert world.group.step > step


def test_every_state_of_the_chart_can_end():
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
def test_what_must_be_taken_back_is_tried_until_it_is_done(state):
    world = World([1.0] * 30)
    plan = dataclasses.replace(_plan(world, 1), step=world.group.step + 5)
    world.group.ranks[0].held = plan.step
    one = change.MapChange(plan, Tokens(1), world.now, state)
    assert world.drive(one, 30.0)
    assert one.state in ("done", "abandoned")
    world.run_until(world.now + 2.0)
    assert world.group.held_at is None
