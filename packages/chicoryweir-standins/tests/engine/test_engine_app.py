"""Tests of the engine's stand-in over its HTTP API."""

import asyncio
import collections.abc
import contextlib
import json

import httpx

from chicoryweir_standins import answers
from chicoryweir_standins.engine import app
from chicoryweir_standins.engine import configuration

BODY = {
    "model": "kakheti-1",
    "messages": [{"role": "user", "content": "are the pods dry?"}],
    "max_tokens": 6,
}


class InstantTimer:
    async def wait_step(self, tokens: int) -> None:
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def serve(
    checks_fencing: bool = True,
) -> collections.abc.AsyncIterator[httpx.AsyncClient]:
    config = configuration.EngineConfig(
        "engine-1", "127.0.0.1", 0, checks_fencing=checks_fencing, order_ms=0.0
    )
    engine = app.Engine(config)
    steps = asyncio.create_task(engine.scheduler.run_steps(InstantTimer()))
    transport = httpx.ASGITransport(app.create_app(engine))
    async with httpx.AsyncClient(transport=transport, base_url="http://engine") as c:
        yield c
    steps.cancel()


def read_events(text: str) -> list[str]:
    return [line[6:] for line in text.splitlines() if line.startswith("data: ")]


def join_contents(events: list[str]) -> str:
    deltas = [json.loads(e)["choices"][0]["delta"] for e in events if e != "[DONE]"]
    return "".join(delta.get("content", "") for delta in deltas)


async def test_stream_contains_the_computed_answer() -> None:
    async with serve() as client:
        reply = await client.post("/v1/chat/completions", json={**BODY, "stream": True})
    events = read_events(reply.text)
    assert events[-1] == "[DONE]"
    assert join_contents(events) == "".join(answers.compute_answer(BODY))


async def test_resumed_stream_continues_with_the_next_event() -> None:
    async with serve() as client:
        streamed = {**BODY, "stream": True}
        whole = await client.post("/v1/chat/completions", json=streamed)
        for delivered in range(8):
            rest = await client.post(
                "/v1/chat/completions",
                json=streamed,
                headers={"X-Resume-From": str(delivered)},
            )
            assert read_events(rest.text) == read_events(whole.text)[delivered:]


async def test_whole_answer_equals_the_streamed_one() -> None:
    async with serve() as client:
        reply = await client.post("/v1/chat/completions", json=BODY)
    message = reply.json()["choices"][0]["message"]["content"]
    assert message == "".join(answers.compute_answer(BODY))


async def test_unknown_model_and_invalid_json_are_rejected() -> None:
    async with serve() as client:
        unknown = await client.post("/v1/completions", json={"model": "other"})
        broken = await client.post("/v1/completions", content=b"{")
    assert (unknown.status_code, broken.status_code) == (404, 400)


async def test_stale_fence_is_rejected_only_by_an_engine_that_checks() -> None:
    current = {"fence": 5, "order_id": "1", "kind": "load_model", "name": "kakheti-2"}
    stale = {"fence": 4, "order_id": "2", "kind": "unload_model", "name": "kakheti-2"}
    for checks_fencing, status in ((True, 409), (False, 200)):
        async with serve(checks_fencing) as client:
            assert (await client.post("/orders", json=current)).status_code == 200
            assert (await client.post("/orders", json=stale)).status_code == status
