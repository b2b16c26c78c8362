"""Tests of answers whose endpoint is silent for a while and then goes on."""

import asyncio
import collections

import fleetstandins
import pytest
import pytest_asyncio

LONG = {"Chicoryweir_Deadline_Remaining_Ms": "8000"}


def _encode_event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def _build_configuration(max_attempts):
    config = fleetstandins.build_configuration()
    for route in config["routes"]:
        route["max_attempts"] = max_attempts
    return config


@pytest_asyncio.fixture
async def start_busy(start_system):
    """Returns a function that starts an entry whose service is never silent.

    An endpoint of its own serves one long stream, and has no place for a second.
    """
    tasks = []

    async def start(handler, count, slots=2, max_attempts=2):
        async def drone(endpoint, headers, writer):
            await _write_stream(headers, writer, 1, 400, pause_s=0.05)

        busy = fleetstandins.EndpointStandIn("busy", drone)
        busy.build_registration = _register(busy, 1)
        system = await start_system(busy, config=_build_configuration(max_attempts))
        tasks.append(
            asyncio.create_task(system.call("/stream/b", attempt="busy", **LONG))
        )
        await fleetstandins.wait_until(lambda: busy.requests)
        found = []
        for number in range(count):
            endpoint = fleetstandins.EndpointStandIn(f"i-{number}", handler)
            await endpoint.start()
            system.store.put(
                "servers", endpoint.name, endpoint.build_registration(slots=slots)
            )
            found.append(endpoint)
        table = system.entry._fleet.endpoints
        await fleetstandins.wait_until(
            lambda: (
                len(table.list_usable("svc", asyncio.get_running_loop().time()))
                == count + 1
            )
        )
        return system, found

    yield start
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _register(endpoint, slots):
    build = endpoint.build_registration
    return lambda **changes: build(slots=slots, **changes)


async def _write_stream(headers, writer, first, last, pause_s, pauses=None):
    """Writes events `first` to `last`; `pauses` has longer pauses by event number."""
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Chicoryweir-Attempt-Id: %s\r\nChicoryweir-Server-Stamp: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
        % headers["chicoryweir-attempt-id"].encode()
    )
    for number in range(first, last + 1):
        await asyncio.sleep((pauses or {}).get(number, pause_s))
        event = _encode_event(number)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


# A sound endpoint that preempts a stream is silent, and goes on later.
@pytest.mark.parametrize("max_attempts", [1, 2, 3])
@pytest.mark.parametrize("silence_s", [1.2, 1.8])
async def test_stream_outlasts_a_silence_on_its_last_attempt(
    start_busy, max_attempts, silence_s
):
    runs = []

    async def answer(endpoint, headers, writer):
        runs.append(endpoint.name)
        first = int(headers.get("last-event-id", 0)) + 1
        await _write_stream(headers, writer, first, 12, 0.02, {first + 2: silence_s})

    system, _ = await start_busy(answer, 3, max_attempts=max_attempts)
    status, _, received, complete = await system.call("/stream/x", **LONG)
    assert (status, complete) == (200, True)
    assert received == b"".join(_encode_event(n) for n in range(1, 13))
    assert len(runs) == max_attempts


# Retries of streams that are silent at the same time exceed the budget.
async def test_silent_streams_go_on_when_the_retry_budget_is_spent(start_busy):
    async def answer(endpoint, headers, writer):
        await _write_stream(headers, writer, 1, 6, 0.02, {4: 1.3})

    system, endpoints = await start_busy(answer, 3)
    fleet = system.entry._fleet
    budget = fleet.get_retry_budget("svc")
    while budget.try_spend(1, fleet.clock.read()):
        pass
    answers = await asyncio.gather(
        *(system.call("/stream/x", attempt=f"a{number}", **LONG) for number in range(6))
    )
    assert [(status, complete) for status, _, _, complete in answers] == [
        (200, True)
    ] * 6
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 6


