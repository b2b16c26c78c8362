"""Limits the number of concurrent requests at a lock-step group.

In a burst, or while expert load is uneven, each admitted request lengthens the steps
of all others, until the gap between events exceeds the limit of the route for every
stream. The concurrency limit keeps steps short enough; further requests are queued.

A slow rank lengthens each step of its group by a fixed part, which no concurrency
limit can reduce. If that part alone uses up the allowed step time, every stream is
late regardless of the limit, and all slots are used.
"""

from __future__ import annotations

import dataclasses
import math

from chicoryweir_policy.forwarding import configuration

# Target for the average gap, as a share of the longest allowed gap. Single steps that
# prefill a long prompt or have uneven expert load take up to a quarter longer.
TARGET_GAP_SHARE = 0.8
# Time constant of the moving average of the inflation while it rises.
AVERAGING_S = 0.3
# Gaps longer than this many allowed gaps are stalls, e.g. of a group that is held or
# has lost a rank. They don't follow from the number of requests.
STALL_GAPS = 2.0
# Time constant while the inflation falls. Expert load becomes uneven again with the
# next shift in demand, every few seconds, and the requests that were admitted until
# then are still running.
DECAY_S = 8.0
# Maximum age of a measurement; older ones are ignored.
MAX_AGE_S = 2.0
# Bounds of the inflation.
MIN_INFLATION = 1.0
MAX_INFLATION = 6.0
# Requests per endpoint that are always admitted.
MIN_LIMIT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StepInflation:
    """Measured step time relative to the engine's nominal step time.

    Attributes:
        factor: Moving average of measured over nominal time.
        measured_at: Time of the last measurement, monotonic seconds.
    """

    factor: float = MIN_INFLATION
    measured_at: float = -math.inf


def compute_event_interval_s(
    engine: configuration.Engine, running: float, slowdown: float = 1.0
) -> float:
    """Returns the nominal time between two events of a stream, in seconds.

    Args:
        engine: Nominal speed of the engine.
        running: Mean number of running requests per endpoint.
        slowdown: Slowdown of the slowest rank. It gets no requests and no experts, but
            takes part in each step.
    """
    context = engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
    sequence_s = engine.sequence_s + engine.context_s * context
    return engine.steps_per_event * (engine.step_s * slowdown + sequence_s * running)


def predict_run_s(
    inflation: StepInflation, engine: configuration.Engine | None, running: float
) -> float:
    """Predicts the time that a usual request runs, in seconds.

    Args:
        inflation: Current inflation.
        engine: Nominal speed of the engine; None for a plain service.
        running: Mean number of running requests per endpoint.

    Returns:
        The time; 0 for a plain service, whose requests don't tell their work.
    """
    if engine is None:
        return 0.0
    events = engine.usual_answer_tokens / engine.steps_per_event
    interval_s = compute_event_interval_s(engine, max(1.0, running))
    return events * interval_s * inflation.factor


def record_gap(
    inflation: StepInflation,
    engine: configuration.Engine,
    gap_s: float,
    max_gap_s: float,
    running: float,
    slowdown: float,
    now: float,
) -> StepInflation:
    """Returns the inflation updated with the gap between two events of a stream.

    Args:
        inflation: Previous inflation.
        engine: Nominal speed of the engine.
        gap_s: Measured gap, in seconds.
        max_gap_s: Longest gap that is on time, in seconds; 0 for no limit.
        running: Mean number of running requests per endpoint.
        slowdown: Slowdown of the slowest rank.
        now: Present time, monotonic seconds.
    """
    nominal_s = compute_event_interval_s(engine, max(1.0, running), slowdown)
    if nominal_s <= 0.0:
        # The configuration doesn't state the engine's speed.
        return inflation
    if max_gap_s > 0.0 and gap_s > STALL_GAPS * max(max_gap_s, nominal_s):
        return inflation
    measured = gap_s / nominal_s
    measured = min(max(measured, MIN_INFLATION), MAX_INFLATION)
    averaging_s = AVERAGING_S if measured > inflation.factor else DECAY_S
    weight = 1.0 - math.exp(-min(now - inflation.measured_at, gap_s) / averaging_s)
    return StepInflation(inflation.factor + weight * (measured - inflation.factor), now)


def compute_concurrency_limit(
    inflation: StepInflation,
    engine: configuration.Engine,
    max_gap_s: float,
    slowdown: float,
    now: float,
) -> float:
    """Returns the mean number of requests that may run per endpoint.

    Args:
        inflation: Current inflation.
        engine: Nominal speed of the engine.
        max_gap_s: Longest gap that is on time, in seconds; 0 for no limit.
        slowdown: Slowdown of the slowest rank.
        now: Present time, monotonic seconds.
    """
    if max_gap_s <= 0.0 or now - inflation.measured_at > MAX_AGE_S:
        return float(engine.slots)
    first_s = compute_event_interval_s(engine, 1.0, slowdown)
    further_s = compute_event_interval_s(engine, 2.0, slowdown) - first_s
    if further_s <= 0.0:
        return float(engine.slots)
    headroom_s = TARGET_GAP_SHARE * max_gap_s / inflation.factor - first_s
    if slowdown > 1.0 and headroom_s < 0.0:
        return float(engine.slots)
    return min(float(engine.slots), max(MIN_LIMIT, 1.0 + headroom_s / further_s))
