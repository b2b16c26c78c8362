"""Tests of the quarantine of a request that crashes every endpoint that runs it."""

import asyncio

import fleetstandins


def _build_endpoint(name):
    async def crash_on_poison(endpoint, headers, writer):
        if endpoint.requests[-1][2] == b"poison":
            writer.transport.abort()
            return
        writer.write(fleetstandins.build_answer(headers["chicoryweir-attempt-id"]))
        await writer.drain()

    return fleetstandins.EndpointStandIn(name, crash_on_poison)


def _restart(system, endpoint, born):
    system.store.put("servers", endpoint.name, endpoint.build_registration(born=born))


def _count_poison_requests(endpoints):
    return sum(
        body == b"poison" for endpoint in endpoints for _, _, body in endpoint.requests
    )


async def test_request_that_crashed_three_endpoints_is_rejected_by_every_entry(
    start_system,
):
    endpoints = [_build_endpoint(f"i-{n}") for n in range(2)]
    first = await start_system(*endpoints)
    second = await start_system(host="127.0.0.2", peer=first)
    for number in range(3):
        before = [len(endpoint.requests) for endpoint in endpoints]
        status, _, _, _ = await first.call(
            "/once/x", body=b"poison", attempt=f"p{number}"
        )
        assert status == 502
        for endpoint, count in zip(endpoints, before, strict=True):
            if len(endpoint.requests) > count:
                _restart(first, endpoint, 10 + number)
        tracker = first.entry._fleet.crashes
        await fleetstandins.wait_until(lambda t=tracker, n=number: t.position > n)
    await asyncio.sleep(0.3)
    for system in (first, second):
        status, headers, _, _ = await system.call(
            "/once/x", body=b"poison", attempt="z"
        )
        assert status == 503
        assert float(headers["retry-after"]) > 1.0
        assert (await system.call("/once/x", body=b"other", attempt="o"))[0] == 200
    assert _count_poison_requests(endpoints) == 3


async def test_crashing_stream_stops_at_its_maximum_attempts(start_system):
    endpoints = [_build_endpoint(f"i-{n}") for n in range(5)]
    system = await start_system(*endpoints)
    status, _, _, _ = await system.call("/stream/x", body=b"poison")
    assert status == 502
    assert _count_poison_requests(endpoints) == 3
    for number, endpoint in enumerate(endpoints):
        if endpoint.requests:
            _restart(system, endpoint, 10 + number)
    tracker = system.entry._fleet.crashes
    await fleetstandins.wait_until(lambda: tracker.position == 3)
    status, _, _, _ = await system.call("/stream/x", body=b"poison", attempt="b")
    assert status == 503
    assert _count_poison_requests(endpoints) == 3


# Guards against charging requests with the crash of an endpoint that was only full.
async def test_endpoint_that_declines_a_request_is_not_recorded_as_crashed(
    start_system,
):
    declined = asyncio.Event()

    async def decline_second(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        if attempt == "first":
            await declined.wait()
            writer.write(fleetstandins.build_answer(attempt))
        else:
            fields = {
                "Chicoryweir-Not-Executed": "shed",
                "Chicoryweir-Server-Stamp": "",
                "At-Server": f"127.0.0.1:{endpoint.port}",
            }
            writer.write(fleetstandins.build_answer(attempt, b"", 503, **fields))
        await writer.drain()

    endpoint = fleetstandins.EndpointStandIn("i-1", decline_second)
    system = await start_system(endpoint)
    first = asyncio.create_task(system.call("/again/x", attempt="first"))
    await fleetstandins.wait_until(lambda: endpoint.requests)
    assert (await system.call("/again/x", attempt="second"))[0] == 503
    declined.set()
    assert (await first)[0] == 200
    assert system.entry._fleet.crashes.position == 0
