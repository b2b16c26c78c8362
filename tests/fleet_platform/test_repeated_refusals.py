"""Tests of endpoints that repeat an earlier refusal on a kept connection."""

import asyncio

import fleetstandins
import pytest

DECLINED = (
    b"HTTP/1.1 503 X\r\n%sChicoryweir-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
MISDIRECTED = b"HTTP/1.1 421 X\r\n%sContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("refusal", [DECLINED, MISDIRECTED])
@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
async def test_repeated_refusal_without_an_id_is_no_answer_to_the_next_request(
    start_system, path, refusal
):
    runs, kept = [], set()

    async def answer(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        runs.append(attempt)
        if writer in kept:
            writer.write(refusal % b"")
            await asyncio.sleep(0.05)
        kept.add(writer)
        writer.write(fleetstandins.build_answer(attempt, attempt.encode()))
        await writer.drain()

    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", answer) for n in range(2)]
    system = await start_system(*endpoints)
    statuses = []
    for number in range(6):
        status, _, body, _ = await system.call(path, attempt=f"a{number}")
        statuses.append(status)
        assert status in (200, 502)
        assert status != 200 or body == b"a%d" % number
        if path == "/once/x":
            assert runs.count(f"a{number}") == 1
        await asyncio.sleep(0.01)
    # Some requests met the repeated refusal.
    assert 502 in statuses or len(runs) > len(statuses)


# The same request comes back to the endpoint that refused it, if there is no other.
async def test_repeated_refusal_of_the_same_request_does_not_answer_its_next_attempt(
    start_system,
):
    runs, kept = [], set()

    async def answer(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        refusal = DECLINED % (b"Chicoryweir-Attempt-Id: %s\r\n" % attempt.encode())
        if len(endpoint.requests) == 1:
            kept.add(writer)
            writer.write(refusal)
            return
        runs.append(attempt)
        if writer in kept:
            writer.write(refusal)
            return
        writer.write(fleetstandins.build_answer(attempt, attempt.encode()))
        await writer.drain()

    endpoint = fleetstandins.EndpointStandIn("i-1", answer)
    config = fleetstandins.build_configuration()
    for route in config["routes"]:
        route["max_attempts"] = 3
    system = await start_system(endpoint, config=config)
    status, _, body, _ = await system.call("/once/x", attempt="a1")
    assert runs == ["a1"]
    assert (status, body) == (200, b"a1")
