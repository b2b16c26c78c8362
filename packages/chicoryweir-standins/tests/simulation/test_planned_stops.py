"""Tests that no caller notices planned stops in random walks."""

from __future__ import annotations

import pytest

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.agent import core as agent_core
from chicoryweir_standins.simulation import callers
from chicoryweir_standins.simulation import exploration
from chicoryweir_standins.simulation import planned_stops
from chicoryweir_standins.simulation import simulator

LAST_SEED = 40


@pytest.mark.parametrize("seed", range(1, 9))
def test_planned_stops_go_unnoticed_on_a_random_walk(seed: int) -> None:
    planned_stops.walk_once(seed)


@pytest.mark.parametrize(
    "seed",
    [
        pytest.param(98, id="attempt in flight to a stopping agent is rejected"),
        pytest.param(1202, id="the same with an attempt of another entry"),
    ],
)
def test_planned_stops_go_unnoticed_on_walks_that_once_failed(seed: int) -> None:
    planned_stops.walk_once(seed)


def _submit_to_stopping_agent(simulation: simulator.Simulation) -> str:
    """Submits a payment to an agent that is asked to stop before it arrives."""
    simulation.deliver_all()
    once = requests.Idempotency.AT_MOST_ONCE
    request_id = simulation.call("entry-1", b"pay", once, "k", deadline_in_s=60.0)
    for index in reversed(range(len(simulation.operations))):
        simulation.run_operation(index)
    for link in simulation.links.values():
        for to, queue in link.queues.items():
            if any(isinstance(message, messages.SubmitAttempt) for message in queue):
                simulation.drain(to)
                return request_id
    raise AssertionError("no attempt was submitted")


def test_stopping_agent_rejects_an_attempt_in_flight() -> None:
    simulation = simulator.Simulation(exploration.ENTRIES, exploration.AGENTS)
    request_id = _submit_to_stopping_agent(simulation)
    simulation.run_until_idle()
    planned_stops.check_unnoticed(simulation)
    assert simulation.callers.records[request_id].end_state == "answered"


def test_agents_that_exit_right_after_their_drain_break_the_guarantee(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(agent_core, "MIN_DRAIN_S", 0.0)
    simulation = simulator.Simulation(exploration.ENTRIES, exploration.AGENTS)
    _submit_to_stopping_agent(simulation)
    simulation.run_until_idle()
    with pytest.raises(callers.BrokenGuaranteeError, match="Endpoint lost"):
        planned_stops.check_unnoticed(simulation)


def _walk_all() -> None:
    for seed in range(1, LAST_SEED):
        planned_stops.walk_once(seed)


def test_agents_that_ignore_a_drain_break_the_guarantee(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original_step = agent_core.AgentCore.step

    def step(self, event, now):
        if isinstance(event, events.DrainRequested):
            return []
        return original_step(self, event, now)

    monkeypatch.setattr(agent_core.AgentCore, "step", step)
    with pytest.raises(callers.BrokenGuaranteeError, match="after its drain"):
        _walk_all()
