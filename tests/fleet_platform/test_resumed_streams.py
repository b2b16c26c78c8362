"""Tests of answers that have begun and are followed by those of other endpoints."""

import asyncio
import json

import fleetstandins
import pytest


def _encode_events(first, last):
    return b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(first, last + 1))


# Both the second and the third endpoint fail; the stream may not look complete.
@pytest.mark.parametrize(
    ("status", "body"),
    [
        (400, b""),
        (404, b"no such model\n\n"),
        (409, b"id: 9\ndata: conflict\n\n"),
        (500, b"HTTP/1.1 500 X\r\n\r\nid: 9\ndata: failed\n\n"),
        (503, b"id: 9\ndata: busy\n\n"),
        (302, b""),
        (204, b""),
    ],
)
async def test_failure_of_a_later_attempt_is_not_written_into_a_begun_stream(
    start_system, write_events, status, body
):
    runs = []

    async def answer(endpoint, headers, writer):
        runs.append(endpoint.name)
        attempt = headers["chicoryweir-attempt-id"]
        if len(runs) == 1:
            await write_events(headers, writer, 1, 3, end=False)
            writer.transport.abort()
            return
        writer.write(fleetstandins.build_answer(attempt, body, status))
        await writer.drain()

    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", answer) for n in range(3)]
    system = await start_system(*endpoints)
    answered, _, received, complete = await system.call("/stream/x")
    assert answered == 200
    assert received == _encode_events(1, 3)
    assert not complete
    assert len(runs) > 1


async def test_begun_stream_goes_on_after_an_endpoint_that_fails(
    start_system, write_events
):
    runs = []

    async def answer(endpoint, headers, writer):
        runs.append(headers.get("last-event-id"))
        if len(runs) == 1:
            await write_events(headers, writer, 1, 3, end=False)
            writer.transport.abort()
        elif len(runs) == 2:
            attempt = headers["chicoryweir-attempt-id"]
            writer.write(fleetstandins.build_answer(attempt, b"data: no\n\n", 404))
        else:
            await write_events(headers, writer, 4, 6)

    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", answer) for n in range(3)]
    system = await start_system(*endpoints)
    _, _, received, complete = await system.call("/stream/x")
    assert received == _encode_events(1, 6)
    assert complete
    assert runs == [None, "3", "3"]


async def test_success_of_another_media_type_is_not_written_into_a_begun_stream(
    start_system, write_events
):
    runs = []

    async def answer(endpoint, headers, writer):
        runs.append(endpoint.name)
        attempt = headers["chicoryweir-attempt-id"]
        if len(runs) == 1:
            await write_events(headers, writer, 1, 3, end=False)
            writer.transport.abort()
            return
        body = json.dumps({"error": "overloaded"}).encode() + b"\n\n"
        writer.write(
            fleetstandins.build_answer(attempt, body, Content_Type="application/json")
        )
        await writer.drain()

    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", answer) for n in range(3)]
    system = await start_system(*endpoints)
    _, _, received, complete = await system.call("/stream/x")
    assert received == _encode_events(1, 3)
    assert not complete


# An answer that is passed on as it arrives can't be begun again by another endpoint.
async def test_large_idempotent_answer_that_breaks_off_is_not_begun_twice(start_system):
    runs = []
    part = b"x" * 400_000

    async def answer(endpoint, headers, writer):
        runs.append(endpoint.name)
        attempt = headers["chicoryweir-attempt-id"]
        whole = fleetstandins.build_answer(attempt, part + b"y" * 100_000)
        writer.write(whole if len(runs) > 1 else whole[:-100_000])
        await writer.drain()
        await asyncio.sleep(0.2)
        if len(runs) == 1:
            writer.transport.abort()

    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", answer) for n in range(2)]
    system = await start_system(*endpoints)
    status, _, received, complete = await system.call("/again/x")
    assert status == 200
    assert not complete
    assert part.startswith(received)
    assert len(runs) == 1
