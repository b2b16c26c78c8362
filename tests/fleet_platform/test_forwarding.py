"""Tests of forwarding to endpoints that answer, fail, hang, answer wrongly or leave."""

import asyncio
import json
import time

import fleetstandins
import pytest

from chicoryweir_daemon.http1 import connections

ALL_EVENTS = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 7))


async def _answer(endpoint, headers, writer):
    writer.write(fleetstandins.build_answer(headers["chicoryweir-attempt-id"]))
    await writer.drain()


async def test_request_and_answer_are_forwarded_unchanged(
    start_system,
):
    endpoint = fleetstandins.EndpointStandIn("i-1", _answer)
    system = await start_system(endpoint)
    status, headers, body, complete = await system.call(
        "/again/x?q=1", body=b"hello", X_Own="kept", Connection="X-Gone", X_Gone="1"
    )
    assert (status, body, complete) == (200, b"whole", True)
    assert headers["chicoryweir-server-stamp"] == "stamp"
    line, sent, sent_body = endpoint.requests[0]
    assert (line, sent_body) == ("POST /again/x?q=1 HTTP/1.1", b"hello")
    assert sent["x-own"] == "kept"
    assert sent["chicoryweir-tenant"] == "w"
    assert sent["chicoryweir-expect-instance"] == "i-1"
    assert "chicoryweir-credential" not in sent
    assert "x-gone" not in sent
    assert 0 < int(sent["chicoryweir-deadline-remaining-ms"]) <= 3000


async def test_callers_can_not_forge_headers_that_the_entry_sets(start_system):
    endpoint = fleetstandins.EndpointStandIn("i-1", _answer)
    system = await start_system(endpoint)
    await system.call(
        "/again/x", Chicoryweir_Tenant="other", Chicoryweir_Expect_Instance="i-9"
    )
    _, sent, _ = endpoint.requests[0]
    assert sent["chicoryweir-tenant"] == "w"
    assert sent["chicoryweir-expect-instance"] == "i-1"


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/none/x", "key", 404), ("/again/x", "other", 401), ("/again/x", "", 401)],
)
async def test_unknown_path_or_key_is_rejected_and_not_forwarded(
    start_system, path, key, status
):
    endpoint = fleetstandins.EndpointStandIn("i-1", _answer)
    system = await start_system(endpoint)
    actual_status, _, body, _ = await system.call(path, key=key)
    assert actual_status == status
    assert json.loads(body)["status"] == status
    assert not endpoint.requests


async def test_request_before_the_first_configuration_gets_retry_after(start_system):
    system = await start_system(config=False)
    await fleetstandins.wait_until(lambda: system.store.calls["rows-get"] > 0)
    status, headers, _, _ = await system.call("/again/x")
    assert status == 503
    assert float(headers["retry-after"]) > 0


async def test_non_idempotent_request_with_lost_answer_is_not_retried(
    start_system,
):
    async def break_connection(endpoint, headers, writer):
        writer.transport.abort()

    endpoints = [
        fleetstandins.EndpointStandIn(f"i-{n}", break_connection) for n in range(3)
    ]
    system = await start_system(*endpoints)
    status, _, _, _ = await system.call("/once/x")
    assert status == 502
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


async def test_idempotent_request_with_lost_answer_is_retried_elsewhere(start_system):
    async def break_connection(endpoint, headers, writer):
        writer.transport.abort()

    failing = fleetstandins.EndpointStandIn("i-1", break_connection)
    healthy = fleetstandins.EndpointStandIn("i-2", _answer)
    system = await start_system(failing, healthy)
    for number in range(4):
        status, _, body, _ = await system.call("/again/x", attempt=f"a{number}")
        assert (status, body) == (200, b"whole")


