"""Limits how many requests run at a group that works in lock-step.

The load it answers: in a burst, or while the experts' load is uneven, each request that
is let in makes the steps of all others longer, until every stream pauses for longer
than its route allows. The limit keeps steps short enough and lets the rest wait.

A slow rank makes each step of its group longer by its own part, which no limit can
shorten. Where that alone takes all the time that a step may last, every stream is late
whatever is let in, and the slots are used in full.
"""

from __future__ import annotations

import dataclasses
import math

from chicoryweir_policy.forwarding import configuration

# Part of the longest pause that a step should last on average; single steps that read a
# long prompt, or meet an uneven load, last up to a quarter longer.
TARGET_SHARE = 0.8
# Time over which the stretch of steps is averaged, in seconds.
MEMORY_S = 0.4
# A stretch measured longer ago than this says nothing any more, in seconds.
STALE_S = 2.0
# Steps are never expected to be this much shorter or longer than the engine's figures.
MIN_STRETCH = 1.0
MAX_STRETCH = 6.0
# Requests for each endpoint that are always let in.
MIN_LIMIT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Stretch:
    """Time of a step over what the engine's figures give for an even load.

    Attributes:
        factor: The ratio, averaged; unitless.
        at: Time of the last measurement, monotonic seconds.
    """

    factor: float = MIN_STRETCH
    at: float = -math.inf


def compute_pass_s(
    engine: configuration.Engine, running: float, pace: float = 1.0
) -> float:
    """Returns the usual time between two events of a stream, in seconds.

    Args:
        engine: Figures of the engine.
        running: Requests that run at each endpoint.
        pace: Time that the slowest rank takes over the usual time; it gets no requests
            and no experts, but takes part in each step.
    """
    context = engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
    sequence_s = engine.sequence_s + engine.context_s * context
    return engine.stride * (engine.step_s * pace + sequence_s * running)


def note_pause(
    stretch: Stretch,
    engine: configuration.Engine,
    pause_s: float,
    running: float,
    pace: float,
    now: float,
) -> Stretch:
    """Takes the pause between two events of one stream.

    Args:
        stretch: Stretch so far.
        engine: Figures of the engine.
        pause_s: The pause, in seconds.
        running: Requests that run at each endpoint.
        pace: Time that the slowest rank takes over the usual time.
        now: Present time, monotonic seconds.
    """
    usual_s = compute_pass_s(engine, max(1.0, running), pace)
    if usual_s <= 0.0:
        # The engine doesn't tell its speed.
        return stretch
    measured = pause_s / usual_s
    measured = min(max(measured, MIN_STRETCH), MAX_STRETCH)
    part = 1.0 - math.exp(-min(now - stretch.at, pause_s) / MEMORY_S)
    return Stretch(stretch.factor + part * (measured - stretch.factor), now)


def compute_limit(
    stretch: Stretch,
    engine: configuration.Engine,
    pause_s: float,
    pace: float,
    now: float,
) -> float:
    """Returns how many requests may run at each endpoint, on average.

    Args:
        stretch: Stretch of steps.
        engine: Figures of the engine.
        pause_s: Longest pause that is on time, in seconds; 0 for none.
        pace: Time that the slowest rank takes over the usual time.
        now: Present time, monotonic seconds.
    """
    if pause_s <= 0.0 or now - stretch.at > STALE_S:
        return float(engine.slots)
    one = compute_pass_s(engine, 1.0, pace)
    more = compute_pass_s(engine, 2.0, pace) - one
    if more <= 0.0:
        return float(engine.slots)
    room_s = TARGET_SHARE * pause_s / stretch.factor - one
    if pace > 1.0 and room_s < 0.0:
        return float(engine.slots)
    return min(float(engine.slots), max(MIN_LIMIT, 1.0 + room_s / more))
