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
class StalledScenario:
    """A simulation in which the agent that received the request is paused."""

    simulation: simulator.Simulation
    request_id: str
    paused_agent: str

    @property
    def other(self) -> str:
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
        for to, waiting in link.queues.items():
            if any(isinstance(message, messages.SubmitAttempt) for message in waiting):
                return to
    raise AssertionError("no agent received the request")


def _stall(
    hedge_after_ms: int | None = HEDGE_AFTER_MS,
    priority: requests.PriorityClass = URGENT,
    idempotency: requests.Idempotency = IDEMPOTENT,
    body: bytes = b"ask",
) -> StalledScenario:
    simulation = simulator.Simulation(("entry-1",), AGENTS, hedge_after_ms)
    simulation.open_missing_links()
    simulation.deliver_all()
    request_id = simulation.call(
        "entry-1", body, idempotency, deadline_in_s=DEADLINE_IN_S, priority=priority
    )
    paused_agent = _find_assigned_agent(simulation)
    simulation.pause(paused_agent)
    return StalledScenario(simulation, request_id, paused_agent)


def test_urgent_request_at_paused_agent_is_answered_on_time_by_its_hedge() -> None:
    stalled = _stall()
    stalled.run_steps(steps=int(DEADLINE_IN_S / 0.05) - 1)
    assert (
        stalled.simulation.callers.records[stalled.request_id].end_state == "answered"
    )
    assert stalled.list_runs() == [stalled.other]


def test_urgent_request_at_paused_agent_is_rejected_without_hedging() -> None:
    stalled = _stall(hedge_after_ms=None)
    stalled.run_steps()
    assert stalled.simulation.callers.records[stalled.request_id].end_state == "refused"
    assert not stalled.list_runs()


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
    stalled = _stall(priority=priority, idempotency=idempotency)
    stalled.run_steps()
    assert not stalled.list_runs()


def test_attempt_that_lost_to_its_hedge_is_cancelled_when_its_agent_resumes() -> None:
    stalled = _stall()
    stalled.run_steps(steps=20)
    stalled.simulation.resume(stalled.paused_agent)
    assert not stalled.simulation.endpoints[stalled.paused_agent].list_calls()
    stalled.simulation.run_until_idle()
    stalled.simulation.check()
    assert (
        stalled.simulation.callers.records[stalled.request_id].end_state == "answered"
    )


def test_hedge_continues_when_the_link_of_the_first_attempt_closes() -> None:
    stalled = _stall()
    stalled.simulation.advance_time(0.3)
    link = stalled.simulation.find_link("entry-1", stalled.paused_agent)
    assert link is not None
    stalled.simulation.close_link(link.session)
    stalled.run_steps(steps=10)
    assert (
        stalled.simulation.callers.records[stalled.request_id].end_state == "answered"
    )
    assert stalled.list_runs() == [stalled.other]


def test_abandoned_request_is_not_hedged_and_leaves_no_attempt() -> None:
    stalled = _stall()
    stalled.simulation.abandon(stalled.request_id)
    stalled.run_steps()
    assert not stalled.list_runs()
