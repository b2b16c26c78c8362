"""Kills a process at each step of a request and checks the reported outcome."""

from __future__ import annotations

import collections.abc

import pytest

from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.cores import events
from chicoryweir_standins.simulation import planned_stops
from chicoryweir_standins.simulation import simulator

ENTRY = "entry-1"
OTHER_ENTRY = "entry-2"
BODY = b"pay"
DEADLINE_IN_S = 60.0

Condition = collections.abc.Callable[["Scenario"], bool]


class Scenario:
    """A simulation with one request, and one or two agents that can run it."""

    def __init__(self, idempotency: requests.Idempotency, agents: int = 1) -> None:
        names = ("agent-1", "agent-2")[:agents]
        self.simulation = simulator.Simulation((ENTRY, OTHER_ENTRY), names)
        self.simulation.deliver_all()
        while self.simulation.operations:
            self.simulation.run_operation(0)
        self.simulation.deliver_all()
        self.idempotency = idempotency
        self.request_id = ""

    def call(self, entry: str) -> str:
        """Sends the request, each time with the same key."""
        once = self.idempotency is requests.Idempotency.AT_MOST_ONCE
        key = "k" if once else ""
        return self.simulation.call(
            entry, BODY, self.idempotency, key, deadline_in_s=DEADLINE_IN_S
        )

    def fill_slots(self) -> None:
        """Occupies the endpoint's slots so that the request is queued."""
        idempotent = requests.Idempotency.IDEMPOTENT
        for number in range(simulator.SLOTS):
            self.simulation.call(
                OTHER_ENTRY, b"%d" % number, idempotent, deadline_in_s=DEADLINE_IN_S
            )
        self.simulation.deliver_all()

    def find_agent(self) -> str:
        """Returns the agent that last ran the request, or the first agent."""
        runs = [run.endpoint for run in self.simulation.list_runs() if run.body == BODY]
        return runs[-1] if runs else "agent-1"

    def count_runs(self) -> int:
        return sum(run.body == BODY for run in self.simulation.list_runs())

    def has_ended(self) -> bool:
        return bool(self.simulation.callers.records[self.request_id].end_state)

    def find_claim(self) -> int | None:
        """Returns the index of the pending write of the claim, or None."""
        for index, pending in enumerate(self.simulation.operations):
            operation = pending.command.operation
            if isinstance(operation, store.Transact) and any(
                write.key.startswith("claim/") for write in operation.writes
            ):
                return index
        return None

    def has_queued_message(self, kind: type[messages.Message]) -> bool:
        return any(
            isinstance(message, kind)
            for link in self.simulation.links.values()
            for queue in link.queues.values()
            for message in queue
        )

    def deliver_one_message(self) -> bool:
        for session, link in self.simulation.links.items():
            for to, queue in link.queues.items():
                if queue:
                    self.simulation.deliver(session, to)
                    return True
        return False

    def advance_until(self, condition: Condition) -> None:
        """Executes one action after another until the kill point is reached."""
        for _ in range(500):
            if condition(self):
                return
            index = self.find_claim()
            running = [
                (name, attempt_id)
                for name, endpoint in self.simulation.endpoints.items()
                for attempt_id in endpoint.list_calls()
            ]
            if index is not None:
                self.simulation.run_operation(index)
            elif not self.deliver_one_message() and running:
                self.simulation.advance_call(*running[0])
        raise AssertionError("the kill point was never reached")


def _lose_reply_of_claim_write(scenario: Scenario) -> bool:
    index = scenario.find_claim()
    if index is None:
        return False
    scenario.simulation.run_operation(index, lose_reply=True)
    return True


def _is_running(scenario: Scenario) -> bool:
    return scenario.count_runs() == 1


def _has_partial_answer(scenario: Scenario) -> bool:
    return bool(scenario.simulation.callers.records[scenario.request_id].payloads)


def _crash_in_run(scenario: Scenario) -> bool:
    if not _is_running(scenario):
        return False
    scenario.simulation.crash_endpoint(scenario.find_agent())
    return True


def _fail_in_run(scenario: Scenario) -> bool:
    """Breaks the call while the endpoint stays up."""
    if not _is_running(scenario):
        return False
    agent = scenario.find_agent()
    endpoint = scenario.simulation.endpoints[agent]
    for attempt_id in endpoint.list_calls():
        endpoint.cancel(attempt_id)
        failed = events.EndpointFailed(attempt_id, True, False, "reset")
        scenario.simulation.post(agent, failed)
    return True


def _cancel_in_run(scenario: Scenario) -> bool:
    if not _is_running(scenario):
        return False
    scenario.simulation.abandon(scenario.request_id)
    scenario.simulation.deliver_all()
    return True


def _cancel_in_queue(scenario: Scenario) -> bool:
    """Disconnects the caller of a queued request and delivers the cancellation."""
    if not _is_queued(scenario):
        return False
    scenario.simulation.abandon(scenario.request_id)
    scenario.simulation.deliver_all()
    return True


def _is_queued(scenario: Scenario) -> bool:
    reached = scenario.has_queued_message(messages.SubmitAttempt)
    if reached:
        scenario.simulation.deliver_all()
    return reached


