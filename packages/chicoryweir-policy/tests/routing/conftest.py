"""Fixtures that build load trackers, load reports and requests."""

import pytest
import xxhash

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.routing import loads

DATA_CENTRES = ("telavi", "gurjaani", "sighnaghi")


def _build_report(
    wait_s: float = 0.0,
    acknowledged: int = 0,
    tokens: float = 0.0,
    running: int = 0,
    tokens_per_s: float = 1000.0,
    models: tuple[str, ...] = ("kakheti-1",),
) -> messages.LoadReport:
    return messages.LoadReport(
        sequence=1,
        acknowledged=acknowledged,
        running=running,
        waiting=0,
        unfinished_tokens=tokens,
        slots=16,
        tokens_per_s=tokens_per_s,
        wait_s=(wait_s,) * 3,
        leaving=False,
        serving=True,
        endpoint_incarnation="one",
        models=models,
    )


def _build_tracker(
    endpoints: int = 16,
    data_centre: str = "telavi",
    latency_s: dict[str, float] | None = None,
) -> loads.LoadTracker:
    tracker = loads.LoadTracker(data_centre, latency_s or {})
    for index in range(endpoints):
        instance = f"agent-{index}"
        tracker.add_endpoint(instance, DATA_CENTRES[index % 3], "model-desk")
        tracker.record_link_state(instance, True, 0.0)
        tracker.record_report(instance, _build_report(), 0.0)
    return tracker


def _build_request(
    name: str,
    prefix_blocks: tuple[int, ...] = (),
    idempotency: requests.Idempotency = requests.Idempotency.IDEMPOTENT,
    priority: requests.PriorityClass = requests.PriorityClass.STANDARD,
) -> requests.Request:
    return requests.Request(
        request_id=name,
        workspace="relay",
        service="model-desk",
        model="kakheti-1",
        priority=priority,
        arrived_at=0.0,
        deadline_at=10.0,
        idempotency=idempotency,
        idempotency_key="",
        mode=requests.AnswerMode.EVENTS,
        method="POST",
        path="/v1/completions",
        content_type="application/json",
        body=b"",
        fingerprint=xxhash.xxh64_intdigest(name.encode()),
        prefix=prefix_blocks[0] if prefix_blocks else 0,
        prefix_blocks=prefix_blocks,
        cost_tokens=100.0,
    )


@pytest.fixture
def make_report():
    return _build_report


@pytest.fixture
def make_tracker():
    return _build_tracker


@pytest.fixture
def make_request():
    return _build_request
