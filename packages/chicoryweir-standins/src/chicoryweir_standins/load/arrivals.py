"""Draws open-loop arrivals from a seed."""

from __future__ import annotations

import dataclasses
import random
import typing

from chicoryweir_standins.launch import plan

CLASSES = ("urgent", "standard", "bulk")


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one workspace and class, with exponential gaps between them.

    Attributes:
        workspace: Workspace that sends the requests.
        priority: Priority class.
        rate_per_s: Mean arrivals per second.
        deadline_ms: Deadline of each request.
        max_tokens: Length of each answer in tokens.
        prompt_chars: Length of each prompt in characters.
        key: API key of the workspace; empty if it has none.
        start_s: Start of the arrivals, in seconds after the start of the run.
        end_s: End of the arrivals, in seconds after the start of the run.
    """

    workspace: str
    priority: str
    rate_per_s: float
    deadline_ms: int
    max_tokens: int = 32
    prompt_chars: int = 400
    key: str = ""
    start_s: float = 0.0
    end_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request that arrives at `at_s` after the start; `number` is unique."""

    at_s: float
    number: int
    stream: Stream


def draw_arrivals(streams: tuple[Stream, ...], seed: int) -> list[Arrival]:
    """Draws the arrivals of all streams, in order of time."""
    times = []
    for index, stream in enumerate(streams):
        draws = random.Random(f"{seed}/{index}")
        at_s = stream.start_s + draws.expovariate(stream.rate_per_s)
        while at_s < stream.end_s:
            times.append((at_s, index))
            at_s += draws.expovariate(stream.rate_per_s)
    times.sort()
    return [
        Arrival(at_s, number, streams[index])
        for number, (at_s, index) in enumerate(times)
    ]


def build_body(arrival: Arrival, seed: int) -> dict[str, typing.Any]:
    """Returns the body of a request; no two have the same prompt."""
    stream = arrival.stream
    text = f"{stream.workspace} asks {seed}-{arrival.number}: "
    content = (text + "pods " * stream.prompt_chars)[: stream.prompt_chars]
    return {
        "model": plan.MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": stream.max_tokens,
        "stream": True,
    }
