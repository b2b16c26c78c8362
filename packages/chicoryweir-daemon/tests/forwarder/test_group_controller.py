"""Tests of how a new lease holder takes a group over, with the real controller."""

import asyncio

import pytest
import rankgroup

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder.mapcontrol import group_controller
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.rankmaps import orders

RANKS = 4
FENCE = 9
VERSION = (FENCE - 1) * 1000 + 3
STEP = 7
ENGINE = configuration.Engine(
    slots=6,
    memory_tokens=140_000,
    step_s=0.005,
    sequence_s=0.001,
    context_s=0.0,
    read_tokens_per_s=60_000.0,
    steps_per_event=4,
    usual_prompt_tokens=800.0,
    usual_answer_tokens=100.0,
    link_bytes_per_s=22.5e9,
    experts=configuration.ExpertLayout(2, 8, 3, 2, 2.5e9, 0.85),
)


class Clock:
    """Advances by one tick at each read, so that no time limit needs real time."""

    def __init__(self):
        self.now = 0.0

    def read(self):
        self.now += rankgroup.TICK_S
        return self.now


class Client:
    """Calls the ranks of a simulated group.

    Args:
        group: The group.
        starts_after: Number of orders after which a request starts the idle group.
        late: Orders of an earlier holder that the ranks execute before that, by rank.
    """

    def __init__(self, group, starts_after, late=()):
        self._group = group
        self._starts_after = starts_after
        self._late = late
        self.orders = []

    async def read_report(self, endpoint):
        return self._group.report(endpoint.member.rank)

    async def read_digest(self, endpoint, after):
        return None

    async def read_experts(self, endpoint):
        return None

    async def send_order(self, endpoint, order):
        rank = endpoint.member.rank
        result = self._group.receive(rank, order)
        self.orders.append((rank, order.operation))
        if len(self.orders) >= self._starts_after:
            for late_rank, late_order in self._late:
                self._group.receive(late_rank, late_order)
            self._group.idle = False
            self._group.next_at = 0.0
            self._group.run(rankgroup.STEP_S * 20)
            self._group.idle = True
        return result


def _create_group(armed, held=None, checks_fences=True, counts_orders=True):
    """Returns an idle group, some of whose ranks are armed."""
    group = rankgroup.Group(
        RANKS, idle=True, checks_fences=checks_fences, counts_orders=counts_orders
    )
    group.step = STEP - 4
    for rank in group.ranks:
        rank.prepared = VERSION
        rank.versions.add(VERSION)
        rank.sequence = 3
    for number in armed:
        group.ranks[number].armed = VERSION, STEP
    if held is not None:
        group.ranks[held].held = STEP
    return group


def _create_controller(settings, client):
    return group_controller.GroupController(
        "g",
        fleets.Fleet(settings, Clock()),
        rankgroup.Holder(FENCE),
        client,
        eventlog.EventLog("front-1"),
    )


def _create_members():
    return {
        rank: endpoints.Endpoint(
            instance=f"i-{rank}",
            service="model",
            host="10.0.0.1",
            port=80 + rank,
            data_centre="dc",
            slots=6,
            leaving=False,
            cold_s=0.0,
            born_ms=1,
            member=endpoints.GroupMember("g", 1, rank, RANKS, True),
        )
        for rank in range(RANKS)
    }


async def _take_over(
    settings,
    group,
    starts_after=10**6,
    before_update=None,
    late=(),
    controllers=None,
):
    """Lets a new holder control the group; returns the orders that it sent."""
    client = Client(group, starts_after, late)
    controller = _create_controller(settings, client)
    members = _create_members()
    if controllers is not None:
        controllers.append((controller, members))
    for updates in range(8):
        if before_update is not None:
            before_update(updates)
        await controller.update(members, ENGINE, ENGINE.experts)
    group.idle = False
    group.next_at = 0.0
    group.run(rankgroup.STEP_S * 20)
    return client.orders


# Guards against a new holder that disarms some ranks of a complete change while others
# switch: it sent its orders without a hold, and a request started the step meanwhile.
@pytest.mark.parametrize("starts_after", range(1, RANKS + 2))
@pytest.mark.parametrize("checks_fences", [True, False])
async def test_new_holder_leaves_a_complete_change_alone(
    settings, starts_after, checks_fences
):
    group = _create_group(range(RANKS), checks_fences=checks_fences)
    sent = await _take_over(settings, group, starts_after)
    assert not group.diverged
    assert {rank.version for rank in group.ranks} == {VERSION}
    assert not sent


# Guards against the same where some ranks have switched when the others are asked.
async def test_new_holder_leaves_a_change_alone_that_takes_effect(settings):
    group = _create_group(range(RANKS))
    for rank in group.ranks[:2]:
        rank.version, rank.armed = VERSION, None
    assert not await _take_over(settings, group)


