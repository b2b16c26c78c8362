"""Tests of endpoints that state how many requests per second they accept."""

import asyncio

import fleetstandins

RATE = 2.0
# Time after the first statement of a limit from which it is in force, and the spans
# that are checked, in seconds.
LEARNING_S = 1.0
SPAN_S = 4.0
# In each span, one and a half times the limit and five requests are accepted.
MAX_IN_SPAN = 1.5 * RATE * SPAN_S + 5


def _build_endpoint(name, limited):
    sent_at = []

    async def answer(endpoint, headers, writer):
        sent_at.append(asyncio.get_running_loop().time())
        fields = {"Server-Limit": str(RATE)} if limited else {}
        attempt = headers["chicoryweir-attempt-id"]
        writer.write(fleetstandins.build_answer(attempt, **fields))
        await writer.drain()

    return fleetstandins.EndpointStandIn(name, answer), sent_at


# Guards against sending an endpoint more requests than it accepts from all entries.
async def test_entries_together_keep_to_the_rate_that_an_endpoint_accepts(
    start_system,
):
    limited, sent_at = _build_endpoint("i-1", True)
    unlimited, others_at = _build_endpoint("i-2", False)
    first = await start_system(limited, unlimited)
    systems = (first, await start_system(host="127.0.0.2", peer=first))
    for number in range(180):
        system = systems[number % 2]
        assert (await system.call("/again/x", attempt=f"a{number}"))[0] == 200
        await asyncio.sleep(0.03)
    since = sent_at[0] + LEARNING_S
    in_force = [at for at in sent_at if at >= since]
    assert in_force
    assert others_at[-1] - since > SPAN_S
    most = max(sum(at <= t < at + SPAN_S for t in in_force) for at in in_force)
    assert most <= MAX_IN_SPAN
