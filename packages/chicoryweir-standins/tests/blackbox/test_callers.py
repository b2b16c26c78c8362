"""Tests of the callers' API of a running fleet."""

from __future__ import annotations

import hashlib
import json
import typing

import pytest

from chicoryweir_standins import answers

pytestmark = pytest.mark.xdist_group("fleet")


def _read_events(text: str) -> list[str]:
    blocks = [block for block in text.split("\n\n") if block]
    return [block.removeprefix("data: ") for block in blocks]


def _join_content(events: list[str]) -> str:
    choices = [json.loads(event)["choices"][0] for event in events]
    return "".join(choice["delta"].get("content", "") for choice in choices)


def _compute_expected(fleet: typing.Any, text: str, **fields: typing.Any) -> str:
    body = {
        "model": fleet.model,
        "messages": [{"role": "user", "content": text}],
        **fields,
    }
    return "".join(answers.compute_answer(body))


def test_addresses_name_the_live_entries(fleet) -> None:
    answer = fleet.call(f"/v1/addresses?service={fleet.service}", method="GET")
    document = answer.json()
    urls = {f"http://{item['ip']}:{item['port']}" for item in document["addresses"]}
    assert urls == set(fleet.entries)
    assert all(item["place"] for item in document["addresses"])
    assert document["ttl_ms"] > 0


def test_addresses_of_an_unknown_service_are_rejected(fleet) -> None:
    answer = fleet.call("/v1/addresses?service=none", method="GET")
    assert answer.status_code == 404
    assert answer.headers["content-type"] == "application/problem+json"


def test_completion_is_the_complete_expected_answer(fleet) -> None:
    answer = fleet.chat("how many pods", max_tokens=12)
    assert answer.status_code == 200
    content = answer.json()["choices"][0]["message"]["content"]
    assert content == _compute_expected(fleet, "how many pods", max_tokens=12)
    assert answer.headers["x-request-id"]


