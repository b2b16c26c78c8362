"""Sends one model request and classifies its answer."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import json
import time

import httpx

from chicoryweir_standins import answers
from chicoryweir_standins import reporting
from chicoryweir_standins.load import arrivals
from chicoryweir_standins.load import results

_DATA_PREFIX = b"data: "
_DONE_MARKER = b"[DONE]"
_TIMEOUT_MARGIN_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Destination of a request.

    Attributes:
        base_url: Base URL of an entry, or of an engine for a direct call.
        one_way_s: Latency to inject in each direction.
        is_direct: Whether it is an engine, which expects priorities as numbers.
    """

    base_url: str
    one_way_s: float = 0.0
    is_direct: bool = False


@dataclasses.dataclass
class _Received:
    """The part of one answer received so far."""

    status: int = 0
    tokens: list[str] = dataclasses.field(default_factory=list)
    first_token_at: float | None = None
    is_done: bool = False
    problem: bytes = b""


async def call_model(
    client: httpx.AsyncClient,
    target: Target,
    arrival: arrivals.Arrival,
    seed: int,
    arrived_at: float,
) -> results.Result:
    """Sends a request; failures are returned as results, not raised.

    Args:
        client: Client whose connections are used.
        target: Destination of the request.
        arrival: The request.
        seed: Seed of the run.
        arrived_at: Intended send time, in monotonic seconds.

    Returns:
        The result of the request.
    """
    body = arrivals.build_body(arrival, seed)
    raw = json.dumps(body).encode()
    received = _Received()
    detail = ""
    await asyncio.sleep(target.one_way_s)
    try:
        timeout_s = arrival.stream.deadline_ms / 1e3 + _TIMEOUT_MARGIN_S
        async with asyncio.timeout(timeout_s):
            await _receive(client, target, arrival, raw, received)
    except (httpx.HTTPError, TimeoutError) as error:
        detail = repr(error)
    await asyncio.sleep(target.one_way_s)
    total_s = time.monotonic() - arrived_at
    first_token_s = None
    if received.first_token_at is not None:
        first_token_s = received.first_token_at + target.one_way_s - arrived_at
    ending = _classify(received, answers.compute_answer(body), total_s, arrival)
    return results.Result(
        workspace=arrival.stream.workspace,
        priority=arrival.stream.priority,
        ending=ending,
        status=received.status,
        outcome=_read_outcome(received.problem),
        first_token_s=first_token_s,
        total_s=total_s,
        tokens=len(received.tokens),
        body_sha256=reporting.compute_body_digest(raw),
        arrived_at_s=arrival.at_s,
        detail=detail or received.problem.decode(errors="replace")[:500],
    )


def build_headers(arrival: arrivals.Arrival, is_direct: bool) -> dict[str, str]:
    """Returns the headers of a request."""
    stream = arrival.stream
    number = str(arrivals.CLASSES.index(stream.priority))
    headers = {
        "Content-Type": "application/json",
        "X-Priority": number if is_direct else stream.priority,
        "X-Deadline-Ms": str(stream.deadline_ms),
    }
    if stream.key:
        headers["Authorization"] = f"Bearer {stream.key}"
    else:
        headers["X-Workspace"] = stream.workspace
    return headers


async def _receive(
    client: httpx.AsyncClient,
    target: Target,
    arrival: arrivals.Arrival,
    raw: bytes,
    received: _Received,
) -> None:
    url = target.base_url + "/v1/chat/completions"
    headers = build_headers(arrival, target.is_direct)
    async with client.stream("POST", url, content=raw, headers=headers) as reply:
        received.status = reply.status_code
        if reply.status_code != 200:
            received.problem = await reply.aread()
            return
        async for event in _split_events(reply.aiter_bytes()):
            if event == _DONE_MARKER:
                received.is_done = True
                continue
            if received.first_token_at is None:
                received.first_token_at = time.monotonic()
            _record_event(event, received)


async def _split_events(
    chunks: collections.abc.AsyncIterator[bytes],
) -> collections.abc.AsyncIterator[bytes]:
    remainder = b""
    async for chunk in chunks:
        *lines, remainder = (remainder + chunk).split(b"\n")
        for line in lines:
            if line.startswith(_DATA_PREFIX):
                yield line[len(_DATA_PREFIX) :].strip()


def _record_event(event: bytes, received: _Received) -> None:
    choices = json.loads(event).get("choices") or [{}]
    content = choices[0].get("delta", {}).get("content")
    if content:
        received.tokens.append(content)


def _classify(
    received: _Received,
    expected: list[str],
    total_s: float,
    arrival: arrivals.Arrival,
) -> results.Ending:
    if received.status not in (0, 200):
        return results.Ending.REFUSED
    if not received.is_done:
        text = "".join(received.tokens)
        if not "".join(expected).startswith(text):
            return results.Ending.WRONG
        return results.Ending.CUT
    if received.tokens != expected:
        return results.Ending.WRONG
    if total_s * 1e3 > arrival.stream.deadline_ms:
        return results.Ending.LATE
    return results.Ending.IN_TIME


def _read_outcome(problem: bytes) -> str:
    try:
        outcome = json.loads(problem).get("outcome", "")
    except (ValueError, AttributeError):
        return ""
    return str(outcome)
