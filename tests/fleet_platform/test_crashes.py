"""A request that crashes each endpoint that begins it, brought to several entries."""

import asyncio

import fleetstandins


def _build_endpoint(name):
    async def script(endpoint, headers, writer):
        if endpoint.requests[-1][2] == b"poison":
            writer.transport.abort()
            return
        writer.write(fleetstandins.build_answer(headers["chicoryweir-attempt-id"]))
        await writer.drain()

    return fleetstandins.EndpointStandIn(name, script)


def _restart(system, endpoint, born):
    system.store.put("servers", endpoint.name, endpoint.build_registration(born=born))


def _count_poison(endpoints):
    return sum(body == b"poison" for e in endpoints for _, _, body in e.requests)


async def test_request_that_crashed_three_endpoints_is_refused_at_every_entry(
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
        for endpoint, seen in zip(endpoints, before, strict=True):
            if len(endpoint.requests) > seen:
                _restart(first, endpoint, 10 + number)
        known = first.entry._fleet.crashes
        await fleetstandins.wait_until(lambda k=known, n=number: k.position > n)
    await asyncio.sleep(0.3)
    for system in (first, second):
        status, headers, _, _ = await system.call(
            "/once/x", body=b"poison", attempt="z"
        )
        assert status == 503
        assert float(headers["retry-after"]) > 1.0
        assert (await system.call("/once/x", body=b"other", attempt="o"))[0] == 200
    assert _count_poison(endpoints) == 3


async def test_stream_that_crashes_endpoints_stops_at_its_attempts(start_system):
    endpoints = [_build_endpoint(f"i-{n}") for n in range(5)]
    system = await start_system(*endpoints)
    status, _, _, _ = await system.call("/stream/x", body=b"poison")
    assert status == 502
    assert _count_poison(endpoints) == 3
    for number, endpoint in enumerate(endpoints):
        if endpoint.requests:
            _restart(system, endpoint, 10 + number)
    watch = system.entry._fleet.crashes
    await fleetstandins.wait_until(lambda: watch.position == 3)
    status, _, _, _ = await system.call("/stream/x", body=b"poison", attempt="b")
    assert status == 503
    assert _count_poison(endpoints) == 3
