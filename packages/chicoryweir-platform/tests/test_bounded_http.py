"""Tests of calls whose answers don't end, or are large once decoded."""

import asyncio
import tracemalloc

import endlesspeers
import httpx
import pytest

from chicoryweir_platform import http_instances
from chicoryweir_platform import http_store
from chicoryweir_platform import http_weights
from chicoryweir_policy import store

TIMEOUT_S = 0.5
# A call ends in twice its time limit.
MAX_ELAPSED_S = 2.5
# The largest answer that is taken, as it is received and copied.
MAX_HELD_BYTES = 40 << 20
CALLS = {
    "read": lambda url: http_store.create_store(url, TIMEOUT_S).run(store.Read(("a",))),
    "write": lambda url: http_store.create_store(url, TIMEOUT_S).run(
        store.Transact((), (store.Write("a", {}),))
    ),
    "instances": lambda url: http_instances.create_instance_list(
        url, TIMEOUT_S
    ).list_instances(),
    "weights": lambda url: http_weights.create_weight_store(url, TIMEOUT_S).fetch(
        "a", 1
    ),
}


# Guards against a client that keeps what a faulty peer sends without end.
@pytest.mark.parametrize("kind", endlesspeers.ENDLESS)
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("call", CALLS)
async def test_answer_without_end_is_given_up(call, kind, pause_s):
    loop = asyncio.get_running_loop()
    async with endlesspeers.EndlessPeer(kind, pause_s) as peer:
        tracemalloc.start()
        began_at = loop.time()
        try:
            async with asyncio.timeout(4 * MAX_ELAPSED_S):
                result = await CALLS[call](peer.url)
            held_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
    assert isinstance(result, store.Refused | store.Unknown)
    assert loop.time() - began_at < MAX_ELAPSED_S
    assert held_bytes < MAX_HELD_BYTES
    assert peer.requests == 1


async def test_object_may_be_as_large_as_settings():
    data = b"x" * (20 << 20)
    transport = httpx.MockTransport(lambda _: httpx.Response(200, content=data))
    client = httpx.AsyncClient(transport=transport, base_url="http://platform")
    result = await http_store.HttpStore(client).run(store.GetObject("settings/1"))
    assert result == store.ObjectFetched("settings/1", data)
