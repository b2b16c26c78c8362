"""Tests of hedging in simulations with a paused agent."""

from __future__ import annotations

import dataclasses

import pytest

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_standins.simulation import simulator

AGENTS = ("agent-1", "agent-2")
HEDGE_AFTER_MS = 300
DEADLINE_IN_S = 2.0
URGENT = requests.PriorityClass.URGENT
IDEMPOTENT = requests.Idempotency.IDEMPOTENT


@dataclasses.dataclass
class PausedAgentScenario:
    """A simulation in which the agent that received the request is paused."""

    simulation: simulator.Simulation
    request_id: str
    paused_agent: str

    @property
    def other_agent(self) -> str:
        return next(name for name in AGENTS if name != self.paused_agent)

    def run_steps(self, steps: int = 50) -> None:
        """Runs everything that isn't paused in steps of 50 ms."""
        for _ in range(steps):
            self.simulation.deliver_all()
            for name, endpoint in self.simulation.endpoints.items():
                for attempt_id in endpoint.list_calls():
                    self.simulation.advance_call(name, attempt_id)
            self.simulation.advance_time(0.05)

    def list_runs(self) -> list[str]:
        return [run.endpoint for run in self.simulation.list_runs()]


def _find_assigned_agent(simulation: simulator.Simulation) -> str:
    for link in simulation.links.values():
        for to, queue in link.queues.items():
            if any(isinstance(message, messages.SubmitAttempt) for message in queue):
                return to
    raise AssertionError("no agent received the request")


def _submit_and_pause_agent(
    hedge_after_ms: int | None = HEDGE_AFTER_MS,
    priority: requests.PriorityClass = URGENT,
    idempotency: requests.Idempotency = IDEMPOTENT,
    body: bytes = b"ask",
) -> PausedAgentScenario:
    simulation = simulator.Simulation(("entry-1",), AGENTS, hedge_after_ms)
    simulation.open_missing_links()
    simulation.deliver_all()
    request_id = simulation.call(
        "entry-1", body, idempotency, deadline_in_s=DEADLINE_IN_S, priority=priority
    )
    paused_agent = _find_assigned_agent(simulation)
    simulation.pause(paused_agent)
    return PausedAgentScenario(simulation, request_id, paused_agent)


def test_urgent_request_at_paused_agent_is_answered_on_time_by_its_hedge() -> None:
    scenario = _submit_and_pause_agent()
    scenario.run_steps(steps=int(DEADLINE_IN_S / 0.05) - 1)
    assert (
        scenario.simulation.callers.records[scenario.request_id].end_state == "answered"
    )
    assert scenario.list_runs() == [scenario.other_agent]


def test_urgent_request_at_paused_agent_is_rejected_without_hedging() -> None:
    scenario = _submit_and_pause_agent(hedge_after_ms=None)
    scenario.run_steps()
    assert (
        scenario.simulation.callers.records[scenario.request_id].end_state == "refused"
    )
    assert not scenario.list_runs()


@pytest.mark.parametrize(
    ("priority", "idempotency"),
    [
        (requests.PriorityClass.STANDARD, IDEMPOTENT),
        (requests.PriorityClass.BULK, IDEMPOTENT),
        (URGENT, requests.Idempotency.ONCE_PER_ARRIVAL),
    ],
)
def test_other_request_at_paused_agent_gets_no_hedge(
    priority: requests.PriorityClass, idempotency: requests.Idempotency
) -> None:
    scenario = _submit_and_pause_agent(priority=priority, idempotency=idempotency)
    scenario.run_steps()
    assert not scenario.list_runs()


def test_attempt_that_lost_to_its_hedge_is_cancelled_when_its_agent_resumes() -> None:
    scenario = _submit_and_pause_agent()
    scenario.run_steps(steps=20)
    scenario.simulation.resume(scenario.paused_agent)
    assert not scenario.simulation.endpoints[scenario.paused_agent].list_calls()
    scenario.simulation.run_until_idle()
    scenario.simulation.check()
    assert (
        scenario.simulation.callers.records[scenario.request_id].end_state == "answered"
    )


def test_hedge_continues_when_the_link_of_the_first_attempt_closes() -> None:
    scenario = _submit_and_pause_agent()
    scenario.simulation.advance_time(0.3)
    link = scenario.simulation.find_link("entry-1", scenario.paused_agent)
    assert link is not None
    scenario.simulation.close_link(link.session)
    scenario.run_steps(steps=10)
    assert (
        scenario.simulation.callers.records[scenario.request_id].end_state == "answered"
    )
    assert scenario.list_runs() == [scenario.other_agent]


def test_abandoned_request_is_not_hedged_and_leaves_no_attempt() -> None:
    scenario = _submit_and_pause_agent()
    scenario.simulation.abandon(scenario.request_id)
    scenario.run_steps()
    assert not scenario.list_runs()
