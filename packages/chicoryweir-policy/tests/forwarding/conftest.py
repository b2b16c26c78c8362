"""Fixtures that build configurations, endpoints and requests."""

import dataclasses

import pytest

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import queueing

ENGINE = configuration.Engine(
    slots=6,
    memory_tokens=140_000,
    step_s=0.00455,
    sequence_s=0.00181,
    context_s=3.66e-8,
    read_tokens_per_s=61_400.0,
    steps_per_event=4,
    usual_prompt_tokens=835.0,
    usual_answer_tokens=97.0,
    link_bytes_per_s=22.5e9,
    experts=configuration.ExpertLayout(4, 64, 5, 2, 2.5e9, 0.85),
)
ROUTE = configuration.Route(
    name="r",
    host="h.example",
    prefix="/a/",
    kind=configuration.RouteKind.STREAM,
    resumable=True,
    timeout_s=8.0,
    objective_s=0.5,
    max_gap_s=0.12,
    priority=0,
    max_attempts=2,
    public=False,
    shares=(configuration.ServiceShare("model", 1.0),),
)


@pytest.fixture
def engine():
    return ENGINE


@pytest.fixture
def route():
    return ROUTE


@pytest.fixture
def service():
    return configuration.Service("model", 348, ENGINE)


@pytest.fixture
def make_endpoint():
    def make(instance: str, **changes) -> endpoints.Endpoint:
        base = endpoints.Endpoint(
            instance, "model", "10.0.0.1", 80, "telavi", 6, False, 0.0, 1
        )
        return dataclasses.replace(base, **changes)

    return make


@pytest.fixture
def make_request():
    def make(request_id: str, now: float = 0.0, **changes) -> queueing.PendingRequest:
        base = queueing.PendingRequest(
            request_id=request_id,
            workspace="w",
            priority=1,
            route_priority=0,
            estimate=demand.Demand(100.0, 0.2, 900.0),
            objective_at=now + 0.5,
            abandon_at=now + 2.0,
            arrived_at=now,
        )
        return dataclasses.replace(base, **changes)

    return make
