"""Nobody notices a planned stop, in random walks with load and drains only."""

from __future__ import annotations

import pytest

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.agent import core as agent_core
from chicoryweir_standins.worlds import callers
from chicoryweir_standins.worlds import exploration
from chicoryweir_standins.worlds import planned_stops
from chicoryweir_standins.worlds import world

LAST_SEED = 40


@pytest.mark.parametrize("seed", range(1, 9))
def test_planned_stops_go_unnoticed_on_a_random_walk(seed: int) -> None:
    planned_stops.walk_once(seed)


@pytest.mark.parametrize(
    "seed",
    [
        pytest.param(98, id="attempt on its way to an agent that stops is refused"),
        pytest.param(1202, id="the same, at another entry"),
    ],
)
def test_planned_stops_go_unnoticed_where_they_once_did_not(seed: int) -> None:
    planned_stops.walk_once(seed)


def _submit_to_stopping_agent(walked: world.World) -> str:
    """Submits a payment on a link whose agent was asked to stop meanwhile."""
    walked.deliver_all()
    once = requests.Idempotency.AT_MOST_ONCE
    request_id = walked.call("entry-1", b"pay", once, "k", life_s=60.0)
    for index in reversed(range(len(walked.operations))):
        walked.run_operation(index)
    for link in walked.links.values():
        for to, waiting in link.queues.items():
            if any(isinstance(item, messages.SubmitAttempt) for item in waiting):
                walked.drain(to)
                return request_id
    raise AssertionError("nothing was submitted")


def test_stopping_agent_refuses_a_submission_that_was_on_its_way() -> None:
    walked = world.World(exploration.ENTRIES, exploration.AGENTS)
    request_id = _submit_to_stopping_agent(walked)
    walked.settle()
    planned_stops.check_unnoticed(walked)
    assert walked.callers.told[request_id].final == "answered"


def test_world_whose_agents_stop_at_once_breaks_the_guarantee(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(agent_core, "MIN_DRAIN_S", 0.0)
    walked = world.World(exploration.ENTRIES, exploration.AGENTS)
    _submit_to_stopping_agent(walked)
    walked.settle()
    with pytest.raises(callers.BrokenGuaranteeError, match="Endpoint lost"):
        planned_stops.check_unnoticed(walked)


def _walk_all() -> None:
    for seed in range(1, LAST_SEED):
        planned_stops.walk_once(seed)


def test_world_whose_agents_ignore_a_drain_breaks_the_guarantee(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stepped = agent_core.AgentCore.step

    def step(self, event, now):
        if isinstance(event, events.DrainRequested):
            return []
        return stepped(self, event, now)

    monkeypatch.setattr(agent_core.AgentCore, "step", step)
    with pytest.raises(callers.BrokenGuaranteeError, match="after its drain"):
        _walk_all()
