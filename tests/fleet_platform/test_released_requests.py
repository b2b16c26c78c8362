"""Tests that requests are released without the garbage collector."""

import asyncio
import gc

import fleetstandins
import pytest

from chicoryweir_daemon.http1 import heads


# Guards against reference cycles that hold requests, and all of their headers, after
# their end: the account of memory doesn't know of them.
@pytest.mark.parametrize("end", ["caller leaves", "deadline", "answer"])
async def test_request_is_released_at_its_end(start_system, end):
    async def answer(endpoint, headers, writer):
        if end != "answer":
            await asyncio.sleep(3600)
        writer.write(fleetstandins.build_answer(headers["chicoryweir-attempt-id"]))
        await writer.drain()

    system = await start_system(fleetstandins.EndpointStandIn("i-1", answer))
    gc.collect()
    gc.disable()
    try:
        reader, writer = await system.connect()
        writer.write(system.encode_request("/slow/x"))
        if end == "caller leaves":
            await fleetstandins.wait_until(lambda: _count_requests() == 1)
        else:
            await system.read_answer(reader)
        writer.close()
        await fleetstandins.wait_until(lambda: _count_requests() == 0)
    finally:
        gc.enable()


def _count_requests():
    return sum(isinstance(found, heads.Request) for found in gc.get_objects())
