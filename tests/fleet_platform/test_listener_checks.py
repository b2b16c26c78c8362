"""Tests of the check whether an endpoint that broke a request still listens."""

import asyncio

import fleetstandins
import pytest


# Guards against "not run" for a request that has run: its time ends while the entry
# finds out whether the endpoint crashed.
@pytest.mark.parametrize(("path", "status"), [("/once/x", 504), ("/again/x", 504)])
async def test_request_that_ran_is_not_rejected_during_the_check(
    start_system, monkeypatch, path, status
):
    async def break_off(endpoint, headers, writer):
        await asyncio.sleep(0.05)
        writer.transport.abort()

    system = await start_system(fleetstandins.EndpointStandIn("i-1", break_off))

    async def wait_in_vain(address, timeout_s):
        await asyncio.sleep(1.0)
        return False

    monkeypatch.setattr(system.entry._pool, "is_refused", wait_in_vain)
    fields = {
        "Chicoryweir-Deadline-Remaining-Ms": "200",
        "Chicoryweir-Prompt-Prefix": "5c1e07a2:40,e4402b7d:250",
    }
    found = await system.call(path, **fields)
    assert (found[0], found[3]) == (status, True)