KILL_POINTS: dict[str, Condition] = {
    "before the claim's write": lambda scenario: scenario.find_claim() is not None,
    "after the write, its reply lost": _lose_reply_of_claim_write,
    "after the claim, before the send": lambda scenario: scenario.has_queued_message(
        messages.SubmitAttempt
    ),
    "queued": _is_queued,
    "cancelled in the queue": _cancel_in_queue,
    "running": _is_running,
    "cancelled in the run": _cancel_in_run,
    "running, answered in part": _has_partial_answer,
    "lost with its endpoint, entry not notified": _crash_in_run,
    "failed, entry not notified": _fail_in_run,
    "finished, entry not notified": lambda scenario: scenario.has_queued_message(
        messages.AttemptFinished
    ),
    "answered, before the closing write": lambda scenario: scenario.has_ended(),
}
QUEUED_POINTS = {"queued", "cancelled in the queue"}
CANCELLED_POINTS = {"cancelled in the queue", "cancelled in the run"}
CLAIM_WRITE_POINTS = {"before the claim's write", "after the write, its reply lost"}

ANSWERED = "answered"
RAN = outcomes.Outcome.ALREADY_RUN.value
UNKNOWN = outcomes.Outcome.UNKNOWN.value

# Outcome of the same payment when it is sent again through the other entry, after the
# entry died and after the agent died.
OUTCOME_WHEN_RESENT = {
    "before the claim's write": (ANSWERED, RAN),
    "after the write, its reply lost": (ANSWERED, RAN),
    "after the claim, before the send": (ANSWERED, UNKNOWN),
    "queued": (ANSWERED, UNKNOWN),
    "cancelled in the queue": (ANSWERED, UNKNOWN),
    "running": (RAN, UNKNOWN),
    "cancelled in the run": (RAN, UNKNOWN),
    "running, answered in part": (RAN, UNKNOWN),
    "lost with its endpoint, entry not notified": (UNKNOWN, UNKNOWN),
    "failed, entry not notified": (UNKNOWN, UNKNOWN),
    "finished, entry not notified": (RAN, UNKNOWN),
    "answered, before the closing write": (RAN, RAN),
}


def run_to_kill_point(
    point: str, idempotency: requests.Idempotency, agents: int = 1
) -> Scenario:
    scenario = Scenario(idempotency, agents)
    if point in QUEUED_POINTS:
        scenario.fill_slots()
    scenario.request_id = scenario.call(ENTRY)
    scenario.advance_until(KILL_POINTS[point])
    return scenario


def get_outcome(scenario: Scenario, request_id: str) -> str:
    record = scenario.simulation.callers.records[request_id]
    return record.problem.outcome.value if record.problem else record.end_state


@pytest.mark.parametrize("victim", [0, 1], ids=["entry dies", "agent dies"])
@pytest.mark.parametrize("point", list(KILL_POINTS))
def test_payment_runs_at_most_once_and_its_outcome_is_correct(
    point: str, victim: int
) -> None:
    scenario = run_to_kill_point(point, requests.Idempotency.AT_MOST_ONCE)
    scenario.simulation.kill((ENTRY, "agent-1")[victim])
    scenario.simulation.check()
    scenario.simulation.run_until_idle()
    resent_id = scenario.call(OTHER_ENTRY)
    scenario.simulation.run_until_idle()
    scenario.simulation.check()
    assert scenario.has_ended()
    assert get_outcome(scenario, resent_id) == OUTCOME_WHEN_RESENT[point][victim]
    assert scenario.count_runs() <= 1


@pytest.mark.parametrize(
    "point",
    [
        point
        for point in KILL_POINTS
        if point not in CLAIM_WRITE_POINTS | QUEUED_POINTS | CANCELLED_POINTS
    ],
)
def test_idempotent_request_is_retried_when_its_agent_dies(point: str) -> None:
    scenario = run_to_kill_point(point, requests.Idempotency.IDEMPOTENT, agents=2)
    scenario.simulation.kill(scenario.find_agent())
    scenario.simulation.run_until_idle()
    scenario.simulation.check()
    assert get_outcome(scenario, scenario.request_id) == ANSWERED


@pytest.mark.parametrize(
    "point", [point for point in KILL_POINTS if point not in CLAIM_WRITE_POINTS]
)
def test_idempotent_request_is_answered_when_sent_to_another_entry(point: str) -> None:
    scenario = run_to_kill_point(
        point, requests.Idempotency.IDEMPOTENT, agents=1 + ("lost" in point)
    )
    scenario.simulation.kill(ENTRY)
    resent_id = scenario.call(OTHER_ENTRY)
    scenario.simulation.run_until_idle()
    scenario.simulation.check()
    assert get_outcome(scenario, resent_id) == ANSWERED


@pytest.mark.parametrize(
    "point",
    [point for point in KILL_POINTS if point not in CANCELLED_POINTS],
)
@pytest.mark.parametrize("name", [ENTRY, "agent-1"])
def test_planned_stop_at_kill_point_aborts_no_request(point: str, name: str) -> None:
    scenario = run_to_kill_point(point, requests.Idempotency.AT_MOST_ONCE)
    scenario.simulation.drain(name)
    scenario.simulation.run_until_idle()
    scenario.simulation.check()
    if "entry not notified" not in point or "finished" in point:
        planned_stops.check_unnoticed(scenario.simulation)