# A stream that gives up its place for one that it doesn't get is cut.
async def test_silent_streams_keep_their_places_when_no_other_is_free(start_busy):
    async def answer(endpoint, headers, writer):
        await _write_stream(headers, writer, 1, 6, 0.02, {4: 1.5})

    system, endpoints = await start_busy(answer, 2, slots=2, max_attempts=3)
    answers = await asyncio.gather(
        *(system.call("/stream/x", attempt=f"a{number}", **LONG) for number in range(4))
    )
    assert [(status, complete) for status, _, _, complete in answers] == [
        (200, True)
    ] * 4
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 4


# A silent stream moves only to a place that is free, also if several look for one.
async def test_silent_streams_share_one_free_place(start_busy):
    running, most = collections.Counter(), collections.Counter()

    async def answer(endpoint, headers, writer):
        running[endpoint.name] += 1
        most[endpoint.name] = max(most[endpoint.name], running[endpoint.name])
        first = int(headers.get("last-event-id", 0)) + 1
        pauses = {4: 1.5} if first == 1 else {}
        try:
            await _write_stream(headers, writer, first, 30, 0.02, pauses)
        finally:
            running[endpoint.name] -= 1

    system, _ = await start_busy(answer, 3, slots=1, max_attempts=3)
    answers = await asyncio.gather(
        *(system.call("/stream/x", attempt=f"a{n}", **LONG) for n in range(2))
    )
    assert [(status, complete) for status, _, _, complete in answers] == [
        (200, True)
    ] * 2
    assert set(most.values()) == {1}


# An answer of which part was relayed can't be retried.
async def test_large_answer_outlasts_a_silence_of_its_endpoint(start_busy):
    part = b"x" * 400_000

    async def answer(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        whole = fleetstandins.build_answer(attempt, part + b"y" * 100_000)
        writer.write(whole[:-100_000])
        await writer.drain()
        await asyncio.sleep(1.5)
        writer.write(whole[-100_000:])
        await writer.drain()

    system, endpoints = await start_busy(answer, 2)
    status, _, received, complete = await system.call("/again/x")
    assert (status, complete) == (200, True)
    assert received == part + b"y" * 100_000
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 1


# Without a further attempt, an answer that is late is better than a failure.
async def test_idempotent_request_waits_for_its_last_endpoint(start_busy):
    async def answer(endpoint, headers, writer):
        await asyncio.sleep(2.3)
        attempt = headers["chicoryweir-attempt-id"]
        writer.write(fleetstandins.build_answer(attempt))
        await writer.drain()

    system, endpoints = await start_busy(answer, 2)
    status, _, received, _ = await system.call("/again/x", **LONG)
    assert (status, received) == (200, b"whole")
    assert sum(len(endpoint.requests) for endpoint in endpoints) == 2


# A silent attempt that ended before the next endpoint took the request was cut when
# that one declined it, or broke off, on the last attempt.
@pytest.mark.parametrize("refusal", ["declines", "fails", "resets", "is silent"])
@pytest.mark.parametrize("max_attempts", [2, 3])
async def test_silent_stream_goes_on_when_the_next_endpoint_does_not_take_it(
    start_busy, refusal, max_attempts
):
    runs = []

    async def answer(endpoint, headers, writer):
        runs.append(endpoint.name)
        if len(runs) == 1:
            await _write_stream(headers, writer, 1, 12, 0.02, {4: 1.6})
            return
        attempt = headers["chicoryweir-attempt-id"]
        match refusal:
            case "declines":
                writer.write(
                    fleetstandins.build_answer(
                        attempt,
                        status=503,
                        Chicoryweir_Not_Executed="1",
                        Chicoryweir_Server_Stamp="",
                    )
                )
            case "fails":
                writer.write(fleetstandins.build_answer(attempt, status=500))
            case "resets":
                writer.transport.abort()
            case "is silent":
                await asyncio.sleep(3600)

    system, _ = await start_busy(answer, 3, max_attempts=max_attempts)
    status, _, received, complete = await system.call("/stream/x", **LONG)
    assert (status, complete) == (200, True)
    assert received == b"".join(_encode_event(n) for n in range(1, 13))
    assert 1 < len(runs) <= max_attempts
    await fleetstandins.wait_until(lambda: not _count_running(system))


def _count_running(system):
    """Returns the number of requests at endpoints other than the busy one."""
    loads = system.entry._fleet.loads.copy_own()
    return sum(load.requests for name, load in loads.items() if name != "busy")
