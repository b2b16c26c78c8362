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
TARGET_GAP_SHARE = 0.8
# Time over which the inflation of steps is averaged, in seconds.
AVERAGING_S = 0.4
# A inflation measured longer ago than this says nothing any more, in seconds.
MAX_AGE_S = 2.0
# Steps are never expected to be this much shorter or longer than the engine's figures.
MIN_INFLATION = 1.0
MAX_INFLATION = 6.0
# Requests for each endpoint that are always let in.
MIN_LIMIT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StepInflation:
    """Time of a step over what the engine's figures give for an even load.

    Attributes:
        factor: The ratio, averaged; unitless.
        at: Time of the last measurement, monotonic seconds.
    """

    factor: float = MIN_INFLATION
    at: float = -math.inf


def compute_event_interval_s(
    engine: configuration.Engine, running: float, slowdown: float = 1.0
) -> float:
    """Returns the usual time between two events of a stream, in seconds.

    Args:
        engine: Figures of the engine.
        running: Requests that run at each endpoint.
        slowdown: Time that the slowest rank takes over the usual time; it gets no requests
            and no experts, but takes part in each step.
    """
    context = engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
    sequence_s = engine.sequence_s + engine.context_s * context
    return engine.steps_per_event * (engine.step_s * slowdown + sequence_s * running)


def record_gap(
    inflation: StepInflation,
    engine: configuration.Engine,
    gap_s: float,
    running: float,
    slowdown: float,
    now: float,
) -> StepInflation:
    """Takes the pause between two events of one stream.

    Args:
        inflation: StepInflation so far.
        engine: Figures of the engine.
        gap_s: The pause, in seconds.
        running: Requests that run at each endpoint.
        slowdown: Time that the slowest rank takes over the usual time.
        now: Present time, monotonic seconds.
    """
    usual_s = compute_event_interval_s(engine, max(1.0, running), slowdown)
    if usual_s <= 0.0:
        # The engine doesn't tell its speed.
        return inflation
    measured = gap_s / usual_s
    measured = min(max(measured, MIN_INFLATION), MAX_INFLATION)
    part = 1.0 - math.exp(-min(now - inflation.at, gap_s) / AVERAGING_S)
    return StepInflation(inflation.factor + part * (measured - inflation.factor), now)


def compute_concurrency_limit(
    inflation: StepInflation,
    engine: configuration.Engine,
    gap_s: float,
    slowdown: float,
    now: float,
) -> float:
    """Returns how many requests may run at each endpoint, on average.

    Args:
        inflation: StepInflation of steps.
        engine: Figures of the engine.
        gap_s: Longest pause that is on time, in seconds; 0 for none.
        slowdown: Time that the slowest rank takes over the usual time.
        now: Present time, monotonic seconds.
    """
    if gap_s <= 0.0 or now - inflation.at > MAX_AGE_S:
        return float(engine.slots)
    one = compute_event_interval_s(engine, 1.0, slowdown)
    more = compute_event_interval_s(engine, 2.0, slowdown) - one
    if more <= 0.0:
        return float(engine.slots)
    room_s = TARGET_GAP_SHARE * gap_s / inflation.factor - one
    if slowdown > 1.0 and room_s < 0.0:
        return float(engine.slots)
    return min(float(engine.slots), max(MIN_LIMIT, 1.0 + room_s / more))