def test_stream_is_the_complete_expected_answer_and_ends_with_done(fleet) -> None:
    answer = fleet.chat("stream it", entry=1, max_tokens=9, stream=True)
    assert answer.headers["content-type"].startswith("text/event-stream")
    events = _read_events(answer.text)
    assert events[-1] == "[DONE]"
    assert _join_content(events[:-1]) == _compute_expected(
        fleet, "stream it", max_tokens=9
    )


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"model": 3}, "model"),
        ({"messages": "hi"}, "messages"),
        ({"messages": []}, "messages"),
        ({"messages": [1]}, "messages[0]"),
        ({"messages": [{"content": "x"}]}, "messages[0].role"),
        ({"messages": [{"role": "user", "content": 3}]}, "messages[0].content"),
        ({"stream": "yes"}, "stream"),
        ({"max_tokens": 0}, "max_tokens"),
        ({"max_tokens": "many"}, "max_tokens"),
    ],
)
def test_rejection_of_an_invalid_body_names_the_field(fleet, change, field) -> None:
    body = {"model": fleet.model, "messages": [{"role": "user", "content": "x"}]}
    answer = fleet.call("/v1/chat/completions", {**body, **change})
    problem = answer.json()
    assert (answer.status_code, problem["field"]) == (400, field)
    assert problem["outcome"] == "not_run"


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff", b"[" * 5000, b"NaN"])
def test_body_that_is_no_json_object_is_rejected(fleet, body) -> None:
    answer = fleet.call("/v1/completions", body)
    assert (answer.status_code, answer.json()["field"]) == (400, "body")


@pytest.mark.parametrize(
    ("header", "value"),
    [
        ("X-Priority", "soon"),
        ("X-Deadline-Ms", "0"),
        ("X-Deadline-Ms", "1e3"),
        ("X-Idempotent", "maybe"),
        ("Idempotency-Key", "with space"),
        ("Idempotency-Key", "x" * 256),
    ],
)
def test_rejection_of_an_invalid_header_names_the_field(fleet, header, value) -> None:
    path = f"/v1/services/{fleet.service}/x"
    answer = fleet.call(path, b"", **{header.replace("-", "_"): value})
    assert (answer.status_code, answer.json()["field"]) == (400, header)


def test_non_idempotent_request_without_a_key_is_rejected(fleet) -> None:
    path = f"/v1/services/{fleet.service}/pay"
    answer = fleet.call(path, b"x", X_Idempotent="false")
    assert (answer.status_code, answer.json()["field"]) == (400, "Idempotency-Key")


def test_unknown_keys_are_rejected(fleet) -> None:
    body = {"model": fleet.model, "prompt": "x"}
    assert fleet.call("/v1/completions", body, key=None).status_code == 401
    assert fleet.call("/v1/completions", body, key="wrong").status_code == 401
    other = fleet.call("/v1/completions", body, X_Workspace="another")
    assert other.status_code == 403


def test_unknown_names_are_rejected(fleet) -> None:
    body = {"model": "none", "prompt": "x"}
    assert fleet.call("/v1/completions", body).status_code == 404
    assert fleet.call("/v1/services/none/x", b"").status_code == 404
    assert fleet.call("/v1/nothing", b"").status_code == 404


def test_large_body_is_rejected(fleet) -> None:
    answer = fleet.call("/v1/completions", b"x" * (2 << 20))
    assert (answer.status_code, answer.json()["field"]) == (413, "body")


def test_large_headers_are_rejected(fleet) -> None:
    answer = fleet.call("/v1/completions", b"{}", X_Long="x" * 20_000)
    assert (answer.status_code, answer.json()["field"]) == (413, "headers")


def test_plain_request_forwards_method_path_and_query(fleet) -> None:
    path = f"/v1/services/{fleet.service}/a%20b/c?d=e"
    answer = fleet.call(path, b"body", method="PUT")
    ran = answer.json()["ran"]
    assert (answer.status_code, ran["method"]) == (200, "PUT")
    assert ran["body_sha256"] == hashlib.sha256(b"body").hexdigest()


def test_payment_sent_through_both_entries_runs_once(fleet) -> None:
    path = f"/v1/services/{fleet.service}/pay"
    headers = {"Idempotency_Key": "blackbox-1", "X_Idempotent": "false"}
    first = fleet.call(path, b"ten", entry=0, **headers)
    again = [fleet.call(path, b"ten", entry=entry, **headers) for entry in (0, 1)]
    other = fleet.call(path, b"eleven", entry=1, **headers)
    assert first.status_code == 200
    assert {answer.status_code for answer in [*again, other]} == {409}
    assert {answer.json()["outcome"] for answer in again} == {"already_run"}
    assert other.json()["outcome"] == "not_run"
    assert fleet.read_runs()["by_key"]["blackbox-1"] == 1


def test_infeasible_deadline_is_rejected(fleet) -> None:
    body = {"model": fleet.model, "prompt": "late", "max_tokens": 2000}
    answer = fleet.call("/v1/completions", body, X_Deadline_Ms="40")
    assert answer.status_code in (503, 504)
    assert answer.json()["outcome"] in ("not_run", "unknown")


def test_poison_crashes_at_most_two_endpoints_and_others_are_served(fleet) -> None:
    text = "POISON-CRASH blackbox"
    replies = [fleet.chat(text, entry=n % 2, user=f"u{n}") for n in range(6)]
    assert replies[-1].status_code == 422
    assert replies[-1].json()["outcome"] in ("not_run", "unknown")
    body = {"model": fleet.model, "prompt": "innocent", "max_tokens": 4}
    assert fleet.call("/v1/completions", body).status_code == 200


def test_disconnect_of_the_caller_ends_its_request_everywhere(fleet) -> None:
    body = {"model": fleet.model, "prompt": "gone", "max_tokens": 5000, "stream": True}
    headers = {"authorization": f"Bearer {fleet.ready_document['caller_key']}"}
    url = fleet.entries[0] + "/v1/completions"
    with fleet.client.stream("POST", url, json=body, headers=headers) as answer:
        request_id = answer.headers["x-request-id"]
        next(answer.iter_bytes())
    texts: set[str] = set()
    for _ in range(20):
        explained = fleet.operate(f"/explain/{request_id}").json()
        texts = {record["detail"]["text"] for record in explained["records"]}
        if {"the caller went away", "cancelled"} <= texts:
            break
    assert {"the caller went away", "cancelled"} <= texts


def test_health_readiness_and_metrics_answer(fleet) -> None:
    assert fleet.call("/healthz", method="GET").status_code == 200
    assert fleet.call("/readyz", method="GET").status_code == 200
    metrics = fleet.call("/metrics", method="GET").text
    assert "chicoryweir_answers_total" in metrics
