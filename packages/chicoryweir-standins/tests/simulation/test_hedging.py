"""Hedges in a world of cores whose agents stall."""

from __future__ import annotations

import dataclasses

import pytest

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_standins.simulation import simulator as world

AGENTS = ("agent-1", "agent-2")
HEDGE_AFTER_MS = 300
LIFE_S = 2.0
URGENT = requests.PriorityClass.URGENT
IDEMPOTENT = requests.Idempotency.IDEMPOTENT


@dataclasses.dataclass
class Stalled:
    """A world in which the agent that has the request is paused."""

    world: world.World
    request_id: str
    holder: str

    @property
    def other(self) -> str:
        return next(name for name in AGENTS if name != self.holder)

    def live_on(self, steps: int = 50) -> None:
        """Lets steps of 50 ms pass in which all that can run runs."""
        for _ in range(steps):
            self.world.deliver_all()
            for name, endpoint in self.world.endpoints.items():
                for attempt_id in endpoint.list_calls():
                    self.world.progress(name, attempt_id)
            self.world.pass_time(0.05)

    def list_runs(self) -> list[str]:
        return [run.endpoint for run in self.world.list_runs()]


def _find_holder(walked: world.World) -> str:
    for link in walked.links.values():
        for to, waiting in link.queues.items():
            if any(isinstance(each, messages.SubmitAttempt) for each in waiting):
                return to
    raise AssertionError("no agent was asked")


def _stall(
    hedge_after_ms: int | None = HEDGE_AFTER_MS,
    priority: requests.PriorityClass = URGENT,
    idempotency: requests.Idempotency = IDEMPOTENT,
    body: bytes = b"ask",
) -> Stalled:
    walked = world.World(("entry-1",), AGENTS, hedge_after_ms)
    walked.dial_all()
    walked.deliver_all()
    request_id = walked.call(
        "entry-1", body, idempotency, life_s=LIFE_S, priority=priority
    )
    holder = _find_holder(walked)
    walked.pause(holder)
    return Stalled(walked, request_id, holder)


def test_urgent_request_at_paused_agent_is_answered_in_time_by_its_hedge() -> None:
    stalled = _stall()
    stalled.live_on(steps=int(LIFE_S / 0.05) - 1)
    assert stalled.world.callers.told[stalled.request_id].final == "answered"
    assert stalled.list_runs() == [stalled.other]


def test_urgent_request_at_paused_agent_is_refused_without_hedging() -> None:
    stalled = _stall(hedge_after_ms=None)
    stalled.live_on()
    assert stalled.world.callers.told[stalled.request_id].final == "refused"
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
    stalled.live_on()
    assert not stalled.list_runs()


def test_attempt_that_lost_to_its_hedge_is_cancelled_when_its_agent_resumes() -> None:
    stalled = _stall()
    stalled.live_on(steps=20)
    stalled.world.resume(stalled.holder)
    assert not stalled.world.endpoints[stalled.holder].list_calls()
    stalled.world.settle()
    stalled.world.check()
    assert stalled.world.callers.told[stalled.request_id].final == "answered"


def test_hedge_goes_on_when_the_link_of_the_first_attempt_closes() -> None:
    stalled = _stall()
    stalled.world.pass_time(0.3)
    link = stalled.world.find_link("entry-1", stalled.holder)
    assert link is not None
    stalled.world.cut(link.session)
    stalled.live_on(steps=10)
    assert stalled.world.callers.told[stalled.request_id].final == "answered"
    assert stalled.list_runs() == [stalled.other]


def test_abandoned_request_is_not_hedged_and_leaves_no_attempt() -> None:
    stalled = _stall()
    stalled.world.abandon(stalled.request_id)
    stalled.live_on()
    assert not stalled.list_runs()
