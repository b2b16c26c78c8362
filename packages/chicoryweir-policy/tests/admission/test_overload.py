"""Tests of load shedding at the entry."""

from __future__ import annotations

from chicoryweir_policy import requests
from chicoryweir_policy.admission import overload

BULK = requests.PriorityClass.BULK
URGENT = requests.PriorityClass.URGENT


def run_flood(throttle, workspace, priority, accept_every, seconds=30, per_s=50):
    """Returns the share of requests sent during the last third of a flood."""
    sent = []
    for index in range(seconds * per_s):
        now = index / per_s
        decision = throttle.decide(f"{workspace}-{index}", workspace, priority, now)
        if isinstance(decision, overload.Send):
            sent.append(index)
            accepted = index % accept_every == 0
            throttle.record_outcome(workspace, priority, accepted, now)
    third = seconds * per_s * 2 // 3
    return sum(index >= third for index in sent) / (seconds * per_s - third)


def test_flood_that_agents_reject_is_shed_at_the_entry() -> None:
    bulk = run_flood(overload.Throttle(), "clerks", BULK, accept_every=10)
    urgent = run_flood(overload.Throttle(), "clerks", URGENT, accept_every=10)
    assert 0.0 < bulk <= urgent < 0.6


def test_requests_are_not_shed_while_agents_accept_them() -> None:
    throttle = overload.Throttle()
    assert run_flood(throttle, "relay", BULK, accept_every=1) == 1.0


def test_flood_does_not_shed_other_workspaces_or_classes() -> None:
    throttle = overload.Throttle()
    run_flood(throttle, "clerks", BULK, accept_every=10_000)
    assert throttle.decide("r", "relay", BULK, 30.0) == overload.Send()
    assert throttle.decide("r", "clerks", URGENT, 30.0) == overload.Send()


def test_shed_requests_get_a_retry_delay_and_shedding_ends_after_the_flood() -> None:
    throttle = overload.Throttle()
    run_flood(throttle, "clerks", BULK, accept_every=10_000)
    shed = [throttle.decide(str(i), "clerks", BULK, 30.0) for i in range(200)]
    assert any(isinstance(d, overload.Shed) and d.retry_after_ms > 0 for d in shed)
    later = [throttle.decide(str(i), "clerks", BULK, 90.0) for i in range(10)]
    assert later == [overload.Send()] * 10
