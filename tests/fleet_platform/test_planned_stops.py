"""Tests that a stopping entry accepts only what it can finish, and answers the rest."""

import asyncio
import dataclasses
import time

import fleetstandins
import pytest

from chicoryweir_daemon.forwarder import draining
from chicoryweir_daemon.forwarder import endings

GRACE_S = 2.0
# Time from the signal until unfinished requests are ended.
STOP_S = GRACE_S - draining.ABORT_MARGIN_S - draining.ANSWER_MARGIN_S
# Deadlines after the end of the process, and before it.
LATE = {"Chicoryweir-Deadline-Remaining-Ms": "7000"}
EARLY = {"Chicoryweir-Deadline-Remaining-Ms": "500"}


async def _start(start_system, *endpoints, grace_s=GRACE_S, **options):
    system = await start_system(*endpoints, **options)
    bounds = dataclasses.replace(system.settings.bounds, grace_s=grace_s)
    settings = dataclasses.replace(system.settings, bounds=bounds)
    system.entry._settings_watch.settings = settings
    return system


def _create_endpoint(answer_s):
    async def answer(endpoint, headers, writer):
        endpoint.running += 1
        await asyncio.sleep(answer_s)
        writer.write(fleetstandins.build_answer(headers["chicoryweir-attempt-id"]))
        await writer.drain()

    endpoint = fleetstandins.EndpointStandIn("i-1", answer)
    endpoint.running = 0
    return endpoint


# Guards against requests that a stopping entry passes on and cuts at its end.
@pytest.mark.parametrize("path", ["/once/x", "/again/x"])
async def test_late_request_that_would_be_cut_is_rejected_at_once(start_system, path):
    endpoint = _create_endpoint(0.5)
    system = await _start(start_system, endpoint)
    assert (await system.call(path, **LATE))[0] == 200
    system.entry._stop.set()
    await asyncio.sleep(0.9)
    began_at = time.monotonic()
    status, headers, _, complete = await system.call(path, attempt="late", **LATE)
    assert (status, complete) == (503, True)
    assert float(headers["retry-after"]) == endings.STOPPING_RETRY_AFTER_S
    assert time.monotonic() - began_at < 0.2
    assert endpoint.running == 1


async def test_request_that_fits_by_the_answers_before_is_accepted(start_system):
    system = await _start(start_system, _create_endpoint(0.05))
    assert (await system.call("/again/x", **LATE))[0] == 200
    system.entry._stop.set()
    await asyncio.sleep(0.5)
    assert (await system.call("/again/x", attempt="late", **LATE))[0] == 200


async def test_request_without_answers_before_it_must_be_over_by_its_deadline(
    start_system,
):
    system = await _start(start_system, _create_endpoint(0.05))
    system.entry._stop.set()
    await asyncio.sleep(0.1)
    assert (await system.call("/again/x", attempt="a2", **LATE))[0] == 503
    assert (await system.call("/again/x", attempt="a3", **EARLY))[0] == 200


# Guards against requests that may not be repeated and end without an answer.
async def test_running_request_is_answered_before_the_process_ends(start_system):
    system = await _start(start_system, _create_endpoint(9.0))
    running = asyncio.create_task(system.call("/once/x", **LATE))
    await asyncio.sleep(0.2)
    began_at = time.monotonic()
    system.entry._stop.set()
    status, _, _, complete = await running
    assert (status, complete) == (504, True)
    assert STOP_S - 0.3 < time.monotonic() - began_at < GRACE_S
    await asyncio.wait_for(system.task, GRACE_S)


# Guards against requests that wait in the queue until the process ends.
async def test_queued_request_is_rejected_while_it_has_not_run(start_system):
    endpoint = _create_endpoint(1.0)
    system = await _start(start_system, endpoint)
    assert (await system.call("/once/x", **LATE))[0] == 200
    running = [
        asyncio.create_task(system.call("/once/x", attempt=f"b{n}", **LATE))
        for n in range(2)
    ]
    await asyncio.sleep(0.1)
    queued = asyncio.create_task(system.call("/once/x", attempt="q", **LATE))
    await asyncio.sleep(0.1)
    began_at = time.monotonic()
    system.entry._stop.set()
    status, _, _, complete = await queued
    assert (status, complete) == (503, True)
    assert time.monotonic() - began_at < STOP_S
    assert [(await call)[0] for call in running] == [200, 200]
    assert endpoint.running == 3


async def test_stream_that_does_not_end_is_broken_off_before_the_process_ends(
    start_system, write_events
):
    async def stream(endpoint, headers, writer):
        await write_events(headers, writer, 1, 100, pause_s=0.1)

    system = await _start(start_system, fleetstandins.EndpointStandIn("i-1", stream))
    running = asyncio.create_task(system.call("/stream/x", **LATE))
    await asyncio.sleep(0.3)
    system.entry._stop.set()
    status, _, body, complete = await running
    assert (status, complete) == (200, False)
    assert body.count(b"data: t") >= 10
    await asyncio.wait_for(system.task, GRACE_S)


# An answer may be longer than any before it, so that these are no bound for a request
# that may not be cut.
@pytest.mark.parametrize("path", ["/stream/x", "/once/x", "/again/x"])
async def test_late_request_is_not_accepted_for_the_answers_before(
    start_system, write_events, path
):
    runs = []

    async def answer(endpoint, headers, writer):
        runs.append(headers["chicoryweir-attempt-id"])
        if path == "/stream/x":
            await write_events(headers, writer, 1, 2)
        else:
            attempt = headers["chicoryweir-attempt-id"]
            writer.write(fleetstandins.build_answer(attempt))
            await writer.drain()

    endpoint = fleetstandins.EndpointStandIn("i-1", answer)
    system = await _start(start_system, endpoint, grace_s=6.0)
    assert (await system.call(path, **LATE))[0] == 200
    system.entry._stop.set()
    await asyncio.sleep(2.4)
    assert (await system.call(path, attempt="a2", **LATE))[0] == 200
    await asyncio.sleep(0.7)
    began_at = time.monotonic()
    status, headers, _, complete = await system.call(path, attempt="late", **LATE)
    assert (status, complete) == (503, True)
    assert float(headers["retry-after"]) == endings.STOPPING_RETRY_AFTER_S
    assert time.monotonic() - began_at < 0.2
    assert (await system.call(path, attempt="a4", **EARLY))[0] == 200
    assert runs == ["a1", "a2", "a4"]
