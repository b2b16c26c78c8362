"""Tests of the fair queue and the first-come queue."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from chicoryweir_policy import requests
from chicoryweir_policy.admission import fair_queue
from chicoryweir_policy.admission import first_come
from chicoryweir_policy.admission import queued

URGENT = requests.PriorityClass.URGENT
STANDARD = requests.PriorityClass.STANDARD
BULK = requests.PriorityClass.BULK
FLOORS = {URGENT: 0.5, STANDARD: 0.3, BULK: 0.1}


def make_request(attempt_id, workspace="relay", priority=STANDARD, **changes):
    values = {
        "weight": 1.0,
        "cost_tokens": 100.0,
        "deadline_at": 1000.0,
        "arrived_at": 0.0,
        "floor_share": FLOORS[priority],
    } | changes
    return queued.QueuedRequest(attempt_id, workspace, priority, **values)


def serve_tokens(queue, count, key):
    served = {}
    for _ in range(count):
        request = queue.pop(0.0)
        served[key(request)] = served.get(key(request), 0.0) + request.cost_tokens
    return served


def push_many(queue, count, name, **changes):
    for index in range(count):
        queue.push(make_request(f"{name}-{index}", **changes), 0.0)


def test_urgent_request_is_served_before_earlier_bulk_request() -> None:
    queue = fair_queue.create_fair_queue(10, 1000.0)
    queue.push(make_request("b", priority=BULK), 0.0)
    queue.push(make_request("u", priority=URGENT), 0.0)
    assert queue.pop(0.0).attempt_id == "u"


@pytest.mark.parametrize("bulk_cost", [10.0, 100.0, 2000.0])
def test_classes_get_their_floor_share_during_an_urgent_flood(bulk_cost) -> None:
    queue = fair_queue.create_fair_queue(100_000, 1000.0)
    push_many(queue, 20_000, "u", priority=URGENT)
    push_many(queue, 20_000, "s", priority=STANDARD, cost_tokens=50.0)
    push_many(queue, 20_000, "b", priority=BULK, cost_tokens=bulk_cost)
    served = serve_tokens(queue, 10_000, lambda request: request.priority)
    total = sum(served.values())
    assert served[BULK] / total == pytest.approx(0.1, rel=0.05)
    assert served[STANDARD] / total == pytest.approx(0.3, rel=0.05)


def test_unused_floors_go_to_the_backlogged_class() -> None:
    queue = fair_queue.create_fair_queue(1000, 1000.0)
    push_many(queue, 500, "b", priority=BULK)
    assert serve_tokens(queue, 500, lambda request: request.priority) == {
        BULK: 50_000.0
    }


def test_idle_class_earns_no_credit() -> None:
    queue = fair_queue.create_fair_queue(10_000, 1000.0)
    push_many(queue, 2000, "u", priority=URGENT)
    serve_tokens(queue, 1000, lambda request: request.priority)
    push_many(queue, 500, "b", priority=BULK)
    served = serve_tokens(queue, 100, lambda request: request.priority)
    assert served[BULK] <= 0.1 * 100 * 100.0 + 100.0


def test_workspaces_share_by_weight_regardless_of_request_size() -> None:
    queue = fair_queue.create_fair_queue(100_000, 1000.0)
    push_many(queue, 20_000, "l", workspace="clerks", cost_tokens=400.0)
    push_many(queue, 20_000, "s", workspace="relay", cost_tokens=20.0, weight=2.0)
    served = serve_tokens(queue, 10_000, lambda request: request.workspace)
    assert served["relay"] / served["clerks"] == pytest.approx(2.0, rel=0.05)


def test_new_workspace_shares_equally_with_a_flooding_one() -> None:
    queue = fair_queue.create_fair_queue(10_000, 1000.0)
    push_many(queue, 2000, "l", workspace="clerks")
    serve_tokens(queue, 1000, lambda request: request.workspace)
    push_many(queue, 500, "s", workspace="relay")
    served = serve_tokens(queue, 100, lambda request: request.workspace)
    assert served["relay"] == pytest.approx(served["clerks"], abs=100.0)


def test_tokens_above_the_estimate_are_charged_to_the_workspace() -> None:
    queue = fair_queue.create_fair_queue(1000, 1000.0)
    push_many(queue, 100, "l", workspace="clerks")
    push_many(queue, 100, "s", workspace="relay")
    queue.correct_cost("clerks", STANDARD, 2000.0, 0.0)
    served = serve_tokens(queue, 20, lambda request: request.workspace)
    assert served == {"relay": 2000.0}


def test_full_queue_evicts_from_the_largest_workspace() -> None:
    queue = fair_queue.create_fair_queue(20, 1000.0)
    push_many(queue, 20, "l", workspace="clerks")
    outcome = queue.push(make_request("s", workspace="relay"), 0.0)
    assert isinstance(outcome, queued.Accepted)
    assert [eviction.request.workspace for eviction in outcome.evicted] == ["clerks"]
    rejected = queue.push(make_request("l-20", workspace="clerks"), 0.0)
    assert isinstance(rejected, queued.Rejected)
    assert rejected.retry_after_ms > 0


def test_bulk_within_its_floor_is_not_evicted_by_an_urgent_flood() -> None:
    queue = fair_queue.create_fair_queue(100, 1000.0)
    push_many(queue, 10, "b", priority=BULK)
    push_many(queue, 500, "u", priority=URGENT)
    depths = {backlog.priority: backlog.depth for backlog in queue.measure_backlog(0.0)}
    assert depths == {URGENT: 90, STANDARD: 0, BULK: 10}


@pytest.mark.parametrize(
    "create", [fair_queue.create_fair_queue, first_come.create_first_come_queue]
)
def test_expired_requests_are_removed(create) -> None:
    queue = create(10, 1000.0)
    queue.push(make_request("late", deadline_at=5.0, run_s=2.0), 0.0)
    queue.push(make_request("fine", deadline_at=9.0, run_s=2.0), 0.0)
    assert [request.attempt_id for request in queue.expire(3.5)] == ["late"]
    assert queue.pop(3.5).attempt_id == "fine"


def test_predicted_wait_is_short_for_a_workspace_outside_the_flood() -> None:
    queue = fair_queue.create_fair_queue(1000, 1000.0)
    push_many(queue, 500, "l", workspace="clerks")
    assert queue.predict_wait("clerks", STANDARD, 0.0) == pytest.approx(50.0)
    assert queue.predict_wait("relay", STANDARD, 0.0) < 1.0


def test_first_come_queue_serves_in_order_and_rejects_when_full() -> None:
    queue = first_come.create_first_come_queue(1, 1000.0)
    queue.push(make_request("b", priority=BULK), 0.0)
    assert isinstance(
        queue.push(make_request("u", priority=URGENT), 0.0), queued.Rejected
    )
    assert queue.pop(0.0).attempt_id == "b"


class QueueMachine(stateful.RuleBasedStateMachine):
    """Checks that each request is removed once and that the backlog counts match."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = fair_queue.FairQueue(12, 1000.0)
        self.expected = {}
        self.count = 0
        self.now = 0.0

    @stateful.rule(
        workspace=strategies.sampled_from(["a", "b", "c"]),
        priority=strategies.sampled_from(list(requests.PriorityClass)),
        cost=strategies.floats(1.0, 5000.0),
        time_left_s=strategies.floats(0.0, 20.0),
        weight=strategies.sampled_from([0.5, 1.0, 3.0]),
    )
    def push(self, workspace, priority, cost, time_left_s, weight) -> None:
        self.count += 1
        request = make_request(
            str(self.count),
            workspace,
            priority,
            cost_tokens=cost,
            deadline_at=self.now + time_left_s,
            weight=weight,
        )
        outcome = self.queue.push(request, self.now)
        if isinstance(outcome, queued.Accepted):
            self.expected[request.attempt_id] = request
            for eviction in outcome.evicted:
                del self.expected[eviction.request.attempt_id]

    @stateful.rule()
    def pop(self) -> None:
        request = self.queue.pop(self.now)
        assert (request is None) == (not self.expected)
        if request is not None:
            assert self.expected.pop(request.attempt_id) == request

    @stateful.rule(data=strategies.data())
    def remove(self, data) -> None:
        attempt_id = data.draw(strategies.sampled_from([*self.expected, "unknown"]))
        expected = self.expected.pop(attempt_id, None)
        assert self.queue.remove(attempt_id) == expected

    @stateful.rule(step=strategies.floats(0.0, 5.0))
    def expire(self, step) -> None:
        self.now += step
        expired = {request.attempt_id for request in self.queue.expire(self.now)}
        late = {
            key
            for key, queued_request in self.expected.items()
            if queued_request.deadline_at < self.now
        }
        assert expired == late
        for attempt_id in expired:
            del self.expected[attempt_id]

    @stateful.rule(
        workspace=strategies.sampled_from(["a", "b", "c", "d"]),
        priority=strategies.sampled_from(list(requests.PriorityClass)),
        tokens=strategies.floats(-500.0, 500.0),
    )
    def correct(self, workspace, priority, tokens) -> None:
        self.queue.correct_cost(workspace, priority, tokens, self.now)

    @stateful.invariant()
    def backlog_matches_queued_requests(self) -> None:
        assert len(self.queue) == len(self.expected) <= 12
        for backlog in self.queue.measure_backlog(self.now):
            own = [r for r in self.expected.values() if r.priority == backlog.priority]
            assert backlog.depth == len(own)
            total = sum(request.cost_tokens for request in own)
            assert backlog.tokens == pytest.approx(total, abs=1e-6)
            assert (backlog.drain_s > 0.0) == bool(own)


QueueMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=60
)
TestQueueMachine = QueueMachine.TestCase