async def test_declined_non_idempotent_request_gets_retry_after(start_system):
    async def decline(endpoint, headers, writer):
        writer.write(
            b"HTTP/1.1 503 X\r\nChicoryweir-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )

    endpoint = fleetstandins.EndpointStandIn("i-1", decline)
    system = await start_system(endpoint)
    status, headers, _, _ = await system.call("/once/x")
    assert status == 503
    assert "retry-after" in headers
    assert len(endpoint.requests) == 1


async def test_stamped_503_of_non_idempotent_request_becomes_502(start_system):
    async def fail(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        writer.write(fleetstandins.build_answer(attempt, status=503))

    system = await start_system(fleetstandins.EndpointStandIn("i-1", fail))
    status, headers, _, _ = await system.call("/once/x")
    assert status == 502
    assert "chicoryweir-server-stamp" not in headers


async def test_stamped_500_is_forwarded_unchanged(start_system):
    async def fail(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        writer.write(fleetstandins.build_answer(attempt, b"no", status=500))

    system = await start_system(fleetstandins.EndpointStandIn("i-1", fail))
    status, headers, body, _ = await system.call("/once/x")
    assert (status, body) == (500, b"no")
    assert headers["chicoryweir-server-stamp"] == "stamp"


@pytest.mark.parametrize(
    "invalid_headers",
    [
        {"Chicoryweir_Server_Stamp": ""},
        {"Chicoryweir_Attempt_Id": ""},
        {"Content_Encoding": "gzip"},
    ],
)
async def test_success_without_valid_endpoint_headers_is_not_forwarded(
    start_system, invalid_headers
):
    async def answer_invalidly(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        writer.write(fleetstandins.build_answer(attempt, **invalid_headers))

    system = await start_system(fleetstandins.EndpointStandIn("i-1", answer_invalidly))
    status, headers, body, _ = await system.call("/once/x")
    assert status == 502
    assert b"whole" not in body


async def test_stale_answer_to_another_attempt_is_skipped(start_system):
    async def answer_twice(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        if len(endpoint.requests) > 1:
            writer.write(fleetstandins.build_answer("a0", b"old"))
        writer.write(fleetstandins.build_answer(attempt, attempt.encode()))

    system = await start_system(fleetstandins.EndpointStandIn("i-1", answer_twice))
    for number in range(3):
        status, _, body, _ = await system.call("/again/x", attempt=f"a{number}")
        assert (status, body) == (200, b"a%d" % number)


async def test_connection_with_bytes_after_an_answer_is_not_reused(start_system):
    async def answer_with_surplus(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        answer = fleetstandins.build_answer(attempt, attempt.encode())
        writer.write(answer + answer)
        await writer.drain()

    endpoint = fleetstandins.EndpointStandIn("i-1", answer_with_surplus)
    system = await start_system(endpoint)
    for number in range(3):
        status, _, body, _ = await system.call("/again/x", attempt=f"a{number}")
        assert (status, body) == (200, b"a%d" % number)
    assert endpoint.connections == 3


async def test_answer_without_length_ends_with_its_connection(
    start_system,
):
    async def close(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        writer.write(fleetstandins.build_answer(attempt, Content_Length=""))
        writer.close()

    system = await start_system(fleetstandins.EndpointStandIn("i-1", close))
    status, _, body, complete = await system.call("/once/x")
    assert (status, body, complete) == (200, b"whole", True)


async def test_broken_stream_is_resumed_elsewhere_within_the_same_answer(
    start_system, write_events
):
    async def answer(endpoint, headers, writer):
        first = int(headers.get("last-event-id", 0)) + 1
        if first < 5:
            await write_events(headers, writer, first, first + 1, end=False)
            writer.write(b"8\r\nid: 9\nda")
            await writer.drain()
            writer.transport.abort()
            return
        await write_events(headers, writer, first, 6)

    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", answer) for n in range(3)]
    system = await start_system(*endpoints)
    status, headers, body, complete = await system.call("/stream/x")
    assert (status, body, complete) == (200, ALL_EVENTS, True)
    assert headers["chicoryweir-server-stamp"] == "s1"


async def test_stream_that_can_not_be_resumed_is_aborted(start_system, write_events):
    async def break_stream(endpoint, headers, writer):
        await write_events(headers, writer, 1, 2, end=False)
        writer.transport.abort()

    system = await start_system(fleetstandins.EndpointStandIn("i-1", break_stream))
    status, _, body, complete = await system.call("/stream/x")
    assert status == 200
    assert not complete
    assert body == ALL_EVENTS[: len(body)]


async def test_stalled_stream_is_resumed_before_its_caller_leaves(
    start_system, write_events
):
    async def answer(endpoint, headers, writer):
        if headers["chicoryweir-attempt-id"] == "other":
            await write_events(headers, writer, 1, 40, pause_s=0.05)
        elif "last-event-id" in headers:
            await write_events(headers, writer, int(headers["last-event-id"]) + 1, 6)
        else:
            await write_events(headers, writer, 1, 3, end=False)
            await asyncio.sleep(30)

    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", answer) for n in range(2)]
    system = await start_system(*endpoints)
    other = asyncio.create_task(system.call("/stream/y", attempt="other"))
    await fleetstandins.wait_until(
        lambda: any(endpoint.requests for endpoint in endpoints)
    )
    started_at = time.monotonic()
    status, _, body, complete = await system.call("/stream/x")
    assert (status, body, complete) == (200, ALL_EVENTS, True)
    assert time.monotonic() - started_at < 2.0
    assert (await other)[3]


async def test_caller_disconnect_closes_the_endpoint_connection(start_system):
    async def hang(endpoint, headers, writer):
        await asyncio.sleep(30)

    endpoint = fleetstandins.EndpointStandIn("i-1", hang)
    system = await start_system(endpoint)
    _, writer = await system.connect()
    writer.write(system.encode_request("/again/x"))
    await fleetstandins.wait_until(lambda: endpoint.requests)
    writer.close()
    await fleetstandins.wait_until(lambda: endpoint.closed_by_client == 1, 0.5)


async def test_route_timeout_ends_a_request(start_system):
    async def hang(endpoint, headers, writer):
        await asyncio.sleep(30)

    endpoint = fleetstandins.EndpointStandIn("i-1", hang)
    system = await start_system(endpoint)
    started_at = time.monotonic()
    status, _, _, _ = await system.call("/slow/x")
    assert status == 504
    assert time.monotonic() - started_at < 0.8
    _, sent, _ = endpoint.requests[0]
    assert int(sent["chicoryweir-deadline-remaining-ms"]) <= 300


async def test_endpoint_whose_address_was_taken_over_is_not_used_again(start_system):
    async def misdirect(endpoint, headers, writer):
        writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")

    replaced = fleetstandins.EndpointStandIn("i-1", misdirect)
    healthy = fleetstandins.EndpointStandIn("i-2", _answer)
    system = await start_system(replaced, healthy)
    for number in range(4):
        status, _, _, _ = await system.call("/once/x", attempt=f"a{number}")
        assert status == 200
    assert len(replaced.requests) <= 1


async def test_leaving_endpoint_gets_no_requests_after_two_seconds(start_system):
    leaving = fleetstandins.EndpointStandIn("i-1", _answer)
    system = await start_system(leaving, fleetstandins.EndpointStandIn("i-2", _answer))
    system.store.put("servers", "i-1", leaving.build_registration(state="draining"))
    await asyncio.sleep(1.9)
    count_before = len(leaving.requests)
    for number in range(6):
        assert (await system.call("/again/x", attempt=f"a{number}"))[0] == 200
    assert len(leaving.requests) == count_before


async def test_invalid_registrations_are_ignored(start_system):
    healthy = fleetstandins.EndpointStandIn("i-2", _answer)
    system = await start_system(healthy)
    for name, value in {
        "i-3": b"\xff\xfe",
        "i-4": {"service": "svc"},
        "i-5": healthy.build_registration(state="strange"),
        "i-6": healthy.build_registration(slots="many"),
        "i-7": healthy.build_registration(address="nowhere"),
    }.items():
        system.store.put("servers", name, value)
    await asyncio.sleep(1.2)
    for number in range(4):
        assert (await system.call("/again/x", attempt=f"a{number}"))[0] == 200
    assert [e.instance for e in system.entry._fleet.endpoints.list_all()] == ["i-2"]


async def test_newer_configuration_is_adopted_and_an_older_one_ignored(
    start_system,
):
    system = await start_system(fleetstandins.EndpointStandIn("i-1", _answer))
    config = fleetstandins.build_configuration(
        9, tenants=[{"name": "w", "api_keys": []}]
    )
    system.store.put("op", "config", config)
    await fleetstandins.wait_until(lambda: system.entry._fleet.version == 9, 1.0)
    assert (await system.call("/again/x"))[0] == 401
    system.store.put("op", "config", fleetstandins.build_configuration(8))
    await asyncio.sleep(0.3)
    assert system.entry._fleet.version == 9


async def test_store_outage_fails_no_request(start_system):
    system = await start_system(fleetstandins.EndpointStandIn("i-1", _answer))
    system.store.down = True
    await asyncio.sleep(1.0)
    for number in range(3):
        assert (await system.call("/again/x", attempt=f"a{number}"))[0] == 200


async def test_planned_stop_finishes_running_requests_and_accepts_new_ones(
    start_system, write_events
):
    async def slow(endpoint, headers, writer):
        await write_events(headers, writer, 1, 6, pause_s=0.2)

    system = await start_system(fleetstandins.EndpointStandIn("i-1", slow))
    running = asyncio.create_task(system.call("/stream/x"))
    await asyncio.sleep(0.3)
    system.entry._stop.set()
    await asyncio.sleep(0.1)
    reader, writer = await asyncio.open_connection(
        system.settings.readiness.host, system.settings.readiness.port
    )
    writer.write(b"GET /chicoryweir/readiness HTTP/1.1\r\nHost: h\r\n\r\n")
    assert (await system.read_answer(reader))[0] == 503
    during_stop = await system.call("/stream/y", attempt="b1")
    assert during_stop[0] == 200
    assert during_stop[1]["connection"] == "close"
    assert during_stop[2:] == (ALL_EVENTS, True)
    assert (await running)[2:] == (ALL_EVENTS, True)


async def test_addresses_are_resolved_during_a_store_outage(start_system):
    system = await start_system(fleetstandins.EndpointStandIn("i-1", _answer))
    system.store.down = True
    reader, writer = await asyncio.open_connection(
        system.settings.resolution.host, system.settings.resolution.port
    )
    writer.write(
        b"GET /chicoryweir/resolve?name=h.example&region=r&zone=telavi HTTP/1.1\r\n"
        b"Host: h\r\n\r\n"
    )
    status, _, body, _ = await system.read_answer(reader)
    resolved = json.loads(body)
    assert status == 200
    assert resolved["addresses"] == [str(system.settings.callers)]
    assert 0 < resolved["ttl_s"] <= 5


async def test_requests_on_one_connection_are_answered_in_order(start_system):
    async def echo(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        await asyncio.sleep(0.1 if attempt == "a0" else 0.0)
        writer.write(fleetstandins.build_answer(attempt, attempt.encode()))

    system = await start_system(fleetstandins.EndpointStandIn("i-1", echo))
    reader, writer = await system.connect()
    for number in range(3):
        writer.write(system.encode_request("/again/x", attempt=f"a{number}"))
    for number in range(3):
        assert (await system.read_answer(reader))[2] == b"a%d" % number


async def test_slow_request_head_gets_408(start_system):
    system = await start_system(fleetstandins.EndpointStandIn("i-1", _answer))
    reader, writer = await system.connect()
    writer.write(b"POST /again/x HTTP/1.1\r\nHost:")
    status, headers, _, _ = await system.read_answer(reader)
    assert status == 408
    assert headers["connection"] == "close"


async def test_entry_that_starts_in_a_store_outage_fetches_state_from_its_peers(
    start_system,
):
    endpoint = fleetstandins.EndpointStandIn("i-1", _answer)
    first = await start_system(endpoint)
    second = await start_system(host="127.0.0.2", peer=first)
    assert second.entry._fleet.version == 7
    assert (await second.call("/again/x"))[0] == 200
    assert second.store.calls["rows-get"] == 0


async def test_concurrent_retries_share_one_budget(start_system, monkeypatch):
    requests = 200
    # On a busy machine it takes seconds until all have connected and arrived.
    monkeypatch.setattr(connections, "CONNECT_TIMEOUT_S", 5.0)
    all_arrived = asyncio.Event()

    async def break_connections_together(_, headers, writer):
        if sum(len(endpoint.requests) for endpoint in endpoints) >= requests:
            all_arrived.set()
        await all_arrived.wait()
        writer.transport.abort()

    endpoints = [
        fleetstandins.EndpointStandIn(f"i-{n}", break_connections_together)
        for n in (1, 2)
    ]
    system = await start_system(*endpoints)
    for endpoint in endpoints:
        registration = endpoint.build_registration(slots=requests // 2)
        system.store.put("servers", endpoint.name, registration)
    table = system.entry._fleet.endpoints
    await fleetstandins.wait_until(
        lambda: all(e.slots == requests // 2 for e in table.list_all())
    )
    calls = [
        system.call(
            "/again/x", attempt=f"a{n}", Chicoryweir_Deadline_Remaining_Ms="8000"
        )
        for n in range(requests)
    ]
    answers = await asyncio.gather(*calls)
    assert all(status == 502 for status, _, _, _ in answers)
    bounds = system.settings.bounds
    allowed_retries = bounds.budget_ratio * requests + bounds.budget_slack
    attempt_count = sum(len(endpoint.requests) for endpoint in endpoints)
    assert requests < attempt_count <= requests + allowed_retries