# Guards against a rollback without a hold: the group runs on while it is rolled back.
@pytest.mark.parametrize("starts_after", range(1, 12))
@pytest.mark.parametrize("armed", [[0], [2], [0, 1, 2], [1, 2, 3]])
async def test_unfinished_change_without_a_hold_is_held_before_it_is_rolled_back(
    settings, armed, starts_after
):
    group = _create_group(armed, checks_fences=False)
    sent = await _take_over(settings, group, starts_after)
    assert sent[0] == (FENCE % RANKS, orders.Operation.HOLD)
    assert not group.diverged
    assert {rank.version for rank in group.ranks} == {0}
    assert group.held_at is None


# Guards against a group that stays held: its ranks are armed for another version than
# the reports that were read first showed, or by an order that was late.
@pytest.mark.parametrize("held", range(RANKS))
@pytest.mark.parametrize("armed", [[], [1], [0, 1, 2, 3]])
async def test_held_group_is_released(settings, held, armed):
    group = _create_group(armed, held)
    await _take_over(settings, group)
    assert not group.diverged
    assert group.held_at is None
    assert group.step >= STEP


def _create_late_orders(group, operations, steps):
    """Returns orders of the holder before, to all ranks."""
    return [
        (
            rank,
            orders.Order(
                operation, 5, 1, VERSION, step, (), group.ranks[rank].sequence
            ),
        )
        for rank in range(RANKS)
        for operation in operations
        for step in steps
    ]


# Guards against orders to arm of the holder before that take effect after the rollback,
# also at ranks that compare neither fencing tokens nor numbers of orders.
@pytest.mark.parametrize("checks_fences", [True, False])
@pytest.mark.parametrize("counts_orders", [True, False])
async def test_orders_to_arm_have_no_effect_after_a_rollback(
    settings, checks_fences, counts_orders
):
    group = _create_group([1], 0, checks_fences, counts_orders)
    late = _create_late_orders(group, [orders.Operation.ARM], [STEP + 20])
    await _take_over(settings, group)
    for rank, order in late:
        result = group.receive(rank, order)
        assert result in (orders.Result.CONFLICT, orders.Result.FENCED)


# Guards against a rollback whose hold is released by a late order of the holder before:
# each holder holds the group at another rank.
@pytest.mark.parametrize("starts_after", range(1, 16))
@pytest.mark.parametrize("held", [None, (FENCE - 1) % RANKS])
async def test_late_release_of_the_holder_before_does_not_end_the_hold(
    settings, starts_after, held
):
    group = _create_group([0, 2], held, checks_fences=False, counts_orders=False)
    earlier_rank = (FENCE - 1) % RANKS
    late = [
        (rank, order)
        for rank, order in _create_late_orders(
            group, [orders.Operation.GO], range(group.step + 1, STEP + 1)
        )
        if rank == earlier_rank
    ]
    await _take_over(settings, group, starts_after, late=late)
    assert not group.diverged
    assert group.held_at is None


# Guards against a group that a late order stops for good at a rank but the first.
async def test_late_hold_of_any_rank_is_found_and_released(settings):
    group = _create_group([])

    def hold(updates):
        if updates == 3:
            group.ranks[RANKS - 1].held = group.step + 5

    await _take_over(settings, group, before_update=hold)
    assert group.held_at is None


# Guards against a group that is held for good because its ranks refuse a version.
async def test_ranks_that_refuse_every_version_are_released(settings):
    group = _create_group([0, 1], held=0)
    for rank in group.ranks:
        rank.versions.add(10**9)
    await _take_over(settings, group)
    assert not group.diverged
    assert group.held_at is None


# Guards against a set that grows with each change of a group that runs for days.
async def test_holds_at_steps_that_have_begun_are_forgotten(settings):
    group = _create_group([0, 1], held=0)
    controllers = []
    await _take_over(settings, group, controllers=controllers)
    controller, members = controllers[0]
    assert controller._released
    await controller.update(members, ENGINE, ENGINE.experts)
    assert not controller._released


class CancellingClient(Client):
    """Cancels the task that runs the controller some iterations after an order.

    Args:
        group: The group.
        iterations: Number of iterations of the event loop.
    """

    def __init__(self, group, iterations):
        super().__init__(group, 10**6)
        self._iterations = iterations
        self.task = None

    async def send_order(self, endpoint, order):
        result = await super().send_order(endpoint, order)
        if len(self.orders) == 1:
            self._cancel_after(self._iterations)
        return result

    def _cancel_after(self, iterations):
        if iterations == 0:
            self.task.cancel()
        else:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._cancel_after, iterations - 1)


# Guards against a stop that doesn't end: `asyncio.wait_for` lost a cancellation.
@pytest.mark.parametrize("iterations", range(8))
async def test_cancellation_as_an_order_ends_is_not_lost(settings, iterations):
    client = CancellingClient(_create_group([1], 0), iterations)
    controller = _create_controller(settings, client)
    client.task = asyncio.create_task(
        controller.update(_create_members(), ENGINE, ENGINE.experts)
    )
    with pytest.raises(asyncio.CancelledError):
        await client.task
