"""Tests of classifying an answer."""

import json

import httpx
import pytest

from chicoryweir_standins import answers
from chicoryweir_standins.load import arrivals
from chicoryweir_standins.load import caller
from chicoryweir_standins.load import results

STREAM = arrivals.Stream("relay", "bulk", 1.0, 60_000, max_tokens=4)
ARRIVAL = arrivals.Arrival(0.0, 1, STREAM)
TOKENS = answers.compute_answer(arrivals.build_body(ARRIVAL, 1))


def write_events(tokens: list[str], is_done: bool) -> bytes:
    events = [json.dumps({"choices": [{"delta": {"content": t}}]}) for t in tokens]
    events += ["[DONE]"] if is_done else []
    return "".join(f"data: {event}\n\n" for event in events).encode()


async def call(reply: httpx.Response) -> results.Result:
    transport = httpx.MockTransport(lambda _: reply)
    async with httpx.AsyncClient(transport=transport) as client:
        target = caller.Target("http://entry")
        return await caller.call_model(client, target, ARRIVAL, 1, arrived_at=1e12)


@pytest.mark.parametrize(
    ("tokens", "is_done", "ending"),
    [
        (TOKENS, True, results.Ending.IN_TIME),
        (TOKENS[:2], False, results.Ending.CUT),
        (TOKENS[:2], True, results.Ending.WRONG),
        ([*TOKENS, TOKENS[-1]], True, results.Ending.WRONG),
        (["another"], False, results.Ending.WRONG),
    ],
)
async def test_ending_depends_on_the_tokens_and_the_done_marker(
    tokens: list[str], is_done: bool, ending: results.Ending
) -> None:
    result = await call(httpx.Response(200, content=write_events(tokens, is_done)))
    assert result.ending is ending


async def test_problem_is_refused_with_its_outcome() -> None:
    result = await call(httpx.Response(503, json={"outcome": "not_run"}))
    assert (result.ending, result.outcome) == (results.Ending.REFUSED, "not_run")
