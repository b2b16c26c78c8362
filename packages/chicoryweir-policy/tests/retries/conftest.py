"""Fixtures for the retry tests."""

import pytest

from chicoryweir_policy import requests


@pytest.fixture
def request_sent() -> requests.Request:
    return requests.Request(
        request_id="request-1",
        workspace="relay",
        service="model-desk",
        model="kakheti-1",
        priority=requests.PriorityClass.URGENT,
        arrived_at=0.0,
        deadline_at=10.0,
        idempotency=requests.Idempotency.IDEMPOTENT,
        idempotency_key="",
        mode=requests.AnswerMode.EVENTS,
        method="POST",
        path="/v1/completions",
        content_type="application/json",
        body=b"",
        fingerprint=1,
        prefix=0,
        prefix_blocks=(),
        cost_tokens=100.0,
    )
