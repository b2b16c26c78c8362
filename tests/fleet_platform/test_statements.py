"""Tests of endpoints that ask for a rest or state that they are leaving."""

import asyncio
import itertools

import fleetstandins
import pytest
import structlog

REST_S = 1.0
# Time from which on a rest is kept, and requests that may still arrive in it.
LEARNING_S = 0.5
MAX_IN_REST = 2


def _create_endpoint(name, status=200, **fields):
    """Returns an endpoint and the times at which it got requests."""
    sent_at = []

    async def answer(endpoint, headers, writer):
        sent_at.append(asyncio.get_running_loop().time())
        attempt = headers["chicoryweir-attempt-id"]
        if status != 200:
            fields.update(Chicoryweir_Server_Stamp="", Chicoryweir_Not_Executed="1")
        writer.write(fleetstandins.build_answer(attempt, b"x", status, **fields))
        await writer.drain()

    return fleetstandins.EndpointStandIn(name, answer), sent_at


async def _call_repeatedly(system, numbers, duration_s):
    """Calls idempotently with up to ten calls at a time; returns the answers."""
    until = asyncio.get_running_loop().time() + duration_s
    answers = []
    while asyncio.get_running_loop().time() < until:
        calls = [system.call("/again/x", attempt=f"a{next(numbers)}") for _ in range(3)]
        answers += await asyncio.gather(*calls)
        await asyncio.sleep(0.02)
    return answers


def _count_most_in_rest(sent_at):
    spans = [(at + LEARNING_S, at + REST_S) for at in sent_at]
    return max(sum(first < at < last for at in sent_at) for first, last in spans)


# Guards against requests to an endpoint that declined one and asked for a rest: all are
# declined, and spend the budget for retries.
async def test_endpoint_gets_no_requests_while_it_wants_a_rest(start_system):
    resting, sent_at = _create_endpoint("i-1", 503, Retry_After=str(REST_S))
    sound, _ = _create_endpoint("i-2")
    system = await start_system(resting, sound)
    answers = await _call_repeatedly(system, itertools.count(), 4.0)
    assert {status for status, *_ in answers} == {200}
    assert len(sent_at) >= 3
    assert _count_most_in_rest(sent_at) <= MAX_IN_REST
    # One request at a time finds out whether the rest has helped.
    assert len(sent_at) <= 4.0 / REST_S * MAX_IN_REST + 3


# Guards against requests that wait for their deadline although no endpoint accepts any.
async def test_request_is_rejected_at_once_while_all_endpoints_rest(start_system):
    resting, sent_at = _create_endpoint("i-1", 503, Retry_After="5")
    system = await start_system(resting)
    assert (await system.call("/again/x", attempt="a1"))[0] == 503
    began_at = asyncio.get_running_loop().time()
    status, headers, _, _ = await system.call("/again/x", attempt="a2")
    assert asyncio.get_running_loop().time() - began_at < 0.5
    assert status == 503
    assert 4.0 <= float(headers["retry-after"]) <= 6.0
    assert len(sent_at) == 1


# Guards against new requests to an endpoint that states in its answers that it leaves,
# whether or not the store can be reached to say so.
@pytest.mark.parametrize("down", [False, True])
async def test_endpoint_that_states_that_it_leaves_gets_no_requests(start_system, down):
    leaving, sent_at = _create_endpoint("i-1", Server_Leaving="1")
    staying, _ = _create_endpoint("i-2")
    system = await start_system(leaving, staying)
    system.store.down = down
    numbers = itertools.count()
    while not sent_at:
        assert (await system.call("/again/x", attempt=f"a{next(numbers)}"))[0] == 200
    await asyncio.sleep(0.1)
    count = len(sent_at)
    answers = await _call_repeatedly(system, numbers, 1.0)
    # The store still lists the endpoint as ready.
    registration = leaving.build_registration(seq=2)
    system.store.put("servers", "i-1", registration)
    system.store.down = False
    answers += await _call_repeatedly(system, numbers, 2.0)
    assert {status for status, *_ in answers} == {200}
    assert len(sent_at) == count


async def test_restarted_endpoint_gets_requests_although_it_was_leaving(start_system):
    leaving, sent_at = _create_endpoint("i-1", Server_Leaving="1")
    system = await start_system(leaving)
    assert (await system.call("/again/x", attempt="a1"))[0] == 200
    system.store.put("servers", "i-1", leaving.build_registration(born=2))
    table = system.entry._fleet.endpoints
    await fleetstandins.wait_until(lambda: table.get("i-1").born_ms == 2)
    assert (await system.call("/again/x", attempt="a2"))[0] == 200
    assert len(sent_at) == 2


# Guards against a statement that no decision uses and that operators don't learn of.
async def test_unknown_statement_is_logged_once(start_system):
    endpoint, _ = _create_endpoint("i-1", Server_Mood="7")
    with structlog.testing.capture_logs() as lines:
        system = await start_system(endpoint)
        for number in range(3):
            await system.call("/again/x", attempt=f"a{number}")
    (line,) = [line for line in lines if line["event"] == "statement_unknown"]
    assert (line["header"], line["service"]) == ("server-mood", "svc")
    assert line["request_id"] == "a0"


# Guards against requests from the other entries, which know of a leaving endpoint only
# from the store.
async def test_entry_learns_from_another_that_an_endpoint_leaves(start_system):
    leaving, sent_at = _create_endpoint("i-1", Server_Leaving="1")
    staying, _ = _create_endpoint("i-2")
    first = await start_system(leaving, staying)
    second = await start_system(host="127.0.0.2", peer=first)
    numbers = itertools.count()
    while not sent_at:
        assert (await first.call("/again/x", attempt=f"a{next(numbers)}"))[0] == 200
    await asyncio.sleep(0.5)
    answers = await _call_repeatedly(second, numbers, 1.0)
    assert {status for status, *_ in answers} == {200}
    assert len(sent_at) == 1


# Guards against a fleet whose entries each find out on their own, again and again, that
# an endpoint declines.
async def test_entry_avoids_an_endpoint_that_rests_for_another(start_system):
    resting, sent_at = _create_endpoint("i-1", 503, Retry_After="3")
    sound, _ = _create_endpoint("i-2")
    first = await start_system(resting, sound)
    second = await start_system(host="127.0.0.2", peer=first)
    numbers = itertools.count()
    while not sent_at:
        await first.call("/again/x", attempt=f"a{next(numbers)}")
    await asyncio.sleep(0.5)
    answers = await _call_repeatedly(second, numbers, 1.0)
    assert {status for status, *_ in answers} == {200}
    assert len(sent_at) == 1
