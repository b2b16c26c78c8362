"""Tests of when the agent of a rank is called, and when the rank itself."""

import asyncio

import pytest

from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.forwarder.mapcontrol import rank_client
from chicoryweir_policy.forwarding import endpoints

RANK = endpoints.Endpoint("i-1", "s", "10.0.0.1", 80, "dc", 2, False, 0.0, 1)
AGENT_PORT = 7000


class Clock:
    now = 0.0

    def read(self):
        return self.now


class Codec:
    report_call = rank_client.Call(b"GET", b"/agent", b"/rank")

    def decode_report(self, body, lag_s):
        return lag_s


# Guards against a rank whose counts aren't read for seconds, since one of several calls
# to its agent was lost.
@pytest.mark.parametrize(("later", "is_agent_called"), [(True, True), (False, False)])
async def test_agent_is_called_again_if_a_later_call_was_answered(
    monkeypatch, later, is_agent_called
):
    clock, called = Clock(), []
    first = asyncio.get_running_loop().create_future()

    async def fetch(pool, address, *arguments):
        called.append(address.port)
        if len(called) == 1:
            await first
        return fetching.Reply(type("Head", (), {"status": 200})(), b"")

    monkeypatch.setattr(rank_client.fetching, "fetch", fetch)
    client = rank_client.HttpRankClient(
        None, Codec(), AGENT_PORT, clock, eventlog.EventLog("front-1")
    )
    lost = asyncio.create_task(client.read_report(RANK))
    await asyncio.sleep(0.01)
    clock.now = 0.1
    if later:
        await client.read_report(RANK)
    clock.now = 0.3
    first.set_exception(fetching.FetchError("receive", "agent", "no answer", True))
    assert await lost is None
    await client.read_report(RANK)
    assert (called[-1] == AGENT_PORT) is is_agent_called
